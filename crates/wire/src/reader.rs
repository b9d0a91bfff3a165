//! Reading messages from a stream.

use std::{future::poll_fn, task::Poll};

use bytes::{Buf, Bytes, BytesMut};
use compio::{buf::BufResult, io::AsyncReadExt, net::TcpStream};

use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};

use crate::{Frame, InitialMessage, WireError};

/// Space offered to one read on an idle connection, in bytes. Thousands of idle callers hold one
/// buffer each, so that it is small and grows only while a connection is busy.
const IDLE_BYTES: usize = 1 << 10;
/// Space offered to one read on a busy connection, in bytes.
const BUSY_BYTES: usize = 16 << 10;
/// Most bytes taken without waiting.
const READY_BYTES: usize = 4 << 10;
/// Longest first message, in bytes.
const OPENING_BYTES: usize = 10_000;
/// Bytes of type and length before a body.
const HEAD_BYTES: usize = 5;

/// What a connection had without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// Some bytes, which are buffered now.
    Bytes,
    /// Nothing yet.
    Nothing,
    /// The peer has closed the connection.
    End,
}

/// Reads frames from one end of a connection.
///
/// A dropped `next` future may lose bytes: after a timeout the connection must not be read again.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buffer: BytesMut,
    limit: usize,
    busy: bool,
    received: u64,
}

impl Reader {
    /// Reads from `stream`, refusing messages over `limit` bytes.
    #[must_use]
    pub fn new(stream: TcpStream, limit: usize) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            limit,
            busy: false,
            received: 0,
        }
    }

    /// Changes the longest length accepted, in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Takes a frame that has arrived in full, without waiting.
    ///
    /// # Errors
    /// The length field is impossible or over the limit.
    pub fn buffered(&mut self) -> Result<Option<Frame>, WireError> {
        if self.buffer.len() < HEAD_BYTES {
            return Ok(None);
        }
        let tag = self.buffer[0];
        let claimed = i32::from_be_bytes([
            self.buffer[1],
            self.buffer[2],
            self.buffer[3],
            self.buffer[4],
        ]);
        let length = usize::try_from(claimed)
            .map_err(|_negative| WireError::Malformed("negative length"))?;
        if length < 4 {
            return Err(WireError::Malformed("length under 4"));
        }
        if length > self.limit {
            return Err(WireError::TooLarge {
                length,
                limit: self.limit,
            });
        }
        if self.buffer.len() < length + 1 {
            return Ok(None);
        }
        self.buffer.advance(HEAD_BYTES);
        let body = self.buffer.split_to(length - 4).freeze();
        Ok(Some(Frame { tag, body }))
    }

    /// Waits for the next frame; `None` when the peer closed the connection between messages.
    ///
    /// # Errors
    /// The transport failed, the peer left in mid-message, or the bytes are no message.
    pub async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(Some(frame));
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(WireError::ConnectionClosed)
                };
            }
        }
    }

    /// Waits for the next line and returns it without its end, which is LF with or without CR;
    /// `None` when the peer closed the connection between lines.
    ///
    /// # Errors
    /// The transport failed, the peer left in the middle of a line, or a line is over the limit.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, WireError> {
        let mut searched = 0;
        loop {
            let end = self.buffer[searched..].iter().position(|b| *b == b'\n');
            if let Some(end) = end {
                let mut line = self.buffer.split_to(searched + end + 1);
                line.truncate(line.len() - 1);
                if line.last() == Some(&b'\r') {
                    line.truncate(line.len() - 1);
                }
                return Ok(Some(line.freeze()));
            }
            searched = self.buffer.len();
            if searched > self.limit {
                return Err(WireError::TooLarge {
                    length: searched,
                    limit: self.limit,
                });
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(WireError::ConnectionClosed)
                };
            }
        }
    }

    /// Waits for the first message of a connection; `None` when the peer closed it.
    ///
    /// # Errors
    /// As [`Reader::next`].
    pub async fn initial_message(&mut self) -> Result<Option<InitialMessage>, WireError> {
        loop {
            if self.buffer.len() >= 4 {
                let claimed = i32::from_be_bytes([
                    self.buffer[0],
                    self.buffer[1],
                    self.buffer[2],
                    self.buffer[3],
                ]);
                let length = usize::try_from(claimed)
                    .map_err(|_negative| WireError::Malformed("negative length"))?;
                if length < 8 {
                    return Err(WireError::Malformed("first message too short"));
                }
                if length > OPENING_BYTES {
                    return Err(WireError::TooLarge {
                        length,
                        limit: OPENING_BYTES,
                    });
                }
                if self.buffer.len() >= length {
                    self.buffer.advance(4);
                    let body = self.buffer.split_to(length - 4);
                    return InitialMessage::parse(&body).map(Some);
                }
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(WireError::ConnectionClosed)
                };
            }
        }
    }

    /// Waits until something arrives or the connection ends, and takes nothing: unlike a read, the
    /// wait may be dropped at any time.
    pub async fn readable(&self) {
        // A stream that can't be waited for shows its fault in the next read.
        if let Ok(stream) = self.stream.to_poll_fd() {
            let _ready = stream.read_ready().await;
        }
    }

    /// Whether bytes have arrived that are not taken yet.
    #[must_use]
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes received so far.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }

    async fn fill(&mut self) -> Result<bool, WireError> {
        match self.receive_now().await? {
            Received::Bytes => Ok(true),
            Received::End => Ok(false),
            Received::Nothing => self.receive().await,
        }
    }

    /// Waits with the poller for bytes; false when the peer closed the connection.
    ///
    /// # Errors
    /// The transport failed.
    pub async fn receive(&mut self) -> Result<bool, WireError> {
        let want = if self.busy { BUSY_BYTES } else { IDLE_BYTES };
        let mut buffer = std::mem::take(&mut self.buffer);
        if buffer.is_empty() {
            // Frames handed out keep the old block alive; a fresh one lets it go with them.
            buffer = BytesMut::with_capacity(want);
        } else {
            buffer.reserve(want);
        }
        let space = buffer.capacity() - buffer.len();
        let BufResult(result, buffer) = self.stream.append(buffer).await;
        self.buffer = buffer;
        let count = result?;
        self.busy = count == space;
        self.received += count as u64;
        Ok(count > 0)
    }

    /// Lets the other tasks that are ready run, and takes what has arrived by then. Under load the
    /// next message is often there, which saves the registration with the poller.
    ///
    /// # Errors
    /// The transport failed.
    pub async fn receive_now(&mut self) -> Result<Received, WireError> {
        yield_now().await;
        let mut block = [0; READY_BYTES];
        match recv(&self.stream, &mut block, RecvFlags::DONTWAIT) {
            Ok((0, _)) => Ok(Received::End),
            Ok((count, _)) => {
                self.buffer.extend_from_slice(&block[..count]);
                self.busy = count == block.len();
                self.received += count as u64;
                Ok(Received::Bytes)
            }
            Err(Errno::AGAIN | Errno::INTR) => Ok(Received::Nothing),
            Err(cause) => Err(std::io::Error::from(cause).into()),
        }
    }
}

/// Gives way to the tasks that are ready.
async fn yield_now() {
    let mut yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
