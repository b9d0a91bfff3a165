//! Forwarding an upstream's answer on to the caller.

use std::{
    collections::VecDeque,
    fmt,
    time::{Duration, Instant},
};

use base::Position;
use compio::time::{Elapsed, timeout, timeout_at};
use wire::{Client, Frame, Received, WireError, Writer};

use crate::{
    fleet::Lease,
    statements::{NameChange, Names},
};

/// Parameter in which an upstream reports its position.
const POSITION: &str = "upstream_position";
/// Bytes of a streamed answer that are gathered before they are written to the caller.
const STREAM_BYTES: usize = 16 << 10;

/// Message of an extended query that is still to be answered.
#[derive(Debug)]
pub enum Expect {
    /// `ParseComplete`: the name that the statement then has on the connection, and the change of
    /// the caller's names when the caller asked for it itself.
    Parse(String, Option<NameChange>),
    /// `BindComplete`, passed on when the caller asked for it itself.
    Bind(bool),
    /// `CloseComplete` of a portal.
    ClosePortal,
    /// `CloseComplete` of a statement that the connection held too long, with its name.
    Evict(String),
    /// Description of a statement or portal.
    Describe,
    /// Rows and the end of a statement.
    Execute,
    /// Answer that is produced here, with the change of names that goes with it.
    Local(Vec<u8>, Option<NameChange>),
    /// Refusal of a message that has the upstream skip the rest; replaced by this one.
    Fail(Vec<u8>),
}

/// How an answer reaches the caller.
#[derive(Debug, Clone, Copy)]
pub enum Delivery {
    /// Kept in the caller's writer, up to so many bytes.
    Held(usize),
    /// Written to the caller as it comes.
    Streamed,
}

/// What an answer was.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a separate fact of the answer"
)]
pub struct Answer {
    /// Transaction status at its end.
    pub status: u8,
    /// SQLSTATE of the first error.
    pub sqlstate: Option<String>,
    /// Message of the first error.
    pub message: String,
    /// Whether a statement completed.
    pub completed: bool,
    /// Whether the last statement that completed was a ROLLBACK.
    pub rolled_back: bool,
    /// Whether a COMMIT completed, after which another transaction may have begun.
    pub committed: bool,
    /// Whether it holds rows.
    pub rows: bool,
    /// Whether some of it has been written to the caller.
    pub written: bool,
    /// Whether it was too large to be held, so that nothing of it is kept.
    pub overflow: bool,
}

/// Why no whole answer came.
#[derive(Debug)]
pub enum Broken {
    /// Not one whole message was sent.
    Unsent(WireError),
    /// The connection failed, or its messages made no sense.
    Upstream(WireError),
    /// The deadline passed.
    Late,
    /// The statement started a COPY.
    Copy,
    /// The caller is gone or doesn't read.
    Caller,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(cause) | Self::Upstream(cause) => {
                write!(f, "the connection to the database broke: {cause}")
            }
            Self::Late => f.write_str("the database didn't answer before the deadline"),
            Self::Copy => f.write_str("the statement started a COPY, which is not passed through"),
            Self::Caller => f.write_str("the caller doesn't read its answer"),
        }
    }
}

impl From<WireError> for Broken {
    fn from(cause: WireError) -> Self {
        Self::Upstream(cause)
    }
}

/// Position that the upstream reported last on a connection.
pub fn position(client: &Client) -> Option<Position> {
    client.parameters.get(POSITION)?.parse().ok()
}

/// Waits for a frame of the upstream.
pub(crate) async fn frame(client: &mut Client, until: Instant) -> Result<Frame, Broken> {
    if let Some(frame) = client.reader.buffered()? {
        return Ok(frame);
    }
    // A timer costs more than the read, so that none is set for what is there already.
    let received = client.reader.receive_now().await?;
    if let Some(frame) = client.reader.buffered()? {
        return Ok(frame);
    }
    let waiting = async {
        if received == Received::Nothing && !client.reader.receive().await? {
            return Err(WireError::ConnectionClosed);
        }
        client.frame().await
    };
    match timeout_at(until, waiting).await {
        Ok(frame) => Ok(frame?),
        Err(_elapsed) => Err(Broken::Late),
    }
}

/// Writes everything that was added, by the deadline at the latest.
///
/// A timer is set only for what the socket does not take at once.
pub(crate) async fn flush_by(
    writer: &mut Writer,
    until: Instant,
) -> Result<Result<(), WireError>, Elapsed> {
    match writer.send_now() {
        Ok(true) => Ok(Ok(())),
        Ok(false) => timeout_at(until, writer.flush()).await,
        Err(cause) => Ok(Err(cause)),
    }
}

/// Passes the answer to one request on, without its `ReadyForQuery`.
pub(crate) struct Forwarder<'a> {
    /// Caller.
    pub(crate) writer: &'a mut Writer,
    /// Names of the caller.
    pub(crate) names: &'a mut Names,
    /// Messages to be answered; `None` for a simple query.
    pub(crate) expects: Option<VecDeque<Expect>>,
    /// How it reaches the caller.
    pub(crate) delivery: Delivery,
    /// When the caller gives up.
    pub(crate) deadline: Instant,
    /// Longest pause of an upstream or caller in a streamed answer.
    pub(crate) stall: Duration,
    /// Whether some of the answer has been written to the caller.
    pub(crate) written: bool,
}

