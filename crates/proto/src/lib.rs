//! Message schema and RPC transport between goldcrestrail processes.

#[expect(
    missing_docs,
    missing_debug_implementations,
    clippy::all,
    clippy::pedantic,
    clippy::nursery,
    clippy::restriction,
    reason = "generated code"
)]
pub mod goldcrestrail_capnp;
pub mod rpc;
pub mod traffic;

pub use goldcrestrail_capnp as schema;
