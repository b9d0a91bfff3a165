//! Login of a caller, up to the first `ReadyForQuery`.

use std::{rc::Rc, time::Instant};

use base::{Map, document::digest};
use compio::{BufResult, io::AsyncWriteExt, net::TcpStream};
use subtle::ConstantTimeEq;
use wire::{Cursor, InitialMessage, Reader, WireError, Writer, reply};

use crate::{
    fleet::Fleet,
    options::Auth,
    parameters::{self, Application, Parameters},
    refusal::Refusal,
    session::{Session, Settings},
    shared::Shared,
};

/// Longest message before the login is done, in bytes.
const LOGIN_BYTES: usize = 10_000;
/// Encryption requests that a caller may make before its startup message: one for each kind.
const ENCRYPTION_ASKS: usize = 2;
/// Prefix of startup parameters that ask for options of the protocol, none of which is spoken.
const OPTION: &str = "_pq_.";
/// Parameters that drivers expect at login; they hold for every database of a group.
const REPORTED: &[(&str, &str)] = &[
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

/// What a connection turned out to be.
pub enum Login<F: Fleet> {
    /// A caller that may send requests.
    Session(Box<Session<F>>),
    /// A request to cancel what another connection runs.
    Cancel(i32, i32),
    /// The connection is done with.
    Closed,
}

/// A login that is refused, with SQLSTATE, message and hint.
struct Denied(&'static str, String, &'static str);

impl From<WireError> for Denied {
    fn from(cause: WireError) -> Self {
        let sqlstate = match cause {
            WireError::TooLarge { .. } => "54000",
            _ => "08P01",
        };
        Self(sqlstate, cause.to_string(), "")
    }
}

/// Lets a caller in, or tells it why not.
pub async fn login<F: Fleet>(mut stream: TcpStream, shared: &Rc<Shared<F>>) -> Login<F> {
    for _ in 0..=ENCRYPTION_ASKS {
        let (read, write) = (stream.clone(), stream.clone());
        let mut reader = Reader::new(read, LOGIN_BYTES);
        let greeting = reader.initial_message().await;
        if !matches!(
            greeting,
            Ok(Some(InitialMessage::Ssl | InitialMessage::Gss))
        ) {
            drop(stream);
            return greet(greeting, reader, Writer::new(write), shared).await;
        }
        // Bytes behind the request would have been meant for an encrypted stream.
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

async fn greet<F: Fleet>(
    greeting: Result<Option<InitialMessage>, WireError>,
    mut reader: Reader,
    mut writer: Writer,
    shared: &Rc<Shared<F>>,
) -> Login<F> {
    let outcome = match greeting {
        Ok(Some(InitialMessage::Startup(startup, minor))) => {
            negotiate(&startup, minor, &mut writer);
            admit(startup, &mut reader, &mut writer, shared).await
        }
        Ok(Some(InitialMessage::Cancel { pid, secret })) => return Login::Cancel(pid, secret),
        Ok(Some(InitialMessage::UnsupportedVersion(major, minor))) => Err(Denied(
            "0A000",
            format!("protocol {major}.{minor} is not spoken here"),
            "use protocol 3.0",
        )),
        Ok(Some(InitialMessage::Ssl | InitialMessage::Gss) | None) => return Login::Closed,
        Err(cause) => Err(cause.into()),
    };
    match outcome {
        Ok(settings) => welcome(settings, reader, writer, shared).await,
        Err(Denied(sqlstate, message, mend)) => {
            let _encoded = writer.message(&reply::fatal(sqlstate, &message, mend));
            let _flushed = writer.flush().await;
            Login::Closed
        }
    }
}

/// Tells a caller that asks for more than protocol 3.0 what is spoken here.
fn negotiate(startup: &Map<String, String>, minor: u16, writer: &mut Writer) {
    let names = startup.keys().map(String::as_str);
    let mut options: Vec<_> = names.filter(|name| name.starts_with(OPTION)).collect();
    options.sort_unstable();
    if minor > 0 || !options.is_empty() {
        writer.parts(b'v', &reply::negotiate_protocol_version(&options));
    }
}

async fn admit<F: Fleet>(
    startup: Map<String, String>,
    reader: &mut Reader,
    writer: &mut Writer,
    shared: &Rc<Shared<F>>,
) -> Result<Settings, Denied> {
    if shared.is_draining() {
        return Err(Denied(
            "57P03",
            "this process is stopping".into(),
            "connect again, which reaches another host",
        ));
    }
    if shared.registry.len() >= shared.options.callers {
        return Err(Denied(
            "53300",
            format!("{} callers are connected", shared.options.callers),
            "connect again, which reaches another host",
        ));
    }
    let user = startup.get("user").filter(|user| !user.is_empty());
    let Some(user) = user else {
        return Err(Denied(
            "28000",
            "the startup message names no user".into(),
            "give a user name",
        ));
    };
    if let Auth::Password(users) = &shared.options.auth {
        check_password(users, user, reader, writer).await?;
    }
    let database = startup.get("database").unwrap_or(user);
    let Some(service) = shared.fleet.service(database) else {
        let refusal = Refusal::Service(database.clone());
        return Err(Denied(
            refusal.sqlstate(),
            refusal.to_string(),
            "give the name of a service as the database name",
        ));
    };
    let mut settings = Settings {
        service: service.name.as_str().into(),
        message_bytes: service.limits.message_bytes as usize,
        parameters: Parameters::default(),
        user: user.as_str().into(),
        application: Application::default(),
        sets: Vec::new(),
        prelude: String::new(),
    };
    let options = startup
        .get("options")
        .map(|text| parameters::from_options(text));
    for (name, value) in options.unwrap_or_default() {
        settings.accept(&name, &value)?;
    }
    for (name, value) in startup {
        if !matches!(
            name.as_str(),
            "user" | "database" | "options" | "replication"
        ) {
            settings.accept(&name.to_ascii_lowercase(), &value)?;
        } else if name == "replication" && !matches!(value.as_str(), "false" | "off" | "no" | "0") {
            return Err(Denied(
                "0A000",
                "replication connections are not passed through".into(),
                "connect to the database itself",
            ));
        }
    }
    Ok(settings)
}

impl Settings {
    fn accept(&mut self, name: &str, value: &str) -> Result<(), Denied> {
        if parameters::is_own(name) {
            return self
                .parameters
                .set(name, Some(value))
                .map_err(|(sqlstate, message)| Denied(sqlstate, message, ""));
        }
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
        if name.starts_with(OPTION) {
            return Ok(());
        }
        if !name.chars().all(plain) || name.is_empty() {
            return Err(Denied(
                "42602",
                format!("invalid parameter name \"{name}\""),
                "",
            ));
        }
        // Every database speaks UTF-8 here, and drivers ask for nothing else.
        if name == "client_encoding" {
            let asked = value.to_ascii_uppercase().replace('-', "");
            if matches!(asked.trim_matches('\''), "UTF8" | "UNICODE") {
                return Ok(());
            }
            return Err(Denied(
                "0A000",
                format!("client_encoding {value} is not spoken here"),
                "use UTF8",
            ));
        }
        if name == parameters::APPLICATION {
            self.application = Application::new(value);
            return Ok(());
        }
        let usual = parameters::is_usual(name, value);
        if !usual {
            let quoted = value.replace('\'', "''");
            self.keep(&[(name.to_owned(), Some(format!("SET {name} = '{quoted}'")))]);
        }
        Ok(())
    }
}

async fn check_password(
    users: &Map<String, String>,
    user: &str,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), Denied> {
    writer.parts(b'R', &3_i32.to_be_bytes());
    writer.flush().await?;
    let frame = reader.next().await?.ok_or(WireError::ConnectionClosed)?;
    if frame.tag != b'p' {
        return Err(WireError::Malformed("a password was expected").into());
    }
    let given = digest(Cursor::new(&frame.body).text()?);
    // An unknown user costs the same comparison, so that its time tells nothing.
    let known = users.get(user).map_or("", String::as_str);
    let padded = format!("{known:0<64}");
    let equal: bool = given.as_bytes().ct_eq(padded.as_bytes()).into();
    if equal && users.contains_key(user) {
        return Ok(());
    }
    Err(Denied(
        "28P01",
        format!("password authentication failed for user \"{user}\""),
        "",
    ))
}

async fn welcome<F: Fleet>(
    settings: Settings,
    mut reader: Reader,
    mut writer: Writer,
    shared: &Rc<Shared<F>>,
) -> Login<F> {
    let entry = shared.registry.register();
    reader.set_limit(settings.message_bytes);
    writer.parts(b'R', &0_i32.to_be_bytes());
    for (name, value) in REPORTED {
        let _short = writer.message(&reply::parameter_status(name, value));
    }
    for (name, value) in [
        ("session_authorization", &settings.user),
        (parameters::APPLICATION, &settings.application.now),
    ] {
        let _short = writer.message(&reply::parameter_status(name, value));
    }
    let _short = writer.message(&reply::backend_key_data(entry.pid, entry.secret()));
    writer.parts(b'Z', b"I");
    if writer.flush().await.is_err() {
        return Login::Closed;
    }
    Login::Session(Box::new(Session::new(
        settings,
        reader,
        writer,
        entry,
        Rc::clone(shared),
        Instant::now(),
    )))
}