impl Forwarder<'_> {
    /// Reads the answer up to its `ReadyForQuery`.
    pub(crate) async fn run<L: Lease>(&mut self, lease: &mut L) -> Result<Answer, Broken> {
        let mark = self.writer.pending_len();
        let mut answer = Answer::default();
        loop {
            self.push_local();
            let until = if self.written {
                Instant::now() + self.stall
            } else {
                self.deadline
            };
            let frame = frame(lease.client(), until).await?;
            match frame.tag {
                b'Z' => {
                    answer.status = frame.transaction_status().unwrap_or(b'I');
                    if answer.overflow {
                        self.writer.truncate(mark);
                    }
                    return Ok(answer);
                }
                b'S' => {
                    let (name, _value) = frame
                        .parameter_status()
                        .ok_or(WireError::Malformed("parameter status"))?;
                    lease.client().record_parameter(&frame);
                    if name != POSITION {
                        self.writer.frame(&frame);
                    }
                    continue;
                }
                // Nobody listens over a pooled connection.
                b'A' => continue,
                b'G' | b'H' | b'W' => return Err(Broken::Copy),
                b'E' => self.error(&frame, &mut answer),
                b'N' => self.writer.frame(&frame),
                _ => {
                    if self.expected(&frame, lease, &mut answer)? {
                        self.writer.frame(&frame);
                    }
                }
            }
            let held = self.writer.pending_len() - mark;
            match self.delivery {
                Delivery::Held(limit) if answer.overflow || held > limit => {
                    answer.overflow = true;
                    self.writer.truncate(mark);
                }
                Delivery::Streamed if self.writer.pending_len() >= STREAM_BYTES => {
                    answer.written = true;
                    self.written = true;
                    match timeout(self.stall, self.writer.flush()).await {
                        Ok(Ok(())) => {}
                        _ => return Err(Broken::Caller),
                    }
                }
                _ => {}
            }
        }
    }

    /// Adds answers that are produced here, in their turn.
    fn push_local(&mut self) {
        let Some(expects) = &mut self.expects else {
            return;
        };
        while let Some(Expect::Local(message, change)) =
            expects.pop_front_if(|expect| matches!(expect, Expect::Local(..)))
        {
            self.writer.bytes(&message);
            if let Some(change) = change {
                self.names.apply(change);
            }
        }
    }

    fn error(&mut self, frame: &Frame, answer: &mut Answer) {
        if answer.sqlstate.is_none() {
            answer.sqlstate = Some(frame.sqlstate().unwrap_or("XX000").to_owned());
            frame
                .field(b'M')
                .unwrap_or_default()
                .clone_into(&mut answer.message);
        }
        let own = match &mut self.expects {
            Some(expects) => {
                let front = expects.pop_front();
                expects.clear();
                front
            }
            None => None,
        };
        match own {
            Some(Expect::Fail(message)) => self.writer.bytes(&message),
            _ => self.writer.frame(frame),
        }
    }

    /// Matches a frame with what is expected, and tells whether it is for the caller.
    fn expected<L: Lease>(
        &mut self,
        frame: &Frame,
        lease: &mut L,
        answer: &mut Answer,
    ) -> Result<bool, Broken> {
        match frame.tag {
            b'D' => answer.rows = true,
            b'C' => {
                answer.completed = true;
                let command = frame.command_tag();
                answer.rolled_back = command == Some("ROLLBACK");
                answer.committed |= command == Some("COMMIT");
            }
            b's' | b'I' => answer.completed = true,
            _ => {}
        }
        let Some(expects) = &mut self.expects else {
            return match frame.tag {
                b'T' | b'D' | b'C' | b'I' => Ok(true),
                _ => Err(unexpected()),
            };
        };
        match (frame.tag, expects.front()) {
            (b't', Some(Expect::Describe)) | (b'D', Some(Expect::Execute)) => return Ok(true),
            (b'T' | b'n', Some(Expect::Describe))
            | (b'C' | b's' | b'I', Some(Expect::Execute))
            | (b'1', Some(Expect::Parse(..)))
            | (b'2', Some(Expect::Bind(_)))
            | (b'3', Some(Expect::ClosePortal | Expect::Evict(_))) => {}
            _ => return Err(unexpected()),
        }
        Ok(match expects.pop_front() {
            Some(Expect::Parse(name, change)) => {
                if !name.is_empty() {
                    lease.prepared().insert(name);
                }
                let visible = change.is_some();
                if let Some(change) = change {
                    self.names.apply(change);
                }
                visible
            }
            Some(Expect::Bind(visible)) => visible,
            Some(Expect::Evict(name)) => {
                lease.prepared().remove(&name);
                false
            }
            _ => true,
        })
    }
}

fn unexpected() -> Broken {
    Broken::Upstream(WireError::Malformed("message out of turn"))
}
