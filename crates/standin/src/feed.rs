//! Primary side of replication: sends the log to one replica.

use std::{rc::Rc, time::Duration};

use base::Term;
use bytes::BytesMut;
use serde::{Deserialize, Serialize};
use slog::info;
use wire::{FrontendMessage, Reader, WireError, Writer, reply};

use crate::{member::Member, sql_error::SqlError, store::Terms};

/// Idle time after which a keepalive is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for writing a message to a replica.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Target size of the entries in one message, in bytes.
const BATCH_BYTES: u64 = 64 << 10;

/// Replication request: describes the log of the replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Term of the FOLLOW command that the replica executes.
    pub term: Term,
    /// End of its log.
    pub offset: u64,
    /// Terms of its log.
    pub terms: Terms,
}

/// A message to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// End of the common prefix of both logs, and the terms of the primary.
    Common {
        /// Offset of the last common entry.
        offset: u64,
        /// Terms of the primary's log.
        terms: Terms,
    },
    /// The next entries, encoded as in the log file.
    Entries(Vec<u8>),
    /// Keepalive without entries.
    Alive,
}

/// Prefix of a replication request, followed by the request as JSON.
pub const REPLICATE: &str = "REPLICATE ";

/// Sends entries to a replica until it disconnects or this member's term as primary ends.
pub async fn serve(
    member: &Rc<Member>,
    pid: i32,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), WireError> {
    let Some(frame) = reader.next().await? else {
        return Ok(());
    };
    member.faults.wait_unfrozen().await;
    let FrontendMessage::Query(sql) = FrontendMessage::parse(&frame)? else {
        return Err(WireError::Malformed("a replica sends one query"));
    };
    let (request, offset, terms) = match parse_request(member, &sql) {
        Ok(found) => found,
        Err(error) => {
            writer.message(&reply::fatal(error.state, &error.message, ""))?;
            return writer.flush().await;
        }
    };
    info!(member.log, "replica connected"; "replica_offset" => request.offset, "common" => offset);
    // CopyBothResponse, with no columns.
    writer.parts(b'W', &[0, 0, 0]);
    send(writer, &Message::Common { offset, terms }).await?;
    let mut sent = offset;
    loop {
        let changed = member.changed.listen();
        let batch = {
            let store = member.store.borrow();
            if !store.is_primary() || store.position().term != request.term {
                return Ok(());
            }
            store.entries(sent, BATCH_BYTES)?
        };
        member.sent_offsets.borrow_mut().insert(pid, sent);
        if batch.0.is_empty() {
            if compio::time::timeout(KEEPALIVE_INTERVAL, changed)
                .await
                .is_err()
            {
                member.faults.wait_unfrozen().await;
                send(writer, &Message::Alive).await?;
            }
            continue;
        }
        member.faults.wait_unfrozen().await;
        let length = u64::try_from(batch.0.len()).unwrap_or_default();
        send(writer, &Message::Entries(batch.0)).await?;
        member.metrics.streamed.inc_by(length);
        sent = batch.1;
    }
}

fn parse_request(member: &Member, sql: &str) -> Result<(Request, u64, Terms), SqlError> {
    let request: Request = sql
        .strip_prefix(REPLICATE)
        .and_then(|text| serde_json::from_str(text).ok())
        .ok_or_else(|| SqlError::new("42601", "the request of a replica is malformed"))?;
    let store = member.store.borrow();
    if !store.is_primary() || store.position().term != request.term {
        return Err(SqlError::new(
            "55000",
            format!("this member is not the primary of term {}", request.term),
        ));
    }
    let offset = store.common_offset(&request.terms, request.offset);
    Ok((request, offset, store.terms().to_vec()))
}

async fn send(writer: &mut Writer, message: &Message) -> Result<(), WireError> {
    let body = postcard::to_extend(message, BytesMut::new())
        .map_err(|_large| WireError::Malformed("message can't be encoded"))?;
    writer.parts(b'd', &body);
    match compio::time::timeout(SEND_TIMEOUT, writer.flush()).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(WireError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}
