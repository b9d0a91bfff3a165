//! PostgreSQL wire protocol 3.0 over compio streams: framing, server and client sides.
//!
//! Outgoing messages are encoded with the types of `pgwire` ([`pg`]). Incoming bytes are parsed with
//! the bounds-checked [`Cursor`] instead, because the decoders of that crate panic on short bodies.

pub mod client;
pub mod cursor;
pub mod error;
pub mod frame;
pub mod frontend;
pub mod reader;
pub mod reply;
pub mod writer;

pub use pgwire::messages as pg;

pub use client::{Client, Failure, Rows};
pub use cursor::Cursor;
pub use error::WireError;
pub use frame::Frame;
pub use frontend::{FrontendMessage, InitialMessage, Target};
pub use reader::{Reader, Received};
pub use writer::Writer;
