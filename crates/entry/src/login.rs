//! Login of a caller, up to the first `ReadyForQuery`.

use std::rc::Rc;

use base::{Map, document::digest, organisation::KeyDigest};
use compio::{BufResult, io::AsyncWriteExt, net::TcpStream};
use subtle::ConstantTimeEq;
use wire::{Cursor, InitialMessage, Reader, WireError, Writer, reply};

use crate::{
    fleet::Fleet,
    options::Auth,
    parameters::{self, ApplicationName, Parameters},
    refusal::Refusal,
    session::Session,
    session_settings::SessionSettings,
    shared::Shared,
};

/// Largest message before the login is complete, in bytes.
const MAX_LOGIN_BYTES: usize = 10_000;
/// Encryption requests that a caller may send before its startup message: one of each kind.
const MAX_ENCRYPTION_REQUESTS: usize = 2;
/// Prefix of startup parameters that request protocol options, none of which is supported.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";
const KEY_HINT: &str = "give a key of your organisation as the password";
/// Parameters that drivers expect at login, with values that are the same for every database.
const REPORTED_PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    // Without these two, libpq asks the server whether the session can write.
    ("default_transaction_read_only", "off"),
    ("in_hot_standby", "off"),
    ("is_superuser", "off"),
];

/// Result of the first messages on a connection.
pub enum Login<F: Fleet> {
    /// A caller that may send requests.
    Session(Box<Session<F>>),
    /// A request to cancel the query of another connection, with its process id and secret key.
    Cancel(i32, i32),
    /// The connection is to be closed.
    Closed,
}

/// Why a login was refused: SQLSTATE, message and hint.
struct LoginError(&'static str, String, &'static str);

impl From<WireError> for LoginError {
    fn from(cause: WireError) -> Self {
        let sqlstate = match cause {
            WireError::TooLarge { .. } => "54000",
            _ => "08P01",
        };
        Self(sqlstate, cause.to_string(), "")
    }
}

/// Logs a caller in, or tells it why the login was refused.
pub async fn login<F: Fleet>(mut stream: TcpStream, shared: &Rc<Shared<F>>) -> Login<F> {
    let meter = shared.options.meter.as_ref();
    let account = meter.map(|meter| meter.account(stream.clone()));
    for _ in 0..=MAX_ENCRYPTION_REQUESTS {
        let (read, write) = (stream.clone(), stream.clone());
        let mut reader = Reader::new(read, MAX_LOGIN_BYTES).with_account(account.clone());
        let opening = reader.initial_message().await;
        if !matches!(opening, Ok(Some(InitialMessage::Ssl | InitialMessage::Gss))) {
            drop(stream);
            let writer = Writer::new(write).with_account(account);
            return handle_opening(opening, reader, writer, shared).await;
        }
        // Bytes after the request would be meant for an encrypted stream.
        if reader.has_bytes() {
            return Login::Closed;
        }
        let BufResult(result, _) = stream.write_all(vec![b'N']).await;
        if result.is_err() {
            return Login::Closed;
        }
    }
    Login::Closed
}

async fn handle_opening<F: Fleet>(
    opening: Result<Option<InitialMessage>, WireError>,
    mut reader: Reader,
    mut writer: Writer,
    shared: &Rc<Shared<F>>,
) -> Login<F> {
    let outcome = match opening {
        Ok(Some(InitialMessage::Startup(startup, minor))) => {
            negotiate(&startup, minor, &mut writer);
            check_startup(startup, &mut reader, &mut writer, shared).await
        }
        Ok(Some(InitialMessage::Cancel { pid, secret })) => return Login::Cancel(pid, secret),
        Ok(Some(InitialMessage::UnsupportedVersion(major, minor))) => Err(LoginError(
            "0A000",
            format!("protocol {major}.{minor} is not spoken here"),
            "use protocol 3.0",
        )),
        Ok(Some(InitialMessage::Ssl | InitialMessage::Gss) | None) => return Login::Closed,
        Err(cause) => Err(cause.into()),
    };
    match outcome {
        Ok(settings) => complete_login(settings, reader, writer, shared).await,
        Err(LoginError(sqlstate, message, hint)) => {
            let _encoded = writer.message(&reply::fatal(sqlstate, &message, hint));
            let _flushed = writer.flush().await;
            Login::Closed
        }
    }
}

/// Answers a caller that requests more than protocol 3.0 with what is supported.
fn negotiate(startup: &Map<String, String>, minor: u16, writer: &mut Writer) {
    let names = startup.keys().map(String::as_str);
    let mut options: Vec<_> = names
        .filter(|name| name.starts_with(PROTOCOL_OPTION_PREFIX))
        .collect();
    options.sort_unstable();
    if minor > 0 || !options.is_empty() {
        writer.parts(b'v', &reply::negotiate_protocol_version(&options));
    }
}

