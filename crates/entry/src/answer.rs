//! Forwarding an upstream's answer to the caller.

use std::{
    collections::VecDeque,
    fmt,
    time::{Duration, Instant},
};

use base::Position;
use compio::time::{Elapsed, timeout_at};
use wire::{Client, Frame, Received, WireError, Writer};

use crate::{
    fleet::Lease,
    statements::{NameChange, Names},
};

/// Parameter in which an upstream reports its position.
const POSITION_PARAMETER: &str = "upstream_position";
/// Bytes of a streamed answer that are buffered before they are written to the caller.
const STREAM_BYTES: usize = 16 << 10;

/// Answer to a message of an extended query that is still outstanding.
#[derive(Debug)]
pub enum Expect {
    /// `ParseComplete`: the name of the statement on the connection, and the change of the caller's
    /// names if the caller sent the `Parse`.
    Parse(String, Option<NameChange>),
    /// `BindComplete`, forwarded if the caller sent the `Bind`.
    Bind(bool),
    /// `CloseComplete` of a portal.
    ClosePortal,
    /// `CloseComplete` of an evicted statement, with its name.
    Evict(String),
    /// Description of a statement or portal.
    Describe,
    /// Rows and the end of a statement.
    Execute,
    /// Answer that the proxy produces, with the change of names that belongs to it.
    Local(Vec<u8>, Option<NameChange>),
    /// Error of the message that makes the upstream skip the rest; replaced by this one.
    Fail(Vec<u8>),
}

/// How an answer is delivered to the caller.
#[derive(Debug, Clone, Copy)]
pub enum Delivery {
    /// Buffered in the caller's writer, up to this many bytes.
    Held(usize),
    /// Written to the caller as it arrives.
    Streamed,
}

/// Summary of an answer.
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
    /// Whether a COMMIT completed; another transaction may have begun after it.
    pub committed: bool,
    /// Whether it contains rows.
    pub rows: bool,
    /// Whether some of it has been written to the caller.
    pub written: bool,
    /// Whether it was too large to buffer and was dropped.
    pub overflow: bool,
}

/// Why there is no complete answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection failed before a complete message was sent.
    NotSent(WireError),
    /// The connection failed, or the upstream violated the protocol.
    Upstream(WireError),
    /// The deadline passed.
    DeadlineExceeded,
    /// The statement started a COPY.
    Copy,
    /// The caller has disconnected or doesn't read.
    Caller,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) | Self::Upstream(cause) => {
                write!(f, "the connection to the database broke: {cause}")
            }
            Self::DeadlineExceeded => f.write_str("the database didn't answer before the deadline"),
            Self::Copy => f.write_str("the statement started a COPY, which is not passed through"),
            Self::Caller => f.write_str("the caller doesn't read its answer"),
        }
    }
}

impl From<WireError> for ExchangeError {
    fn from(cause: WireError) -> Self {
        Self::Upstream(cause)
    }
}

/// Last position that the upstream reported on a connection.
pub fn position(client: &Client) -> Option<Position> {
    client.parameters.get(POSITION_PARAMETER)?.parse().ok()
}

/// Waits for the next frame of the upstream.
pub(crate) async fn next_frame(
    client: &mut Client,
    until: Instant,
) -> Result<Frame, ExchangeError> {
    if let Some(frame) = client.reader.buffered()? {
        return Ok(frame);
    }
    // Setting a timer costs more than the read, so none is set for data that has already arrived.
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
        Err(_elapsed) => Err(ExchangeError::DeadlineExceeded),
    }
}

/// Writes everything that is buffered, by the deadline at the latest.
///
/// A timer is set only if the socket does not accept all of it at once.
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

/// Time in which a caller must take 64 KiB of an answer while its request occupies a connection.
const STEP_LIMIT: Duration = Duration::from_secs(3);

