//! Sessions of callers that send single statements with an id each.
//!
//! A [`Session`] answers one caller's requests one after the other. It places each read on a member
//! that is fresh enough, sends each write to the primary in force, keeps a transaction on one
//! connection, and gives every request a final answer before its deadline. The protocols towards
//! callers and databases are behind [`Caller`] and [`Statements`].

pub mod caller;
pub mod command;
pub mod events;
pub mod forward;
pub mod kept;
pub mod serve;
mod session;
pub mod shared;
mod single;
pub mod statement;
mod transaction;
pub mod watch;

pub use caller::{Caller, Input, Login};
pub use command::{Command, Request, Verb};
pub use kept::{Kept, Shape};
pub use session::Session;
pub use shared::Shared;
pub use statement::{Answer, Broken, Code, Failure, Reply, Statement, Statements, Status};
