//! Raft consensus and the durable log of the control hosts.
//!
//! A [`Node`] is one control host. It elects a leader among the configured hosts, replicates a log
//! of opaque payloads to them, and applies committed entries to a [`StateMachine`] in log order.
//! Votes and entries are synced to disk before the reply is sent. A host that lost its disk, or
//! that runs on an outdated one, is a learner until a committed entry readmits it.
//!
//! All tasks of a node run on the thread that started it.
//!
//! Limits: a disk restored from a backup is recognised by a peer that has seen a later boot, and by
//! a leader whose match index for the host covers entries that the disk lacks. If all such peers
//! are down at the same time, the others cannot tell the disk from an intact one.

mod codec;
mod compress;
mod election;
pub mod environment;
pub mod error;
mod files;
mod handle;
mod hard;
mod host;
mod log;
pub mod message;
pub mod node;
mod recover;
mod replicate;
mod rpc;
mod signal;
mod state;
mod transfer;
mod writer;

pub use codec::{Frame, LogFile, parse_log};
pub use error::{ProposeError, ReadIndexError, StartError};
pub use files::{DataDirectory, format};
pub use hard::HardState;
pub use host::HostEnvironment;
pub use log::Entry;
pub use node::{DisabledMechanisms, Mechanism, Node, Options, StateMachine, Tuning};
pub use rpc::RpcNetwork;
