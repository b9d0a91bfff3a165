//! The protocol towards a caller.

use std::io;

use crate::{
    command::Request,
    statement::{Failure, Reply},
};

/// First message of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Login {
    /// Name of the route that the caller wants.
    pub route: String,
}

/// What a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A request.
    Request(Request),
    /// It ends the session, has left, or sent what is no message.
    End,
}

/// A connection of a caller.
pub trait Caller: 'static {
    /// Waits for the first message; `None` when the caller left or sent something else.
    fn login(&mut self) -> impl Future<Output = Option<Login>>;
    /// Accepts the login.
    fn accept(&mut self) -> impl Future<Output = io::Result<()>>;
    /// Refuses the login.
    fn refuse(&mut self, failure: &Failure) -> impl Future<Output = io::Result<()>>;
    /// Waits until something arrives, and takes nothing; the wait may be dropped at any time.
    fn readable(&self) -> impl Future<Output = ()>;
    /// Waits for the next message.
    fn next(&mut self) -> impl Future<Output = Input>;
    /// Answers the last request.
    fn reply(&mut self, reply: &Reply) -> impl Future<Output = io::Result<()>>;
}
