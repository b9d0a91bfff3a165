//! Writing messages to a stream.

use bytes::{Buf, BytesMut};
use compio::{buf::BufResult, io::AsyncWriteExt, net::TcpStream};
use pgwire::messages::Message;

use rustix::{
    io::Errno,
    net::{SendFlags, send},
};

use crate::{Frame, WireError};

/// Capacity kept between flushes, in bytes; more is given back.
const KEPT_BYTES: usize = 1 << 10;

/// Gathers messages and writes them in one go.
#[derive(Debug)]
pub struct Writer {
    stream: TcpStream,
    out: BytesMut,
    sent: u64,
}

impl Writer {
    /// Writes to `stream`.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            out: BytesMut::new(),
            sent: 0,
        }
    }

    /// Adds a message.
    ///
    /// # Errors
    /// The message is longer than the protocol allows.
    pub fn message<M: Message>(&mut self, message: &M) -> Result<(), WireError> {
        message
            .encode(&mut self.out)
            .map_err(|_too_large| WireError::Malformed("message can't be encoded"))
    }

    /// Adds a frame as it came.
    pub fn frame(&mut self, frame: &Frame) {
        encode(&mut self.out, frame.tag, &frame.body);
    }

    /// Adds a message from its parts.
    pub fn parts(&mut self, tag: u8, body: &[u8]) {
        encode(&mut self.out, tag, body);
    }

    /// Adds bytes that are messages already.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    /// Bytes that wait for the next flush.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.out.len()
    }

    /// Bytes written so far.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// What waits for the next flush.
    #[must_use]
    pub fn pending_bytes(&self) -> &[u8] {
        &self.out
    }

    /// Takes back what was added after `length` bytes were pending.
    pub fn truncate(&mut self, length: usize) {
        self.out.truncate(length);
    }

    /// Writes everything that was added.
    ///
    /// The socket is tried first without waiting: through the poller each write costs two more
    /// system calls and one more turn of the event loop, and the send buffer nearly always has
    /// room.
    ///
    /// # Errors
    /// The transport failed; what was added is lost.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.send_now()? {
            return Ok(());
        }
        let out = std::mem::take(&mut self.out);
        let BufResult(result, mut out) = self.stream.write_all(out).await;
        result?;
        self.sent += out.len() as u64;
        if out.capacity() <= KEPT_BYTES {
            out.clear();
            self.out = out;
        }
        Ok(())
    }

    /// Writes what the send buffer of the socket takes at once, and tells whether that was all.
    ///
    /// # Errors
    /// The transport failed; what was added is lost.
    pub fn send_now(&mut self) -> Result<bool, WireError> {
        while !self.out.is_empty() {
            let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
            match send(&self.stream, &self.out, flags) {
                Ok(count) => {
                    self.sent += count as u64;
                    self.out.advance(count);
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return Ok(false),
                Err(cause) => {
                    self.out.clear();
                    return Err(std::io::Error::from(cause).into());
                }
            }
        }
        if self.out.capacity() > KEPT_BYTES {
            self.out = BytesMut::new();
        }
        Ok(true)
    }
}

/// Appends one message to `out`.
///
/// # Panics
/// The body is longer than 2 GiB, which no reader of this crate lets in.
pub fn encode(out: &mut BytesMut, tag: u8, body: &[u8]) {
    let length = i32::try_from(body.len() + 4).expect("bodies are under 2 GiB");
    out.reserve(body.len() + 5);
    out.extend_from_slice(&[tag]);
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(body);
}
