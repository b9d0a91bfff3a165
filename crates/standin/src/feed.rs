//! Primary's side of replication: sends the log to one replica.

use std::{rc::Rc, time::Duration};

use base::Term;
use bytes::BytesMut;
use serde::{Deserialize, Serialize};
use slog::info;
use wire::{FrontendMessage, Reader, WireError, Writer, reply};

use crate::{member::Member, refusal::Refusal, store::Terms};

/// Time without entries after which a sign of life is sent.
const ALIVE: Duration = Duration::from_millis(500);
/// Time for a replica to take what it was sent.
const STUCK: Duration = Duration::from_secs(10);
/// Bytes of entries in one message.
const BATCH_BYTES: u64 = 64 << 10;

/// What a replica says about its log when it asks for entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Term in which the replica was ordered to follow.
    pub term: Term,
    /// End of its log.
    pub offset: u64,
    /// Terms of its log.
    pub terms: Terms,
}

/// A message to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The logs are the same up to `offset`, and the terms began where `terms` says.
    Common {
        /// Last entry that both have.
        offset: u64,
        /// Terms of the primary's log.
        terms: Terms,
    },
    /// Encoded entries that follow.
    Entries(Vec<u8>),
    /// Nothing new.
    Alive,
}

/// Verb of the request, followed by the request as JSON.
pub const VERB: &str = "REPLICATE ";

/// Serves a replica until it leaves or this member's term ends.
pub async fn serve(
    member: &Rc<Member>,
    pid: i32,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), WireError> {
    let Some(frame) = reader.next().await? else {
        return Ok(());
    };
    member.faults.thaw().await;
    let FrontendMessage::Query(sql) = FrontendMessage::parse(&frame)? else {
        return Err(WireError::Malformed("a replica sends one query"));
    };
    let (request, offset, terms) = match common(member, &sql) {
        Ok(found) => found,
        Err(refusal) => {
            writer.message(&reply::fatal(refusal.state, &refusal.message, ""))?;
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
        member.feeds.borrow_mut().insert(pid, sent);
        if batch.0.is_empty() {
            if compio::time::timeout(ALIVE, changed).await.is_err() {
                member.faults.thaw().await;
                send(writer, &Message::Alive).await?;
            }
            continue;
        }
        member.faults.thaw().await;
        let length = u64::try_from(batch.0.len()).unwrap_or_default();
        send(writer, &Message::Entries(batch.0)).await?;
        member.metrics.streamed.inc_by(length);
        sent = batch.1;
    }
}

fn common(member: &Member, sql: &str) -> Result<(Request, u64, Terms), Refusal> {
    let request: Request = sql
        .strip_prefix(VERB)
        .and_then(|text| serde_json::from_str(text).ok())
        .ok_or_else(|| Refusal::new("42601", "the request of a replica is malformed"))?;
    let store = member.store.borrow();
    if !store.is_primary() || store.position().term != request.term {
        return Err(Refusal::new(
            "55000",
            format!("this member is not the primary of term {}", request.term),
        ));
    }
    let offset = store.common(&request.terms, request.offset);
    Ok((request, offset, store.terms().to_vec()))
}

async fn send(writer: &mut Writer, message: &Message) -> Result<(), WireError> {
    let body = postcard::to_extend(message, BytesMut::new())
        .map_err(|_large| WireError::Malformed("message can't be encoded"))?;
    writer.parts(b'd', &body);
    match compio::time::timeout(STUCK, writer.flush()).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(WireError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}
