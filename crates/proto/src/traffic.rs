//! Bytes of one connection.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use futures_util::{AsyncRead, AsyncWrite};

/// Bytes that a connection carried, framing of the RPC included, headers of TCP not.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl Traffic {
    /// Takes the bytes sent and received since the last call.
    pub fn take(&self) -> (u64, u64) {
        (self.sent.take(), self.received.take())
    }
}

/// A stream that counts what passes.
#[derive(Debug)]
pub(crate) struct Counted<S> {
    inner: S,
    traffic: Rc<Traffic>,
}

impl<S> Counted<S> {
    pub(crate) const fn new(inner: S, traffic: Rc<Traffic>) -> Self {
        Self { inner, traffic }
    }
}

fn add(counter: &Cell<u64>, passed: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = passed {
        counter.update(|sum| sum + *bytes as u64);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let passed = Pin::new(&mut self.inner).poll_read(cx, buf);
        add(&self.traffic.received, &passed);
        passed
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let passed = Pin::new(&mut self.inner).poll_write(cx, buf);
        add(&self.traffic.sent, &passed);
        passed
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
