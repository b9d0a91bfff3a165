//! TCP relay that emulates the network of a deployment: latency, limited bandwidth and faults.
//!
//! The relay listens on an address of its own for every server. The source address of a connection
//! gives the zone of the client, and the address that it connects to gives the zone of the server.

use std::{
    collections::VecDeque,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::Map;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{Notify, watch},
};

use crate::{
    error::{Context, LabError},
    site::{Host, Site},
};

/// Maximum size of one read from a connection.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Bytes in flight in one direction of a connection above which the relay stops reading.
const MAX_IN_FLIGHT_BYTES: usize = 256 << 10;

/// Interval at which the relay checks whether a process that refused a connection is up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which another process may hold a copy of a closed listener: a process that is
/// being started holds one until its program runs.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Binds an address that this process has just closed, again and again while it is in use.
async fn rebind(address: SocketAddr) -> io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(cause)
                if cause.kind() == io::ErrorKind::AddrInUse && start.elapsed() < REBIND_TIMEOUT =>
            {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Fault on the path between two zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Traffic passes.
    #[default]
    None,
    /// Traffic is held back; connections stay open and continue after the cut, as TCP connections
    /// do.
    Cut,
    /// Open and new connections are reset.
    Reset,
}

/// State that all connections share; keys are pairs of source and target zone.
#[derive(Debug)]
struct Network {
    site: Site,
    faults: watch::Sender<Map<(u8, u8), Fault>>,
    /// Connections with a lower number carry no traffic any more.
    silent_below: watch::Sender<u64>,
    connection_count: AtomicU64,
    bytes: Mutex<Map<(u8, u8), u64>>,
    /// Time until which the limited link is busy.
    busy_until: Mutex<Map<(u8, u8), Instant>>,
}

/// The running relay of one deployment.
#[derive(Debug, Clone)]
pub struct Relay {
    network: Arc<Network>,
}

