//! Network between the hosts of a deployment: latency, a narrow link, and cuts.
//!
//! Every server of a deployment is reached through an address of the relay. The relay tells the
//! zone of a connection from its source address, and the target zone from the address reached.

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

/// Bytes read at once from one side.
const CHUNK_BYTES: usize = 16 << 10;
/// Bytes in flight in one direction of one connection before the sender has to wait.
const FLIGHT_BYTES: usize = 256 << 10;

/// Pause before an address whose process ended is tried again.
const REOPEN: Duration = Duration::from_millis(20);

/// What happens to traffic between two zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Everything passes.
    #[default]
    None,
    /// Nothing passes; connections stay open and go on after the cut, as TCP does.
    Cut,
    /// New connections are reset and open ones too.
    Reset,
}

#[derive(Debug)]
struct Network {
    site: Site,
    faults: watch::Sender<Map<(u8, u8), Fault>>,
    /// Connections with a lower number are silent for good.
    silenced: watch::Sender<u64>,
    opened: AtomicU64,
    crossed: Mutex<Map<(u8, u8), u64>>,
    links: Mutex<Map<(u8, u8), Instant>>,
}

/// The running network of one deployment.
#[derive(Debug, Clone)]
pub struct Relay {
    network: Arc<Network>,
}

impl Relay {
    /// Listens for every host of the site.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(site: &Site) -> Result<Self, LabError> {
        let relay = Self {
            network: Arc::new(Network {
                site: site.clone(),
                faults: watch::channel(Map::default()).0,
                silenced: watch::channel(0).0,
                opened: AtomicU64::new(0),
                crossed: Mutex::default(),
                links: Mutex::default(),
            }),
        };
        let hosts = site
            .entries()
            .into_iter()
            .chain(site.controls())
            .chain(site.upstreams());
        for host in hosts {
            relay.listen(host, host.relayed(), host.address()).await?;
            relay.listen(host, host.relayed_http(), host.http()).await?;
        }
        Ok(relay)
    }

    async fn listen(&self, host: Host, from: SocketAddr, to: SocketAddr) -> Result<(), LabError> {
        let mut listener = TcpListener::bind(from).await.context(from)?;
        let network = Arc::clone(&self.network);
        tokio::spawn(async move {
            let refused = Arc::new(Notify::new());
            loop {
                accept(&network, &listener, host.zone, to, &refused).await;
                // Without a listener the address refuses connections, as the ended process would.
                drop(listener);
                while TcpStream::connect(to).await.is_err() {
                    tokio::time::sleep(REOPEN).await;
                }
                listener = match TcpListener::bind(from).await {
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

    /// Puts a fault between two zones, in both directions.
    pub fn set(&self, a: u8, b: u8, fault: Fault) {
        self.network.faults.send_modify(|faults| {
            faults.insert((a, b), fault);
            faults.insert((b, a), fault);
        });
    }

    /// Cuts a zone off from all others.
    pub fn isolate(&self, zone: u8, fault: Fault) {
        for other in self
            .network
            .site
            .zone_numbers()
            .filter(|&other| other != zone)
        {
            self.set(zone, other, fault);
        }
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.network.faults.send_modify(Map::clear);
    }

    /// Makes every open connection between zones silent for good; new ones work.
    pub fn silence(&self) {
        self.network
            .silenced
            .send_replace(self.network.opened.load(Ordering::SeqCst) + 1);
    }

    /// Bytes that crossed the narrow link so far.
    #[must_use]
    pub fn crossed(&self) -> u64 {
        lock(&self.network.crossed)
            .iter()
            .filter(|((a, b), _)| self.network.site.path(*a, *b).1)
            .map(|(_, bytes)| bytes)
            .sum()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections until the target refuses one.
async fn accept(
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
                if let Err(cause) = carry(network, stream, peer.ip(), zone, to).await
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

async fn carry(
    network: Arc<Network>,
    mut stream: TcpStream,
    peer: IpAddr,
    zone: u8,
    to: SocketAddr,
) -> io::Result<()> {
    let from = network.site.zone_of(peer).unwrap_or(zone);
    let number = network.opened.fetch_add(1, Ordering::SeqCst) + 1;
    let path = Path {
        network,
        number,
        from,
        to: zone,
    };
    path.passable().await?;
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
    let back = Path {
        network: Arc::clone(&path.network),
        number,
        from: zone,
        to: from,
    };
    let (client_read, client_write) = stream.split();
    let (server_read, server_write) = server.split();
    let ended = tokio::select! {
        ended = pump(&path, client_read, server_write) => ended,
        ended = pump(&back, server_read, client_write) => ended,
    };
    if ended.is_err() {
        // Without lingering the kernel sends a reset instead of an orderly end.
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

    /// Waits until bytes may pass; a reset ends the connection.
    async fn passable(&self) -> io::Result<()> {
        if self.from == self.to {
            return Ok(());
        }
        let mut silenced = self.network.silenced.subscribe();
        let mut faults = self.network.faults.subscribe();
        loop {
            let fault = faults
                .borrow_and_update()
                .get(&(self.from, self.to))
                .copied()
                .unwrap_or_default();
            let silent = *silenced.borrow_and_update() > self.number;
            match fault {
                Fault::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
                Fault::None if !silent => return Ok(()),
                Fault::None | Fault::Cut => {
                    let _changed = faults.changed().await;
                }
            }
        }
    }

    /// Ends when a reset is put between the two zones.
    async fn reset(&self) {
        let mut faults = self.network.faults.subscribe();
        while faults.borrow_and_update().get(&(self.from, self.to)) != Some(&Fault::Reset) {
            if faults.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// When the last byte of a chunk arrives at the other end.
    fn arrival(&self, now: Instant, bytes: usize) -> Instant {
        let (latency, narrow) = self.network.site.path(self.from, self.to);
        *lock(&self.network.crossed)
            .entry((self.from, self.to))
            .or_default() += bytes as u64;
        if !narrow {
            return now + latency;
        }
        let nanos = bytes as u64 * 8 * 1_000_000_000 / self.network.site.bandwidth;
        let mut links = lock(&self.network.links);
        let free = links.entry((self.from, self.to)).or_insert(now);
        *free = (*free).max(now) + Duration::from_nanos(nanos);
        *free + latency
    }
}

type Flight = Mutex<VecDeque<(Instant, Vec<u8>)>>;

async fn pump(path: &Path, mut read: ReadHalf<'_>, mut write: WriteHalf<'_>) -> io::Result<()> {
    let flight = Flight::default();
    let (sent, taken) = (Notify::new(), Notify::new());
    let receive = async {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let count = read.read(&mut chunk).await?;
            chunk.truncate(count);
            let arrival = path.arrival(Instant::now(), count);
            lock(&flight).push_back((arrival, chunk));
            sent.notify_one();
            if count == 0 {
                return Ok::<(), io::Error>(());
            }
            while lock(&flight)
                .iter()
                .map(|(_, chunk)| chunk.len())
                .sum::<usize>()
                > FLIGHT_BYTES
            {
                taken.notified().await;
            }
        }
    };
    let deliver = async {
        loop {
            let next = lock(&flight).pop_front();
            let Some((arrival, chunk)) = next else {
                sent.notified().await;
                continue;
            };
            taken.notify_one();
            // The timer rounds up to whole milliseconds, also for a moment that has passed.
            if arrival > Instant::now() {
                tokio::time::sleep_until(arrival.into()).await;
            }
            path.passable().await?;
            if chunk.is_empty() {
                return write.shutdown().await;
            }
            write.write_all(&chunk).await?;
        }
    };
    tokio::select! {
        ended = async { tokio::try_join!(receive, deliver) } => return ended.map(|_| ()),
        () = path.reset() => {}
    }
    Err(io::ErrorKind::ConnectionReset.into())
}
