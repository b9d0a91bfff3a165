//! Writing messages to a stream.

use std::{io, rc::Rc, time::Duration};

use base::meter::Account;
use bytes::{Buf, BytesMut};
use compio::{buf::BufResult, io::AsyncWriteExt, net::TcpStream, time::timeout};
use pgwire::messages::Message;

use rustix::{
    io::Errno,
    net::{SendFlags, send},
};

use crate::{Frame, WireError};

/// Maximum buffer capacity kept between flushes, in bytes; a larger buffer is freed.
const MAX_KEPT_BYTES: usize = 1 << 10;

/// Most bytes written at a time, so that the progress of a large write is known.
const STEP_BYTES: usize = 64 << 10;

/// Buffers messages and writes them together.
#[derive(Debug)]
pub struct Writer {
    stream: TcpStream,
    buffer: BytesMut,
    sent: u64,
    account: Option<Rc<Account>>,
}

impl Writer {
    /// Writes to `stream`.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            sent: 0,
            account: None,
        }
    }

    /// Counts the progress of large writes in the account of the connection.
    #[must_use]
    pub fn with_account(mut self, account: Option<Rc<Account>>) -> Self {
        self.account = account;
        self
    }

    /// Adds a message.
    ///
    /// # Errors
    /// The message is longer than the protocol allows.
    pub fn message<M: Message>(&mut self, message: &M) -> Result<(), WireError> {
        message
            .encode(&mut self.buffer)
            .map_err(|_too_large| WireError::Malformed("message can't be encoded"))
    }

    /// Adds a frame unchanged.
    pub fn frame(&mut self, frame: &Frame) {
        encode(&mut self.buffer, frame.tag, &frame.body);
    }

    /// Adds a message from its type byte and body.
    pub fn parts(&mut self, tag: u8, body: &[u8]) {
        encode(&mut self.buffer, tag, body);
    }

    /// Adds encoded messages.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes buffered for the next flush.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.buffer.len()
    }

    /// Number of bytes written so far.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Bytes buffered for the next flush.
    #[must_use]
    pub fn pending_bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Shortens the buffer to `length` bytes, which discards the messages added after that.
    pub fn truncate(&mut self, length: usize) {
        self.buffer.truncate(length);
    }

    /// Writes all buffered bytes.
    ///
    /// Tries a non-blocking send first: a write through the poller costs two more system calls and
    /// one more turn of the event loop, and the send buffer nearly always has room.
    ///
    /// # Errors
    /// The transport failed; the buffered bytes are lost.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.send_now()? {
            return Ok(());
        }
        self.write_steps(None).await?;
        let buffer = std::mem::take(&mut self.buffer);
        let BufResult(result, mut buffer) = self.stream.write_all(buffer).await;
        result?;
        self.sent += buffer.len() as u64;
        if buffer.capacity() <= MAX_KEPT_BYTES {
            buffer.clear();
            self.buffer = buffer;
        }
        Ok(())
    }

    /// As [`Writer::flush`], for a peer that must take each 64 KiB within `limit`.
    ///
    /// # Errors
    /// The transport failed, or the peer was too slow; the buffered bytes are lost.
    pub async fn flush_in_steps(&mut self, limit: Duration) -> Result<(), WireError> {
        if self.send_now()? {
            return Ok(());
        }
        self.write_steps(Some(limit)).await?;
        let rest = timeout(limit, self.flush()).await;
        rest.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Writes all buffered bytes but at most [`STEP_BYTES`], each step within `limit`.
    async fn write_steps(&mut self, limit: Option<Duration>) -> Result<(), WireError> {
        if self.buffer.len() <= STEP_BYTES {
            return Ok(());
        }
        if let Some(account) = &self.account {
            account.set_on_client(true);
        }
        while self.buffer.len() > STEP_BYTES {
            let step = self.buffer.split_to(STEP_BYTES);
            let writing = self.stream.write_all(step);
            match limit {
                Some(limit) => {
                    let written = timeout(limit, writing).await;
                    written
                        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
                        .0?;
                }
                None => writing.await.0?,
            }
            self.sent += STEP_BYTES as u64;
            if let Some(account) = &self.account {
                account.record_moved(STEP_BYTES);
            }
        }
        Ok(())
    }

    /// Writes as many buffered bytes as the send buffer of the socket accepts without blocking, and
    /// returns whether that was all of them.
    ///
    /// # Errors
    /// The transport failed; the buffered bytes are lost.
    pub fn send_now(&mut self) -> Result<bool, WireError> {
        while !self.buffer.is_empty() {
            let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
            match send(&self.stream, &self.buffer, flags) {
                Ok(count) => {
                    self.sent += count as u64;
                    self.buffer.advance(count);
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return Ok(false),
                Err(cause) => {
                    self.buffer.clear();
                    return Err(std::io::Error::from(cause).into());
                }
            }
        }
        if self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = BytesMut::new();
        }
        Ok(true)
    }
}

/// Appends one message to `buffer`.
///
/// # Panics
/// The body is longer than 2 GiB, which [`crate::Reader`] never returns.
pub fn encode(buffer: &mut BytesMut, tag: u8, body: &[u8]) {
    let length = i32::try_from(body.len() + 4).expect("bodies are under 2 GiB");
    buffer.reserve(body.len() + 5);
    buffer.extend_from_slice(&[tag]);
    buffer.extend_from_slice(&length.to_be_bytes());
    buffer.extend_from_slice(body);
}
