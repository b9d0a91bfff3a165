//! Session parameters of the proxy itself, `goldcrestrail.*`.

use std::time::Duration;

use base::Position;

/// Prefix of all of them.
const PREFIX: &str = "goldcrestrail.";
/// Largest idempotency key, in bytes; the database stores the key in an index.
const MAX_KEY_BYTES: usize = 512;

/// Name of the caller's program. No result depends on it, so it is kept in the session only.
pub const APPLICATION_NAME: &str = "application_name";

/// Parameters in which a replica reports that it is read-only. Drivers read them to learn whether a
/// session can write; through the proxy it can, outside a transaction.
pub const WRITABLE_PARAMETERS: [&str; 3] =
    [DEFAULT_READ_ONLY, "in_hot_standby", "transaction_read_only"];
/// Default access mode of the transactions of a session.
pub const DEFAULT_READ_ONLY: &str = "default_transaction_read_only";

/// Value of `application_name`.
#[derive(Debug, Clone, Default)]
pub struct ApplicationName {
    /// Value in force for the session.
    pub current: Box<str>,
    /// Value given at login, which a reset restores.
    at_login: Box<str>,
}

impl ApplicationName {
    /// Creates it with the value given at login.
    #[must_use]
    pub fn new(value: &str) -> Self {
        Self {
            current: value.into(),
            at_login: value.into(),
        }
    }

    /// Sets the value; `None` restores the one given at login.
    pub fn set(&mut self, value: Option<&str>) {
        self.current = value.map_or_else(|| self.at_login.clone(), Into::into);
    }
}

/// Values of the proxy's own parameters in a session.
#[derive(Debug, Clone, Default)]
pub struct Parameters {
    /// Last confirmed write position, or the barrier that the session got.
    pub token: Option<Position>,
    /// Oldest data that the caller accepts.
    pub max_age: Option<Duration>,
    /// Time limit of a request.
    pub deadline: Option<Duration>,
    /// Idempotency key of the next statement or transaction that writes.
    pub key: Option<Box<str>>,
}

/// Whether a parameter is one of the proxy's own.
#[must_use]
pub fn is_proxy_parameter(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// Whether setting a PostgreSQL parameter to this value changes no result.
///
/// Drivers send these at each login. Applying them to a pooled connection for each caller would
/// cost every request a round trip.
#[must_use]
pub fn changes_no_result(name: &str, value: &str) -> bool {
    match name {
        "application_name" | "fallback_application_name" => true,
        "extra_float_digits" => value.parse().is_ok_and(|digits: i32| digits >= 1),
        "datestyle" => value.to_ascii_uppercase().starts_with("ISO"),
        "timezone" => value.eq_ignore_ascii_case("UTC"),
        _ => false,
    }
}

impl Parameters {
    /// Sets a parameter; `None` resets it to its default.
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
                            .map_err(|cause| invalid_value(name, value, &cause))
                    })
                    .transpose()?;
            }
            "max_age" => self.max_age = parse_milliseconds(name, value)?,
            "deadline" => self.deadline = parse_milliseconds(name, value)?,
            "key" => {
                if value.is_some_and(|value| value.len() > MAX_KEY_BYTES || value.contains('\0')) {
                    return Err((
                        "22023",
                        format!("{name} has more than {MAX_KEY_BYTES} bytes; use a shorter key"),
                    ));
                }
                self.key = value.map(Into::into);
            }
            _ => return Err(unknown_parameter(name)),
        }
        Ok(())
    }

    /// Returns the value of a parameter as text; empty if it is not set.
    ///
    /// # Errors
    /// SQLSTATE and message when there is no such parameter.
    pub fn show(&self, name: &str) -> Result<String, (&'static str, String)> {
        let format_millis = |span: Option<Duration>| span.map(|span| span.as_millis().to_string());
        Ok(match name.strip_prefix(PREFIX).unwrap_or_default() {
            "token" => self.token.map(|token| token.to_string()),
            "max_age" => format_millis(self.max_age),
            "deadline" => format_millis(self.deadline),
            "key" => self.key.as_deref().map(str::to_owned),
            _ => return Err(unknown_parameter(name)),
        }
        .unwrap_or_default())
    }
}

fn parse_milliseconds(
    name: &str,
    value: Option<&str>,
) -> Result<Option<Duration>, (&'static str, String)> {
    value
        .map(|value| match value.parse::<u32>() {
            Ok(millis) => Ok(Duration::from_millis(millis.into())),
            Err(cause) => Err(invalid_value(name, value, &cause)),
        })
        .transpose()
}

fn invalid_value(name: &str, value: &str, cause: &dyn std::fmt::Display) -> (&'static str, String) {
    (
        "22023",
        format!("invalid value for {name}: \"{value}\": {cause}"),
    )
}

fn unknown_parameter(name: &str) -> (&'static str, String) {
    (
        "42704",
        format!(
            "there is no parameter {name}; there are goldcrestrail.token, goldcrestrail.max_age, \
             goldcrestrail.deadline and goldcrestrail.key"
        ),
    )
}

/// Parses the `-c name=value` and `--name=value` settings of the startup parameter `options`, in
/// which a backslash escapes a space.
#[must_use]
pub fn parse_options(options: &str) -> Vec<(String, String)> {
    let mut arguments = vec![String::new()];
    let mut chars = options.chars();
    while let Some(c) = chars.next() {
        if c.is_whitespace() {
            arguments.push(String::new());
        } else if let Some(argument) = arguments.last_mut() {
            argument.push(if c == '\\' {
                chars.next().unwrap_or('\\')
            } else {
                c
            });
        }
    }
    let mut settings = Vec::new();
    let mut arguments = arguments
        .into_iter()
        .filter(|argument| !argument.is_empty());
    while let Some(argument) = arguments.next() {
        let setting = if argument == "-c" {
            arguments.next()
        } else {
            argument
                .strip_prefix("--")
                .or_else(|| argument.strip_prefix("-c"))
                .map(str::to_owned)
        };
        if let Some((name, value)) = setting.as_deref().and_then(|text| text.split_once('=')) {
            settings.push((name.trim().to_ascii_lowercase(), value.to_owned()));
        }
    }
    settings
}
