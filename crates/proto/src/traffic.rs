//! Byte counters of a connection.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use futures_util::{AsyncRead, AsyncWrite};

/// Bytes sent and received over a connection, including RPC framing but not TCP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl Traffic {
    /// Returns the bytes sent and received since the last call, and resets both counters.
    pub fn take(&self) -> (u64, u64) {
        (self.sent.take(), self.received.take())
    }
}

/// Stream wrapper that counts the bytes read and written.
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    inner: S,
    traffic: Rc<Traffic>,
}

impl<S> CountingStream<S> {
    pub(crate) const fn new(inner: S, traffic: Rc<Traffic>) -> Self {
        Self { inner, traffic }
    }
}

fn count_bytes(counter: &Cell<u64>, result: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = result {
        counter.update(|sum| sum + *bytes as u64);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        count_bytes(&self.traffic.received, &result);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        count_bytes(&self.traffic.sent, &result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