impl Relay {
    /// Starts to listen for connections to every host of the site.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(site: &Site) -> Result<Self, LabError> {
        let relay = Self {
            network: Arc::new(Network {
                site: site.clone(),
                faults: watch::channel(Map::default()).0,
                silent_below: watch::channel(0).0,
                connection_count: AtomicU64::new(0),
                bytes: Mutex::default(),
                busy_until: Mutex::default(),
            }),
        };
        let hosts = site
            .entries()
            .into_iter()
            .chain(site.controls())
            .chain(site.upstreams());
        for host in hosts {
            relay
                .listen(host, host.relay_address(), host.address())
                .await?;
            relay
                .listen(host, host.relay_http_address(), host.http())
                .await?;
        }
        Ok(relay)
    }

    async fn listen(&self, host: Host, from: SocketAddr, to: SocketAddr) -> Result<(), LabError> {
        let mut listener = TcpListener::bind(from).await.context(from)?;
        let network = Arc::clone(&self.network);
        tokio::spawn(async move {
            let refused = Arc::new(Notify::new());
            loop {
                accept_until_refused(&network, &listener, host.zone, to, &refused).await;
                // With the listener closed, the address refuses connections like that of the
                // process.
                drop(listener);
                while TcpStream::connect(to).await.is_err() {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                listener = match rebind(from).await {
                    Ok(listener) => listener,
                    Err(cause) => {
                        eprintln!("relay: {from}: {cause}");
                        return;
                    }
                };
            }
        });
        Ok(())
    }

    /// Sets the fault between two zones, in both directions.
    pub fn set_fault(&self, a: u8, b: u8, fault: Fault) {
        self.network.faults.send_modify(|faults| {
            faults.insert((a, b), fault);
            faults.insert((b, a), fault);
        });
    }

    /// Sets a fault between a zone and all others.
    pub fn isolate(&self, zone: u8, fault: Fault) {
        for other in self
            .network
            .site
            .zone_numbers()
            .filter(|&other| other != zone)
        {
            self.set_fault(zone, other, fault);
        }
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.network.faults.send_modify(Map::clear);
    }

    /// Stops all traffic on the connections between zones that are open now, without closing them;
    /// later connections work.
    pub fn silence(&self) {
        self.network
            .silent_below
            .send_replace(self.network.connection_count.load(Ordering::SeqCst) + 1);
    }

    /// Number of bytes sent between regions so far.
    #[must_use]
    pub fn cross_region_bytes(&self) -> u64 {
        lock(&self.network.bytes)
            .iter()
            .filter(|((a, b), _)| self.network.site.path(*a, *b).1)
            .map(|(_, bytes)| bytes)
            .sum()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections until the server refuses one.
async fn accept_until_refused(
    network: &Arc<Network>,
    listener: &TcpListener,
    zone: u8,
    to: SocketAddr,
    refused: &Arc<Notify>,
) {
    let accepting = async {
        while let Ok((stream, peer)) = listener.accept().await {
            let (network, refused) = (Arc::clone(network), Arc::clone(refused));
            tokio::spawn(async move {
                if let Err(cause) = forward(network, stream, peer.ip(), zone, to).await
                    && cause.kind() == io::ErrorKind::ConnectionRefused
                {
                    refused.notify_one();
                }
            });
        }
    };
    tokio::select! {
        () = accepting => {}
        () = refused.notified() => {}
    }
}

/// Connects to the server and forwards both directions until one of them ends.
async fn forward(
    network: Arc<Network>,
    mut stream: TcpStream,
    peer: IpAddr,
    zone: u8,
    to: SocketAddr,
) -> io::Result<()> {
    let from = network.site.zone_of(peer).unwrap_or(zone);
    let number = network.connection_count.fetch_add(1, Ordering::SeqCst) + 1;
    let path = Path {
        network,
        number,
        from,
        to: zone,
    };
    path.wait_open().await?;
    tokio::time::sleep(path.latency() * 2).await;
    let mut server = match TcpStream::connect(to).await {
        Ok(server) => server,
        Err(cause) => {
            stream.set_zero_linger()?;
            return Err(cause);
        }
    };
    stream.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let reply_path = Path {
        network: Arc::clone(&path.network),
        number,
        from: zone,
        to: from,
    };
    let (client_read, client_write) = stream.split();
    let (server_read, server_write) = server.split();
    let ended = tokio::select! {
        ended = pump(&path, client_read, server_write) => ended,
        ended = pump(&reply_path, server_read, client_write) => ended,
    };
    if ended.is_err() {
        // With zero linger, the kernel closes the connections with a reset instead of a FIN.
        stream.set_zero_linger()?;
        server.set_zero_linger()?;
    }
    ended
}

/// One direction of one connection.
#[derive(Debug)]
struct Path {
    network: Arc<Network>,
    number: u64,
    from: u8,
    to: u8,
}

impl Path {
    fn latency(&self) -> Duration {
        self.network.site.path(self.from, self.to).0
    }

    /// Waits until traffic may pass.
    ///
    /// # Errors
    /// The path is set to reset connections.
    async fn wait_open(&self) -> io::Result<()> {
        if self.from == self.to {
            return Ok(());
        }
        let mut silent_below = self.network.silent_below.subscribe();
        let mut faults = self.network.faults.subscribe();
        loop {
            let fault = faults
                .borrow_and_update()
                .get(&(self.from, self.to))
                .copied()
                .unwrap_or_default();
            let silent = *silent_below.borrow_and_update() > self.number;
            match fault {
                Fault::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
                Fault::None if !silent => return Ok(()),
                Fault::None | Fault::Cut => {
                    let _changed = faults.changed().await;
                }
            }
        }
    }

    /// Waits until the path is set to reset connections.
    async fn wait_reset(&self) {
        let mut faults = self.network.faults.subscribe();
        while faults.borrow_and_update().get(&(self.from, self.to)) != Some(&Fault::Reset) {
            if faults.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Accounts for a chunk and returns the time when its last byte arrives at the other end.
    fn arrival(&self, now: Instant, bytes: usize) -> Instant {
        let (latency, limited) = self.network.site.path(self.from, self.to);
        *lock(&self.network.bytes)
            .entry((self.from, self.to))
            .or_default() += bytes as u64;
        if !limited {
            return now + latency;
        }
        let nanos = bytes as u64 * 8 * 1_000_000_000 / self.network.site.bandwidth;
        let mut busy_until = lock(&self.network.busy_until);
        let link = busy_until.entry((self.from, self.to)).or_insert(now);
        *link = (*link).max(now) + Duration::from_nanos(nanos);
        *link + latency
    }
}

/// Chunks on their way, with their arrival times; an empty chunk is the end of the stream.
type InFlight = Mutex<VecDeque<(Instant, Vec<u8>)>>;

/// Forwards one direction of a connection with the latency and faults of its path.
async fn pump(path: &Path, mut read: ReadHalf<'_>, mut write: WriteHalf<'_>) -> io::Result<()> {
    let in_flight = InFlight::default();
    let (pushed, popped) = (Notify::new(), Notify::new());
    let receive = async {
        loop {
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            let count = read.read(&mut chunk).await?;
            chunk.truncate(count);
            let arrival = path.arrival(Instant::now(), count);
            lock(&in_flight).push_back((arrival, chunk));
            pushed.notify_one();
            if count == 0 {
                return Ok::<(), io::Error>(());
            }
            while lock(&in_flight)
                .iter()
                .map(|(_, chunk)| chunk.len())
                .sum::<usize>()
                > MAX_IN_FLIGHT_BYTES
            {
                popped.notified().await;
            }
        }
    };
    let deliver = async {
        loop {
            let next = lock(&in_flight).pop_front();
            let Some((arrival, chunk)) = next else {
                pushed.notified().await;
                continue;
            };
            popped.notify_one();
            // The timer rounds up to whole milliseconds, even for a time in the past.
            if arrival > Instant::now() {
                tokio::time::sleep_until(arrival.into()).await;
            }
            path.wait_open().await?;
            if chunk.is_empty() {
                return write.shutdown().await;
            }
            write.write_all(&chunk).await?;
        }
    };
    tokio::select! {
        ended = async { tokio::try_join!(receive, deliver) } => return ended.map(|_| ()),
        () = path.wait_reset() => {}
    }
    Err(io::ErrorKind::ConnectionReset.into())
}
