//! Outgoing connections bound to the host's own address.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use compio::net::TcpStream;

/// Placeholder for the address of a host that does not exist yet.
pub const UNASSIGNED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Connects to `to` from the address `from`, with `TCP_NODELAY`.
///
/// The fixed source address lets firewall rules and the test relay distinguish hosts.
///
/// # Errors
/// The connection is refused or not established within `timeout` (kind `TimedOut`), or `to` is
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
