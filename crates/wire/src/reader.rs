//! Reading messages from a stream.

use std::{future::poll_fn, task::Poll};

use bytes::{Buf, Bytes, BytesMut};
use compio::{buf::BufResult, io::AsyncReadExt, net::TcpStream};

use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};

use crate::{Frame, InitialMessage, WireError};

/// Buffer space for one read on an idle connection, in bytes. Thousands of idle callers have one
/// buffer each, so it is small and grows only while a connection is busy.
const IDLE_READ_BYTES: usize = 1 << 10;
/// Buffer space for one read on a busy connection, in bytes.
const BUSY_READ_BYTES: usize = 16 << 10;
/// Maximum number of bytes per non-blocking read.
const NONBLOCKING_READ_BYTES: usize = 4 << 10;
/// Maximum size of the first message, in bytes.
const MAX_INITIAL_BYTES: usize = 10_000;
/// Size of the type byte and length field before a body.
const HEADER_BYTES: usize = 5;
/// Terminator of a line.
const LINE_END: &[u8] = b"\r\n";

/// Result of a non-blocking read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// Bytes arrived and were added to the buffer.
    Bytes,
    /// No bytes have arrived yet.
    Nothing,
    /// The peer has closed the connection.
    End,
}

/// Reads frames from one end of a connection.
///
/// The methods that wait for a message are not cancel-safe: dropping their future may lose bytes,
/// so the connection must not be read again after a timeout.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buffer: BytesMut,
    limit: usize,
    busy: bool,
    received: u64,
}

impl Reader {
    /// Reads from `stream`, rejecting messages over `limit` bytes.
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

    /// Sets the maximum size of a message, in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Removes the next complete frame from the buffer, without waiting; `None` if there is none.
    ///
    /// # Errors
    /// The length field is invalid or over the limit.
    pub fn buffered(&mut self) -> Result<Option<Frame>, WireError> {
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let tag = self.buffer[0];
        let stated_length = i32::from_be_bytes([
            self.buffer[1],
            self.buffer[2],
            self.buffer[3],
            self.buffer[4],
        ]);
        let length = usize::try_from(stated_length)
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
        self.buffer.advance(HEADER_BYTES);
        let body = self.buffer.split_to(length - 4).freeze();
        Ok(Some(Frame { tag, body }))
    }

    /// Waits for the next frame; `None` when the peer closed the connection between messages.
    ///
    /// # Errors
    /// The transport failed, the peer disconnected in the middle of a message, or the bytes are not
    /// a valid message.
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

    /// Waits for the next line and returns it without its terminator, CR LF; `None` when the peer
    /// closed the connection between lines. A CR or LF alone belongs to the line.
    ///
    /// # Errors
    /// The transport failed, the peer disconnected in the middle of a line, or a line is over the
    /// limit.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, WireError> {
        let mut searched = 0;
        loop {
            let mut pairs = self.buffer[searched..].windows(LINE_END.len());
            if let Some(end) = pairs.position(|pair| pair == LINE_END) {
                let line = self.buffer.split_to(searched + end);
                self.buffer.advance(LINE_END.len());
                return Ok(Some(line.freeze()));
            }
            if self.buffer.len() > self.limit {
                return Err(WireError::TooLarge {
                    length: self.buffer.len(),
                    limit: self.limit,
                });
            }
            // The last byte may be a CR whose LF has not arrived yet.
            searched = self.buffer.len().saturating_sub(1);
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
                let stated_length = i32::from_be_bytes([
                    self.buffer[0],
                    self.buffer[1],
                    self.buffer[2],
                    self.buffer[3],
                ]);
                let length = usize::try_from(stated_length)
                    .map_err(|_negative| WireError::Malformed("negative length"))?;
                if length < 8 {
                    return Err(WireError::Malformed("first message too short"));
                }
                if length > MAX_INITIAL_BYTES {
                    return Err(WireError::TooLarge {
                        length,
                        limit: MAX_INITIAL_BYTES,
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

    /// Waits until bytes arrive or the connection ends, without reading anything. Unlike a read,
    /// this future is cancel-safe.
    pub async fn readable(&self) {
        // If the stream can't be polled, the next read returns the error.
        if let Ok(stream) = self.stream.to_poll_fd() {
            let _ready = stream.read_ready().await;
        }
    }

    /// Whether the buffer contains bytes that have not been consumed.
    #[must_use]
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes received so far.
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

    /// Waits for bytes through the poller and buffers them; `false` if the peer closed the
    /// connection.
    ///
    /// # Errors
    /// The transport failed.
    pub async fn receive(&mut self) -> Result<bool, WireError> {
        let capacity = if self.busy {
            BUSY_READ_BYTES
        } else {
            IDLE_READ_BYTES
        };
        let mut buffer = std::mem::take(&mut self.buffer);
        if buffer.is_empty() {
            // Returned frames share the old allocation; with a new one here, it is freed when they
            // are dropped.
            buffer = BytesMut::with_capacity(capacity);
        } else {
            buffer.reserve(capacity);
        }
        let space = buffer.capacity() - buffer.len();
        let BufResult(result, buffer) = self.stream.append(buffer).await;
        self.buffer = buffer;
        let count = result?;
        self.busy = count == space;
        self.received += count as u64;
        Ok(count > 0)
    }

    /// Yields to the other ready tasks, then reads what has arrived without blocking. Under load the
    /// next message has often arrived by then, which saves registering with the poller.
    ///
    /// # Errors
    /// The transport failed.
    pub async fn receive_now(&mut self) -> Result<Received, WireError> {
        yield_now().await;
        let mut block = [0; NONBLOCKING_READ_BYTES];
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

/// Yields once to the other ready tasks.
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
