//! Messages between goldcrestrail processes and the RPC transport that carries them.

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
