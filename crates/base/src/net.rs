//! Outgoing connections bound to the host's own address.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use compio::net::{SocketOpts, TcpStream};

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
    connect_with(from, to, timeout, &SocketOpts::new()).await
}

/// Like [`connect`], for a request that must not arrive late. Closing the connection discards the bytes
/// that the other side has not acknowledged. The kernel discards them after `timeout` even if this
/// process is frozen.
pub(crate) async fn connect_resetting(
    from: IpAddr,
    to: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let options = SocketOpts::new().linger(Duration::ZERO);
    let stream = connect_with(from, to, timeout, &options).await?;
    let limit = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(&stream, limit)?;
    Ok(stream)
}

async fn connect_with(
    from: IpAddr,
    to: SocketAddr,
    timeout: Duration,
    options: &SocketOpts,
) -> io::Result<TcpStream> {
    if to == UNASSIGNED {
        return Err(io::Error::from(io::ErrorKind::AddrNotAvailable));
    }
    let from = SocketAddr::new(from, 0);
    let connecting = TcpStream::bind_and_connect_with_options(from, to, options);
    let stream = compio::time::timeout(timeout, connecting)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
