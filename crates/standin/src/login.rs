//! Logins over the PostgreSQL protocol, and what each kind of login is served with.

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

/// Time for a client to log in.
const LOGIN: Duration = Duration::from_secs(10);
/// Longest message, in bytes.
const MESSAGE_BYTES: usize = 64 << 20;

/// Serves one connection until it ends.
pub async fn serve(member: Rc<Member>, stream: TcpStream) {
    let (read, write) = (stream.clone(), stream);
    let mut reader = Reader::new(read, MESSAGE_BYTES);
    let mut writer = Writer::new(write);
    let login = compio::time::timeout(LOGIN, opening(&member, &mut reader, &mut writer));
    let outcome = match login.await {
        Ok(Ok(Some(parameters))) => start(&member, reader, writer, parameters).await,
        Ok(Ok(None)) | Err(_) => Ok(()),
        Ok(Err(cause)) => refuse(&mut writer, &cause).await,
    };
    if let Err(cause) = outcome {
        debug!(member.log, "connection ended"; "cause" => %cause);
    }
}

/// Handles the messages before a session; `None` when there will be no session.
async fn opening(
    member: &Member,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<Option<Map<String, String>>, WireError> {
    // A client may ask for each kind of encryption once.
    for _ in 0..3 {
        let opening = reader.initial_message().await?;
        member.faults.thaw().await;
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

async fn refuse(writer: &mut Writer, cause: &WireError) -> Result<(), WireError> {
    let state = match cause {
        WireError::Io(_) | WireError::ConnectionClosed => return Ok(()),
        WireError::TooLarge { .. } => "54000",
        WireError::Malformed(_) => "08P01",
    };
    writer.message(&reply::fatal(state, &cause.to_string(), ""))?;
    writer.flush().await
}

/// What a session is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Data,
    Manage,
    Replicate,
}

/// Counts a session as long as it lives.
struct Place {
    member: Rc<Member>,
    pid: i32,
    counted: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.member.sessions.borrow_mut().remove(&self.pid);
        self.member.feeds.borrow_mut().remove(&self.pid);
        if self.counted {
            let left = self.member.connections.get() - 1;
            self.member.connections.set(left);
            self.member.metrics.connections.set(left.into());
        }
    }
}

async fn start(
    member: &Rc<Member>,
    mut reader: Reader,
    mut writer: Writer,
    parameters: Map<String, String>,
) -> Result<(), WireError> {
    let user = parameters.get("user").map(String::as_str);
    let database = parameters.get("database").map(String::as_str);
    let purpose = match user {
        Some("monitor") => Purpose::Manage,
        Some("replication") => Purpose::Replicate,
        _ => Purpose::Data,
    };
    let refusal = if user.is_none_or(str::is_empty) {
        Some(("28000", "no user name is given"))
    } else if purpose != Purpose::Data {
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
    if let Some((state, message)) = refusal {
        member.metrics.errors.with_label_values(&[state]).inc();
        writer.message(&reply::fatal(state, message, ""))?;
        return writer.flush().await;
    }
    let counted = purpose == Purpose::Data;
    if counted {
        let connections = member.connections.get() + 1;
        member.connections.set(connections);
        member.metrics.connections.set(connections.into());
    }
    let (pid, handle) = member.enter();
    let _place = Place {
        member: Rc::clone(member),
        pid,
        counted,
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
    if purpose == Purpose::Replicate {
        return feed::serve(member, pid, &mut reader, &mut writer).await;
    }
    let managing = purpose == Purpose::Manage;
    let mut session = Session::new(
        Rc::clone(member),
        reader,
        writer,
        handle,
        managing,
        parameters,
    );
    match session.run().await {
        Ok(()) => Ok(()),
        Err(cause) => refuse(&mut session.writer, &cause).await,
    }
}