/// Forwards the answer to one request, without its `ReadyForQuery`.
pub(crate) struct Forwarder<'a> {
    /// Writer to the caller.
    pub(crate) writer: &'a mut Writer,
    /// Prepared statements and portals of the caller.
    pub(crate) names: &'a mut Names,
    /// Expected answers; `None` for a simple query.
    pub(crate) expects: Option<VecDeque<Expect>>,
    /// How the answer is delivered.
    pub(crate) delivery: Delivery,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
    /// Longest time that the upstream or the caller may stall in a streamed answer.
    pub(crate) stall: Duration,
    /// Whether some of the answer has been written to the caller.
    pub(crate) written: bool,
}

impl Forwarder<'_> {
    /// Reads the answer up to its `ReadyForQuery`.
    pub(crate) async fn run<L: Lease>(&mut self, lease: &mut L) -> Result<Answer, ExchangeError> {
        let output_start = self.writer.pending_len();
        let mut answer = Answer::default();
        loop {
            self.push_local();
            let until = if self.written {
                Instant::now() + self.stall
            } else {
                self.deadline
            };
            let frame = next_frame(lease.client(), until).await?;
            match frame.tag {
                b'Z' => {
                    answer.status = frame.transaction_status().unwrap_or(b'I');
                    if answer.overflow {
                        self.writer.truncate(output_start);
                    }
                    return Ok(answer);
                }
                b'S' => {
                    let (name, _value) = frame
                        .parameter_status()
                        .ok_or(WireError::Malformed("parameter status"))?;
                    lease.client().record_parameter(&frame);
                    if name != POSITION_PARAMETER {
                        self.writer.frame(&frame);
                    }
                    continue;
                }
                // Notifications are dropped, because LISTEN is not supported over pooled
                // connections.
                b'A' => continue,
                b'G' | b'H' | b'W' => return Err(ExchangeError::Copy),
                b'E' => self.handle_error(&frame, &mut answer),
                b'N' => self.writer.frame(&frame),
                _ => {
                    if self.match_frame(&frame, lease, &mut answer)? {
                        self.writer.frame(&frame);
                    }
                }
            }
            let held = self.writer.pending_len() - output_start;
            match self.delivery {
                Delivery::Held(limit) if answer.overflow || held > limit => {
                    answer.overflow = true;
                    self.writer.truncate(output_start);
                }
                Delivery::Streamed if self.writer.pending_len() >= STREAM_BYTES => {
                    answer.written = true;
                    self.written = true;
                    let limit = self.stall.min(STEP_LIMIT);
                    if self.writer.flush_in_steps(limit).await.is_err() {
                        return Err(ExchangeError::Caller);
                    }
                }
                _ => {}
            }
        }
    }

    /// Adds the answers that the proxy produces and that are next in order.
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

    fn handle_error(&mut self, frame: &Frame, answer: &mut Answer) {
        if answer.sqlstate.is_none() {
            answer.sqlstate = Some(frame.sqlstate().unwrap_or("XX000").to_owned());
            frame
                .field(b'M')
                .unwrap_or_default()
                .clone_into(&mut answer.message);
        }
        let expected = match &mut self.expects {
            Some(expects) => {
                let failed = expects.pop_front();
                expects.clear();
                failed
            }
            None => None,
        };
        match expected {
            Some(Expect::Fail(message)) => self.writer.bytes(&message),
            _ => self.writer.frame(frame),
        }
    }

    /// Matches a frame with the expected answers; returns whether to forward it to the caller.
    fn match_frame<L: Lease>(
        &mut self,
        frame: &Frame,
        lease: &mut L,
        answer: &mut Answer,
    ) -> Result<bool, ExchangeError> {
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
                _ => Err(unexpected_message()),
            };
        };
        match (frame.tag, expects.front()) {
            (b't', Some(Expect::Describe)) | (b'D', Some(Expect::Execute)) => return Ok(true),
            (b'T' | b'n', Some(Expect::Describe))
            | (b'C' | b's' | b'I', Some(Expect::Execute))
            | (b'1', Some(Expect::Parse(..)))
            | (b'2', Some(Expect::Bind(_)))
            | (b'3', Some(Expect::ClosePortal | Expect::Evict(_))) => {}
            _ => return Err(unexpected_message()),
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

fn unexpected_message() -> ExchangeError {
    ExchangeError::Upstream(WireError::Malformed("message out of turn"))
}
