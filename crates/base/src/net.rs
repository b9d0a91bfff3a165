//! Outgoing connections that start from the host's own address.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use compio::net::TcpStream;

/// Address of a host that is not there yet.
pub const UNASSIGNED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Connects to `to` from the address `from`, with `TCP_NODELAY`.
///
/// A fixed source address lets network rules and the test relay tell hosts apart.
///
/// # Errors
/// The connection was refused or is not made within `timeout` (kind `TimedOut`), or `to` is
/// [`UNASSIGNED`].
pub async fn connect(from: IpAddr, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    if to == UNASSIGNED {
        return Err(io::Error::from(io::ErrorKind::AddrNotAvailable));
    }
    let connecting = TcpStream::bind_and_connect(SocketAddr::new(from, 0), to);
    let stream = compio::time::timeout(timeout, connecting)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
