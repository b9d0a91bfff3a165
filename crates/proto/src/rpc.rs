//! `capnp-rpc` over compio TCP streams, in the packed encoding.

use std::rc::Rc;

use capnp::capability::{Client, FromClientHook};
use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::AsyncReadExt as _;

use crate::traffic::{CountingStream, Traffic};

/// Serves `bootstrap` to the peer at the other end of `stream` until the connection ends.
///
/// # Errors
/// The transport failed or the peer broke the protocol.
pub async fn serve(stream: TcpStream, bootstrap: Client) -> Result<(), capnp::Error> {
    serve_counted(stream, bootstrap, Rc::default()).await
}

/// Serves like [`serve`] and counts the bytes of the connection in `traffic`.
///
/// # Errors
/// The transport failed or the peer broke the protocol.
pub async fn serve_counted(
    stream: TcpStream,
    bootstrap: Client,
    traffic: Rc<Traffic>,
) -> Result<(), capnp::Error> {
    new_rpc_system(stream, Side::Server, Some(bootstrap), traffic).await
}

/// Returns the bootstrap interface of the peer at the other end of `stream`.
///
/// The returned future drives the connection. The caller must run it as a task and treat its
/// completion as the loss of the connection; calls on the client fail from then on.
pub fn open<C: FromClientHook>(
    stream: TcpStream,
) -> (C, impl Future<Output = Result<(), capnp::Error>>) {
    open_counted(stream, Rc::default())
}

/// Opens like [`open`] and counts the bytes of the connection in `traffic`.
pub fn open_counted<C: FromClientHook>(
    stream: TcpStream,
    traffic: Rc<Traffic>,
) -> (C, impl Future<Output = Result<(), capnp::Error>>) {
    let mut system = new_rpc_system(stream, Side::Client, None, traffic);
    let client = system.bootstrap(Side::Server);
    (client, system)
}

fn new_rpc_system(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<Client>,
    traffic: Rc<Traffic>,
) -> RpcSystem<Side> {
    let (reader, writer) = AsyncStream::new(stream).split();
    let network = VatNetwork::new(
        PackedRead::new(CountingStream::new(reader, Rc::clone(&traffic))),
        PackedWrite::new(CountingStream::new(writer, traffic)),
        side,
        capnp::message::ReaderOptions::default(),
    );
    RpcSystem::new(Box::new(network), bootstrap)
}
