//! Login over the PostgreSQL protocol and dispatch by kind of session.

use std::{rc::Rc, time::Duration};

use base::Map;
use compio::net::TcpStream;
use slog::debug;
use wire::{
    InitialMessage, Reader, WireError, Writer,
    pg::{response::TransactionStatus, startup::Authentication},
    reply,
};

use crate::{
    feed,
    member::Member,
    session::{Session, VERSION},
};

/// Time limit for a login.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Serves one connection until it ends.
pub async fn serve(member: Rc<Member>, stream: TcpStream) {
    let (read, write) = (stream.clone(), stream);
    let mut reader = Reader::new(read, MAX_MESSAGE_BYTES);
    let mut writer = Writer::new(write);
    let login = compio::time::timeout(LOGIN_TIMEOUT, negotiate(&member, &mut reader, &mut writer));
    let outcome = match login.await {
        Ok(Ok(Some(parameters))) => run_session(&member, reader, writer, parameters).await,
        Ok(Ok(None)) | Err(_) => Ok(()),
        Ok(Err(cause)) => send_fatal(&mut writer, &cause).await,
    };
    if let Err(cause) = outcome {
        debug!(member.log, "connection ended"; "cause" => %cause);
    }
}

/// Handles messages up to the startup message and returns its parameters; `None` when the
/// connection ends without a session.
async fn negotiate(
    member: &Member,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<Option<Map<String, String>>, WireError> {
    // A client may send one SSLRequest and one GSSENCRequest before its startup message.
    for _ in 0..3 {
        let opening = reader.initial_message().await?;
        member.faults.wait_unfrozen().await;
        match opening {
            None => return Ok(None),
            Some(InitialMessage::Ssl | InitialMessage::Gss) => {
                writer.bytes(b"N");
                writer.flush().await?;
            }
            Some(InitialMessage::Cancel { pid, secret }) => {
                member.cancel(pid, secret);
                return Ok(None);
            }
            Some(InitialMessage::Startup(parameters, _)) => return Ok(Some(parameters)),
            Some(InitialMessage::UnsupportedVersion(major, minor)) => {
                let message = format!("protocol {major}.{minor} is not supported; use 3.0");
                writer.message(&reply::fatal("0A000", &message, ""))?;
                writer.flush().await?;
                return Ok(None);
            }
        }
    }
    Err(WireError::Malformed("too many requests for encryption"))
}

async fn send_fatal(writer: &mut Writer, cause: &WireError) -> Result<(), WireError> {
    let state = match cause {
        WireError::Io(_) | WireError::ConnectionClosed => return Ok(()),
        WireError::TooLarge { .. } => "54000",
        WireError::Malformed(_) => "08P01",
    };
    writer.message(&reply::fatal(state, &cause.to_string(), ""))?;
    writer.flush().await
}

/// Kind of a session, chosen by user name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SessionKind {
    Data,
    Management,
    Replication,
}

/// Unregisters a session on drop.
struct SessionGuard {
    member: Rc<Member>,
    pid: i32,
    is_data: bool,
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.member.sessions.borrow_mut().remove(&self.pid);
        self.member.sent_offsets.borrow_mut().remove(&self.pid);
        if self.is_data {
            let remaining = self.member.connections.get() - 1;
            self.member.connections.set(remaining);
            self.member.metrics.connections.set(remaining.into());
        }
    }
}

async fn run_session(
    member: &Rc<Member>,
    mut reader: Reader,
    mut writer: Writer,
    parameters: Map<String, String>,
) -> Result<(), WireError> {
    let user = parameters.get("user").map(String::as_str);
    let database = parameters.get("database").map(String::as_str);
    let kind = match user {
        Some("monitor") => SessionKind::Management,
        Some("replication") => SessionKind::Replication,
        _ => SessionKind::Data,
    };
    let rejection = if user.is_none_or(str::is_empty) {
        Some(("28000", "no user name is given"))
    } else if kind != SessionKind::Data {
        None
    } else if database.or(user) != Some(&member.settings.group) {
        Some(("3D000", "the database is not the group of this member"))
    } else if member.closing.get() {
        Some(("57P03", "the database system is shutting down"))
    } else if member.connections.get() >= member.settings.connections {
        Some(("53300", "sorry, too many clients already"))
    } else {
        None
    };
    if let Some((state, message)) = rejection {
        member.metrics.errors.with_label_values(&[state]).inc();
        writer.message(&reply::fatal(state, message, ""))?;
        return writer.flush().await;
    }
    let is_data = kind == SessionKind::Data;
    if is_data {
        let connections = member.connections.get() + 1;
        member.connections.set(connections);
        member.metrics.connections.set(connections.into());
    }
    let (pid, handle) = member.register_session();
    let _guard = SessionGuard {
        member: Rc::clone(member),
        pid,
        is_data,
    };
    if member.settings.connect_ms > 0 {
        compio::time::sleep(Duration::from_millis(member.settings.connect_ms)).await;
    }
    writer.message(&Authentication::Ok)?;
    for (name, value) in [
        ("server_version", VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        writer.message(&reply::parameter_status(name, value))?;
    }
    writer.message(&reply::backend_key_data(pid, handle.secret))?;
    writer.message(&reply::ready_for_query(TransactionStatus::Idle))?;
    writer.flush().await?;
    if kind == SessionKind::Replication {
        return feed::serve(member, pid, &mut reader, &mut writer).await;
    }
    let is_management = kind == SessionKind::Management;
    let mut session = Session::new(
        Rc::clone(member),
        reader,
        writer,
        handle,
        is_management,
        parameters,
    );
    match session.run().await {
        Ok(()) => Ok(()),
        Err(cause) => send_fatal(&mut session.writer, &cause).await,
    }
}