async fn check_startup<F: Fleet>(
    startup: Map<String, String>,
    reader: &mut Reader,
    writer: &mut Writer,
    shared: &Rc<Shared<F>>,
) -> Result<SessionSettings, LoginError> {
    if shared.is_draining() {
        return Err(LoginError(
            "57P03",
            "this process is stopping".into(),
            "connect again, which reaches another host",
        ));
    }
    if shared.registry.len() >= shared.options.max_callers {
        return Err(LoginError(
            "53300",
            format!("{} callers are connected", shared.options.max_callers),
            "connect again, which reaches another host",
        ));
    }
    let user = startup.get("user").filter(|user| !user.is_empty());
    let Some(user) = user else {
        return Err(LoginError(
            "28000",
            "the startup message names no user".into(),
            "give a user name",
        ));
    };
    let key = if shared.fleet.needs_key() {
        let key = KeyDigest::of(read_password(reader, writer).await?.as_bytes());
        if let Err(cause) = shared.fleet.identify(Some(&key)) {
            let refusal = Refusal::Key(cause);
            return Err(LoginError(refusal.sqlstate(), cause.to_string(), KEY_HINT));
        }
        Some(key)
    } else {
        if let Auth::Password(users) = &shared.options.auth {
            let password = read_password(reader, writer).await?;
            check_password(users, user, &password)?;
        }
        None
    };
    let database = startup.get("database").unwrap_or(user);
    let Some(service) = shared.fleet.service(database) else {
        let refusal = Refusal::UnknownService(database.clone());
        return Err(LoginError(
            refusal.sqlstate(),
            refusal.to_string(),
            "give the name of a service as the database name",
        ));
    };
    let mut settings = SessionSettings {
        service: service.name.as_str().into(),
        message_bytes: service.limits.message_bytes as usize,
        key,
        parameters: Parameters::default(),
        user: user.as_str().into(),
        application_name: ApplicationName::default(),
        set_statements: Vec::new(),
        set_script: String::new(),
    };
    let options = startup
        .get("options")
        .map(|text| parameters::parse_options(text));
    for (name, value) in options.unwrap_or_default() {
        settings.set_startup_parameter(&name, &value)?;
    }
    for (name, value) in startup {
        if !matches!(
            name.as_str(),
            "user" | "database" | "options" | "replication"
        ) {
            settings.set_startup_parameter(&name.to_ascii_lowercase(), &value)?;
        } else if name == "replication" && !matches!(value.as_str(), "false" | "off" | "no" | "0") {
            return Err(LoginError(
                "0A000",
                "replication connections are not passed through".into(),
                "connect to the database itself",
            ));
        }
    }
    Ok(settings)
}

impl SessionSettings {
    fn set_startup_parameter(&mut self, name: &str, value: &str) -> Result<(), LoginError> {
        if parameters::is_proxy_parameter(name) {
            return self
                .parameters
                .set(name, Some(value))
                .map_err(|(sqlstate, message)| LoginError(sqlstate, message, ""));
        }
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
        if name.starts_with(PROTOCOL_OPTION_PREFIX) {
            return Ok(());
        }
        if !name.chars().all(is_name_char) || name.is_empty() {
            return Err(LoginError(
                "42602",
                format!("invalid parameter name \"{name}\""),
                "",
            ));
        }
        // All databases use UTF-8, and drivers request nothing else.
        if name == "client_encoding" {
            let encoding = value.to_ascii_uppercase().replace('-', "");
            if matches!(encoding.trim_matches('\''), "UTF8" | "UNICODE") {
                return Ok(());
            }
            return Err(LoginError(
                "0A000",
                format!("client_encoding {value} is not spoken here"),
                "use UTF8",
            ));
        }
        if name == parameters::APPLICATION_NAME {
            self.application_name = ApplicationName::new(value);
            return Ok(());
        }
        let without_effect = parameters::changes_no_result(name, value);
        if !without_effect {
            let quoted = value.replace('\'', "''");
            self.update_set_statements(&[(
                name.to_owned(),
                Some(format!("SET {name} = '{quoted}'")),
            )]);
        }
        Ok(())
    }
}

/// Asks for a password in clear text.
async fn read_password(reader: &mut Reader, writer: &mut Writer) -> Result<String, LoginError> {
    writer.parts(b'R', &3_i32.to_be_bytes());
    writer.flush().await?;
    let frame = reader.next().await?.ok_or(WireError::ConnectionClosed)?;
    if frame.tag != b'p' {
        return Err(WireError::Malformed("a password was expected").into());
    }
    Ok(Cursor::new(&frame.body).text()?.to_owned())
}

fn check_password(
    users: &Map<String, String>,
    user: &str,
    password: &str,
) -> Result<(), LoginError> {
    let given_digest = digest(password);
    // The comparison takes as long for an unknown user, so that timing doesn't reveal user names.
    let stored_digest = users.get(user).map_or("", String::as_str);
    let padded = format!("{stored_digest:0<64}");
    let equal: bool = given_digest.as_bytes().ct_eq(padded.as_bytes()).into();
    if equal && users.contains_key(user) {
        return Ok(());
    }
    Err(LoginError(
        "28P01",
        format!("password authentication failed for user \"{user}\""),
        "",
    ))
}

async fn complete_login<F: Fleet>(
    settings: SessionSettings,
    mut reader: Reader,
    mut writer: Writer,
    shared: &Rc<Shared<F>>,
) -> Login<F> {
    let registration = shared.registry.register();
    reader.set_limit(settings.message_bytes);
    writer.parts(b'R', &0_i32.to_be_bytes());
    for (name, value) in REPORTED_PARAMETERS {
        let _encoded = writer.message(&reply::parameter_status(name, value));
    }
    for (name, value) in [
        ("session_authorization", &settings.user),
        (
            parameters::APPLICATION_NAME,
            &settings.application_name.current,
        ),
    ] {
        let _encoded = writer.message(&reply::parameter_status(name, value));
    }
    let _encoded = writer.message(&reply::backend_key_data(
        registration.pid,
        registration.secret(),
    ));
    writer.parts(b'Z', b"I");
    if writer.flush().await.is_err() {
        return Login::Closed;
    }
    Login::Session(Box::new(Session::new(
        settings,
        reader,
        writer,
        registration,
        Rc::clone(shared),
        base::clock::now(),
    )))
}
