//! `capnp-rpc` over compio TCP streams.

use capnp::capability::{Client, FromClientHook};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::AsyncReadExt as _;

/// Serves `bootstrap` to the peer at the other end of `stream` until the connection ends.
///
/// # Errors
/// The transport failed or the peer broke the protocol.
pub async fn serve(stream: TcpStream, bootstrap: Client) -> Result<(), capnp::Error> {
    system(stream, Side::Server, Some(bootstrap)).await
}

/// Opens the bootstrap interface of the peer at the other end of `stream`.
///
/// The returned future drives the connection; the caller runs it as a task and treats its end as
/// the loss of the connection. Calls made on the client fail from then on.
pub fn open<C: FromClientHook>(
    stream: TcpStream,
) -> (C, impl Future<Output = Result<(), capnp::Error>>) {
    let mut system = system(stream, Side::Client, None);
    let client = system.bootstrap(Side::Server);
    (client, system)
}

fn system(stream: TcpStream, side: Side, bootstrap: Option<Client>) -> RpcSystem<Side> {
    let (reader, writer) = AsyncStream::new(stream).split();
    let network = VatNetwork::new(
        reader,
        writer,
        side,
        capnp::message::ReaderOptions::default(),
    );
    RpcSystem::new(Box::new(network), bootstrap)
}
