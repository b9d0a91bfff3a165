//! Session parameters of the proxy itself, `goldcrestrail.*`.

use std::time::Duration;

use base::Position;

/// What all of them begin with.
const PREFIX: &str = "goldcrestrail.";
/// Longest key, in bytes; the key is an index entry of the database.
const KEY_BYTES: usize = 512;

/// Name that a caller gives itself. No result depends on it, so that it stays with the session.
pub const APPLICATION: &str = "application_name";

/// Parameters in which a replica says that it takes no writes. Drivers read them to learn whether a
/// session can write, which one outside a transaction can.
pub const WRITABLE: [&str; 3] = [READ_ONLY, "in_hot_standby", "transaction_read_only"];
/// Default of the transactions of a session.
pub const READ_ONLY: &str = "default_transaction_read_only";

/// Name of the caller's program.
#[derive(Debug, Clone, Default)]
pub struct Application {
    /// Present value.
    pub now: Box<str>,
    /// Value given at login, which a reset restores.
    login: Box<str>,
}

impl Application {
    /// Starts with the value given at login.
    #[must_use]
    pub fn new(value: &str) -> Self {
        Self {
            now: value.into(),
            login: value.into(),
        }
    }

    /// Sets the value; `None` restores the one given at login.
    pub fn set(&mut self, value: Option<&str>) {
        self.now = value.map_or_else(|| self.login.clone(), Into::into);
    }
}

/// Values of a session.
#[derive(Debug, Clone, Default)]
pub struct Parameters {
    /// Last confirmed write position, or the barrier that the session got.
    pub token: Option<Position>,
    /// Age of data that the caller accepts.
    pub max_age: Option<Duration>,
    /// Time after which the caller gives up on a request.
    pub deadline: Option<Duration>,
    /// Key of the next statement or transaction that writes.
    pub key: Option<Box<str>>,
}

/// Whether a parameter is one of the proxy's own.
#[must_use]
pub fn is_own(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// Whether a value of another parameter changes no result.
///
/// Drivers send these at each login, and a connection that had to be set up anew for each caller
/// would cost every request a round trip.
#[must_use]
pub fn is_usual(name: &str, value: &str) -> bool {
    match name {
        "application_name" | "fallback_application_name" => true,
        "extra_float_digits" => value.parse().is_ok_and(|digits: i32| digits >= 1),
        "datestyle" => value.to_ascii_uppercase().starts_with("ISO"),
        "timezone" => value.eq_ignore_ascii_case("UTC"),
        _ => false,
    }
}

impl Parameters {
    /// Sets a parameter; `None` puts it back to its default.
    ///
    /// # Errors
    /// SQLSTATE and message when the name or the value is not accepted.
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), (&'static str, String)> {
        let value = value.map(str::trim).filter(|value| !value.is_empty());
        match name.strip_prefix(PREFIX).unwrap_or_default() {
            "token" => {
                self.token = value
                    .map(|value| {
                        value
                            .parse::<Position>()
                            .map_err(|cause| bad(name, value, &cause))
                    })
                    .transpose()?;
            }
            "max_age" => self.max_age = milliseconds(name, value)?,
            "deadline" => self.deadline = milliseconds(name, value)?,
            "key" => {
                if value.is_some_and(|value| value.len() > KEY_BYTES || value.contains('\0')) {
                    return Err((
                        "22023",
                        format!("{name} has more than {KEY_BYTES} bytes; use a shorter key"),
                    ));
                }
                self.key = value.map(Into::into);
            }
            _ => return Err(unknown(name)),
        }
        Ok(())
    }

    /// Shows a parameter; empty when it is not set.
    ///
    /// # Errors
    /// SQLSTATE and message when there is no such parameter.
    pub fn show(&self, name: &str) -> Result<String, (&'static str, String)> {
        let millis = |span: Option<Duration>| span.map(|span| span.as_millis().to_string());
        Ok(match name.strip_prefix(PREFIX).unwrap_or_default() {
            "token" => self.token.map(|token| token.to_string()),
            "max_age" => millis(self.max_age),
            "deadline" => millis(self.deadline),
            "key" => self.key.as_deref().map(str::to_owned),
            _ => return Err(unknown(name)),
        }
        .unwrap_or_default())
    }
}

fn milliseconds(
    name: &str,
    value: Option<&str>,
) -> Result<Option<Duration>, (&'static str, String)> {
    value
        .map(|value| match value.parse::<u32>() {
            Ok(millis) => Ok(Duration::from_millis(millis.into())),
            Err(cause) => Err(bad(name, value, &cause)),
        })
        .transpose()
}

fn bad(name: &str, value: &str, cause: &dyn std::fmt::Display) -> (&'static str, String) {
    (
        "22023",
        format!("invalid value for {name}: \"{value}\": {cause}"),
    )
}

fn unknown(name: &str) -> (&'static str, String) {
    (
        "42704",
        format!(
            "there is no parameter {name}; there are goldcrestrail.token, goldcrestrail.max_age, \
             goldcrestrail.deadline and goldcrestrail.key"
        ),
    )
}

/// Reads `-c name=value` and `--name=value` settings of the startup parameter `options`, in which
/// a backslash protects a space.
#[must_use]
pub fn from_options(options: &str) -> Vec<(String, String)> {
    let mut words = vec![String::new()];
    let mut letters = options.chars();
    while let Some(letter) = letters.next() {
        if letter.is_whitespace() {
            words.push(String::new());
        } else if let Some(word) = words.last_mut() {
            word.push(if letter == '\\' {
                letters.next().unwrap_or('\\')
            } else {
                letter
            });
        }
    }
    let mut found = Vec::new();
    let mut words = words.into_iter().filter(|word| !word.is_empty());
    while let Some(word) = words.next() {
        let setting = if word == "-c" {
            words.next()
        } else {
            word.strip_prefix("--")
                .or_else(|| word.strip_prefix("-c"))
                .map(str::to_owned)
        };
        if let Some((name, value)) = setting.as_deref().and_then(|text| text.split_once('=')) {
            found.push((name.trim().to_ascii_lowercase(), value.to_owned()));
        }
    }
    found
}
