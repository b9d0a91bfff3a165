//! Protocol between a session and its caller.

use std::io;

use base::organisation::KeyDigest;

use crate::{
    command::Request,
    statement::{Failure, Reply},
};

/// First message on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Login {
    /// Name of the requested route.
    pub route: String,
    /// Digest of the key that identifies the caller's organisation, if it sent one.
    pub key: Option<KeyDigest>,
}

/// What opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A caller, which sends its key.
    Caller,
    /// Another entry process, which forwards a session with the digest of its caller's key.
    Entry,
}

/// Input received from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A request.
    Request(Request),
    /// The caller ended the session, disconnected, or sent an invalid message.
    End,
}

/// A connection to a caller.
pub trait Caller: 'static {
    /// Waits for the login; `None` if the caller disconnected or sent anything else.
    fn login(&mut self) -> impl Future<Output = Option<Login>>;
    /// Accepts the login.
    fn accept(&mut self) -> impl Future<Output = io::Result<()>>;
    /// Refuses the login.
    fn refuse(&mut self, failure: &Failure) -> impl Future<Output = io::Result<()>>;
    /// Waits until input is available, without consuming it. Cancel-safe.
    fn readable(&self) -> impl Future<Output = ()>;
    /// Waits for the next message.
    fn next(&mut self) -> impl Future<Output = Input>;
    /// Next message that was received in full, without waiting; `None` if there is none.
    fn next_buffered(&mut self) -> Option<Input>;
    /// Replies to the last request.
    fn reply(&mut self, reply: &Reply) -> impl Future<Output = io::Result<()>>;
    /// Takes `bytes` for what the session keeps until it ends; false if there is no memory for them.
    fn keep(&self, _bytes: usize) -> bool {
        true
    }
    /// Returns bytes taken with [`Self::keep`].
    fn forget(&self, _bytes: usize) {}
}
