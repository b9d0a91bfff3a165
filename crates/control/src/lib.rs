//! Control daemon: manages configuration, group records, write leases, promotion and
//! administration.

pub mod access;
pub mod admin;
mod appoint;
pub mod calls;
pub mod cancel;
mod choice;
pub mod console;
mod coverage;
pub mod departure;
pub mod directory;
pub mod documents;
pub mod failover;
pub mod form;
pub mod gate;
pub mod guard;
pub mod host;
pub mod leader;
pub mod leases;
pub mod log;
pub mod machine;
pub mod metrics;
pub mod node;
pub mod notify;
pub mod peers;
pub mod permits;
pub mod problem;
pub mod promotion;
pub mod run;
pub mod seat;
mod session;
pub mod settings;
pub mod sighting;
pub mod sweep;
pub mod unrecorded;
pub mod upstream;
