//! Reading messages from a stream.

use std::{future::poll_fn, rc::Rc, task::Poll};

use base::meter::Account;
use bytes::{Buf, Bytes, BytesMut};
use compio::{buf::BufResult, io::AsyncReadExt, net::TcpStream};

use memory::FLOOR_BYTES;
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
/// Copies of a message that exist at the same time: as received, as parsed, as encoded for the other
/// side, and in the buffer of its writer.
const COPIES: usize = 4;
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
    account: Option<Rc<Account>>,
    /// Size of the messages returned since the last [`Reader::release`], in bytes.
    consumed: usize,
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
            account: None,
            consumed: 0,
        }
    }

    /// Counts messages beyond the floor of a connection in its account.
    #[must_use]
    pub fn with_account(mut self, account: Option<Rc<Account>>) -> Self {
        self.account = account;
        self
    }

    /// Frees the memory counted for the messages returned so far.
    pub fn release(&mut self) {
        if std::mem::take(&mut self.consumed) > 0
            && let Some(account) = &self.account
        {
            account.release();
        }
    }

    /// Removes the next `length` bytes from the buffer.
    fn take(&mut self, length: usize) -> Bytes {
        let message = self.buffer.split_to(length);
        self.consumed += length;
        if length > FLOOR_BYTES {
            // The rest must not keep the allocation of a large message.
            self.buffer = BytesMut::from(&*self.buffer);
            if let Some(account) = &self.account {
                account.set_on_client(false);
            }
        }
        message.freeze()
    }

    /// Waits for memory for a message of up to `expected` bytes if it doesn't fit into the floor.
    async fn reserve(&mut self, expected: usize) -> Result<(), WireError> {
        let held = self.consumed + self.buffer.len();
        let Some(account) = self.account.as_ref().filter(|_| held > FLOOR_BYTES) else {
            return Ok(());
        };
        let expected = self.consumed + expected.max(self.buffer.len());
        account.set_on_client(true);
        if !account.reserve(COPIES * expected).await {
            return Err(WireError::TooLarge {
                length: expected,
                limit: self.limit,
            });
        }
        Ok(())
    }

    /// Account of the connection.
    #[must_use]
    pub const fn account(&self) -> Option<&Rc<Account>> {
        self.account.as_ref()
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
        let body = self.take(length - 4);
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
            if !self.fill(self.stated_bytes()).await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(WireError::ConnectionClosed)
                };
            }
        }
    }

    /// Removes the next complete line from the buffer, without waiting and without its terminator;
    /// `None` if there is none.
    pub fn buffered_line(&mut self) -> Option<Bytes> {
        let mut pairs = self.buffer.windows(LINE_END.len());
        let end = pairs.position(|pair| pair == LINE_END)?;
        let line = self.take(end);
        self.buffer.advance(LINE_END.len());
        Some(line)
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
                let line = self.take(searched + end);
                self.buffer.advance(LINE_END.len());
                return Ok(Some(line));
            }
            if self.buffer.len() > self.limit {
                return Err(WireError::TooLarge {
                    length: self.buffer.len(),
                    limit: self.limit,
                });
            }
            // The last byte may be a CR whose LF has not arrived yet.
            searched = self.buffer.len().saturating_sub(1);
            if !self.fill(self.limit).await? {
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
            if !self.fill(MAX_INITIAL_BYTES).await? {
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

    /// Length of the frame at the start of the buffer, in bytes; 0 while it is unknown.
    fn stated_bytes(&self) -> usize {
        let length = self.buffer.get(1..HEADER_BYTES);
        let length = length.and_then(|bytes| bytes.try_into().ok());
        length.map_or(0, |length| u32::from_be_bytes(length) as usize)
    }

    /// Reads more of a message of up to `expected` bytes.
    async fn fill(&mut self, expected: usize) -> Result<bool, WireError> {
        self.reserve(expected).await?;
        let before = self.received;
        let more = self.read_some().await?;
        if self.buffer.len() > FLOOR_BYTES
            && let Some(account) = &self.account
        {
            account.record_moved(usize::try_from(self.received - before).unwrap_or(usize::MAX));
        }
        Ok(more)
    }

    async fn read_some(&mut self) -> Result<bool, WireError> {
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
