//! Sessions of callers that send single statements, each with a request id.
//!
//! A [`Session`] handles the requests of one caller in order. It routes each read to a sufficiently
//! fresh member and each write to the primary in force, keeps a transaction on one connection, and
//! gives every request a final reply before its deadline. The traits [`Caller`] and
//! [`StatementClient`] abstract the protocols to callers and databases.

mod admission;
pub mod caller;
pub mod command;
pub mod connection_state;
pub mod forward;
mod places;
pub mod request_log;
mod run;
pub mod serve;
mod session;
pub mod shared;
mod single;
pub mod statement;
pub mod stop;
mod transaction;
pub mod watch;

pub use caller::{Caller, Input, Login, Peer};
pub use command::{Command, Request, StatementKind};
pub use connection_state::{ConnectionState, PreparedStatement, SessionState};
pub use session::Session;
pub use shared::Shared;
pub use statement::{
    Begin, Code, ConnectionError, Failure, Reply, Response, Setup, Statement, StatementClient,
    Status,
};
