//! The relay delays, cuts and silences the connections between zones that a fault applies to, and
//! no others.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use lab::{
    relay::{Fault, Relay},
    site::{Host, Role, Site, Zone},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// Numbers of the two zones, on loopback networks that no deployment uses.
const NEAR: u8 = 61;
const FAR: u8 = 62;
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// A site without services on loopback networks that the other test sites do not use.
fn site() -> Site {
    let zone = |name| Zone {
        name,
        region: "here",
        entries: 0,
    };
    Site {
        first_zone: NEAR,
        services: Vec::new(),
        zones: vec![zone("a"), zone("b")],
        ..Site::teichwert()
    }
}

fn far_host() -> Host {
    Host {
        zone: FAR,
        role: Role::Control,
    }
}

/// Serves connections that return every byte received.
async fn echo(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut read, mut write) = stream.split();
            let _ended = tokio::io::copy(&mut read, &mut write).await;
        });
    }
}

/// Connects from the near zone to the far host, through the relay.
async fn connect() -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .bind(SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, 0, NEAR, 200)),
            0,
        ))
        .unwrap();
    socket.connect(far_host().relay_address()).await.unwrap()
}

/// Time to send a byte and receive it back, or `None` if that fails or exceeds the limit.
async fn round_trip(stream: &mut TcpStream, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    let exchange = async {
        stream.write_all(b"x").await.ok()?;
        stream.read_exact(&mut [0]).await.ok()
    };
    timeout(limit, exchange)
        .await
        .ok()
        .flatten()
        .map(|_| start.elapsed())
}

/// Guards against experiments whose network faults have no effect.
#[rstest]
fn faults_act_on_the_connections_they_are_meant_for() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let site = site();
        tokio::spawn(echo(TcpListener::bind(far_host().address()).await.unwrap()));
        let relay = Relay::start(&site).await.unwrap();
        let mut stream = connect().await;
        assert!(round_trip(&mut stream, LONG_TIMEOUT).await.unwrap() >= site.zone_latency * 2);

        relay.set_fault(NEAR, FAR, Fault::Cut);
        assert!(round_trip(&mut stream, SHORT_TIMEOUT).await.is_none());
        relay.heal();
        timeout(LONG_TIMEOUT, stream.read_exact(&mut [0]))
            .await
            .unwrap()
            .unwrap();

        relay.silence();
        assert!(round_trip(&mut stream, SHORT_TIMEOUT).await.is_none());
        let mut fresh = connect().await;
        assert!(round_trip(&mut fresh, LONG_TIMEOUT).await.is_some());

        relay.set_fault(NEAR, FAR, Fault::Reset);
        timeout(LONG_TIMEOUT, fresh.read(&mut [0]))
            .await
            .unwrap()
            .unwrap_err();
    });
}

/// Guards against a host that stays unreachable because its address was still in use when its
/// process came back: a process that is being started holds a copy of the closed listener.
#[rstest]
fn address_in_use_is_bound_later() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let host = Host {
            zone: 64,
            role: Role::Control,
        };
        let _relay = Relay::start(&Site {
            first_zone: 63,
            ..site()
        })
        .await
        .unwrap();
        let closes = |mut stream: TcpStream| async move {
            let read = timeout(LONG_TIMEOUT, stream.read(&mut [0])).await.unwrap();
            assert!(matches!(read, Ok(0) | Err(_)));
        };
        closes(TcpStream::connect(host.relay_address()).await.unwrap()).await;
        let copy = loop {
            match TcpListener::bind(host.relay_address()).await {
                Ok(copy) => break copy,
                Err(_in_use) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        tokio::spawn(echo(TcpListener::bind(host.address()).await.unwrap()));
        tokio::time::sleep(SHORT_TIMEOUT).await;
        drop(copy);

        let start = Instant::now();
        let mut stream = loop {
            match TcpStream::connect(host.relay_address()).await {
                Ok(stream) => break stream,
                Err(cause) => assert!(start.elapsed() < LONG_TIMEOUT, "{cause}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };

        assert!(round_trip(&mut stream, LONG_TIMEOUT).await.is_some());
    });
}
