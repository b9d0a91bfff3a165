//! Seats among the control hosts: a host without state takes the seat of one that is gone.
//!
//! The number of seats is fixed when the deployment is founded; some may be vacant at first. The log counts a new host of a seat only once it
//! has caught up and is readmitted, so that the former one and it never count at the same time.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    net::IpAddr,
    path::Path,
    time::{Duration, Instant},
};

use base::HostName;
use compio::time::timeout;
use proto::schema::gate;
use serde::{Deserialize, Serialize};

use crate::{
    host::{Host, Identity},
    log::{Log, LogError},
    machine::{Command, State},
    upstream,
};

/// A host of a seat that the leader has not heard from for this long may be replaced. It is several
/// election timeouts, so that a host that restarts keeps its seat.
pub const ABSENT: Duration = Duration::from_millis(2_500);

/// Address of a seat without a host, the text of [`base::net::NOWHERE`].
pub const VACANT: &str = "0.0.0.0:0";

/// Answer to a host that asks for a seat.
#[derive(Debug, Default)]
pub struct Joined {
    /// Seat; absent when none is free or this host does not lead.
    pub name: Option<HostName>,
    /// Addresses of all seats.
    pub seats: BTreeMap<HostName, String>,
    /// Seat of the leader, if known.
    pub leader: Option<HostName>,
}

/// Addresses of all seats: the founding ones with all changes.
#[must_use]
pub fn seats(state: &State, identity: &Identity) -> BTreeMap<HostName, String> {
    let founding = identity.peers.iter();
    let founding = founding.map(|(name, address)| (name.clone(), address.to_string()));
    let mut seats: BTreeMap<_, _> = founding.collect();
    seats.extend(state.seats.clone());
    seats
}

/// Whether another host than `identity` holds its seat.
#[must_use]
pub fn displaced(state: &State, identity: &Identity) -> bool {
    let own = identity
        .peers
        .iter()
        .find(|(name, _)| *name == identity.name);
    match (state.seats.get(&identity.name), own) {
        (Some(held), Some((_, address))) => *held != address.to_string(),
        _ => false,
    }
}

/// Seat for the host at `address`: the one that it holds already, or the one whose host has been
/// absent the longest.
#[must_use]
pub fn choose(
    seats: &BTreeMap<HostName, String>,
    address: &str,
    absent: impl Fn(&str) -> Option<Duration>,
) -> Option<HostName> {
    if let Some((name, _)) = seats.iter().find(|(_, held)| *held == address) {
        return Some(name.clone());
    }
    let gone = seats.keys().filter_map(|name| {
        let absent = absent(name)?;
        (absent >= ABSENT).then_some((absent, name))
    });
    gone.max().map(|(_, name)| name.clone())
}

/// Records the founding seats where hosts may move, so that entry processes learn all addresses.
///
/// # Errors
/// The log has no answer.
pub async fn record<L: Log>(host: &Host<L>) -> Result<(), LogError> {
    if !host.identity.allow_replacement {
        return Ok(());
    }
    let seats = seats(&host.state.borrow(), &host.identity);
    for (name, address) in seats {
        let known = host.state.borrow().seats.contains_key(&name);
        if !known {
            let command = Command::Seat { name, address };
            host.log.propose(command.encode()).await?;
        }
    }
    Ok(())
}

/// Gives the host at `address` a seat, when this host leads and one is free.
pub async fn join<L: Log>(host: &Host<L>, address: &str) -> Joined {
    let now = Instant::now();
    let leader = host.log.leader();
    let seats = seats(&host.state.borrow(), &host.identity);
    let refused = |seats| Joined {
        name: None,
        seats,
        leader: leader.clone(),
    };
    if !host.log.is_leader(now) {
        return refused(seats);
    }
    // A host that was just given a seat has not answered the leader yet.
    let given = host.reassigned_seats.borrow().clone();
    let chosen = choose(&seats, address, |name| {
        let given = given.get(name);
        let given = given.map(|at| now.saturating_duration_since(*at));
        let absent = host.log.time_since_answer(name, now)?;
        Some(given.map_or(absent, |since| since.min(absent)))
    });
    let Some(name) = chosen else {
        return refused(seats);
    };
    slog::info!(host.logger, "seat given to a host"; "seat" => &name, "address" => address,
        "before" => seats.get(&name));
    host.reassigned_seats.borrow_mut().insert(name.clone(), now);
    let command = Command::Seat {
        name: name.clone(),
        address: address.to_owned(),
    };
    match host.log.propose(command.encode()).await {
        Ok(_applied) => Joined {
            name: Some(name),
            seats: self::seats(&host.state.borrow(), &host.identity),
            leader,
        },
        Err(cause) => {
            slog::warn!(host.logger, "the change of a seat has no answer of the log";
                "seat" => &name, "cause" => %cause);
            refused(seats)
        }
    }
}

/// Asks the control hosts at `addresses`, and those that they name, for a seat for the host at
/// `own`; `None` when the leader is not found or has none to give.
pub async fn ask(host: IpAddr, addresses: &[String], own: &str) -> Option<Seating> {
    let mut asked: BTreeSet<String> = [own.to_owned()].into();
    let mut next: Vec<String> = addresses.to_vec();
    while let Some(address) = next.pop() {
        if !asked.insert(address.clone()) {
            continue;
        }
        let Ok(Ok((name, seats))) = timeout(ASK, ask_one(host, &address, own)).await else {
            continue;
        };
        if !name.is_empty() {
            return Some(Seating { name, seats });
        }
        next.extend(seats.into_values());
    }
    None
}

/// Limit on one question for a seat: a commit of the leader and two round trips between regions.
const ASK: Duration = Duration::from_secs(1);

async fn ask_one(
    host: IpAddr,
    address: &str,
    own: &str,
) -> Result<(HostName, BTreeMap<HostName, String>), String> {
    let to = upstream::parse_address(address)?;
    let stream = base::net::connect(host, to, ASK).await;
    let stream = stream.map_err(|cause| cause.to_string())?;
    let (gate, driver) = proto::rpc::open::<gate::Client>(stream);
    // Dropping the handle ends the connection with this function.
    let _driver = compio::runtime::spawn(driver);
    let peer = gate.peer_request().send().pipeline.get_peer();
    let mut request = peer.join_request();
    request.get().set_address(own);
    let read = async {
        let response = request.send().promise.await?;
        let answer = response.get()?;
        let mut seats = BTreeMap::new();
        for seat in answer.get_seats()? {
            seats.insert(
                seat.get_name()?.to_string()?,
                seat.get_address()?.to_string()?,
            );
        }
        Ok::<_, capnp::Error>((answer.get_name()?.to_string()?, seats))
    };
    read.await.map_err(|cause| cause.to_string())
}

/// The seat of a data directory, with the addresses of all seats as far as they were known then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seating {
    /// Seat of this host.
    pub name: HostName,
    /// Addresses of all seats.
    pub seats: BTreeMap<HostName, String>,
}

/// File that holds the seating, beside those of the log.
const FILE: &str = "seating";

impl Seating {
    /// Founding seats of the hosts at `addresses`, for the one at `own`; `None` when it is no
    /// founder. Every founder finds the same, in whatever order it knows the addresses.
    ///
    /// One more seat than twice `losses` bears the loss of that many hosts. Seats beyond the
    /// founders are vacant and given to hosts that ask; the founders have to be a majority.
    ///
    /// ```
    /// use control::seat::{Seating, VACANT};
    ///
    /// let addresses = ["10.0.0.2:7000", "10.0.0.1:7000"].map(String::from);
    /// let seating = Seating::found(&addresses, "10.0.0.1:7000", 1).unwrap();
    /// assert_eq!(seating.name, "control-1");
    /// assert_eq!(seating.seats["control-3"], VACANT);
    /// assert_eq!(Seating::found(&addresses, "10.0.0.9:7000", 1), None);
    /// ```
    #[must_use]
    pub fn found(addresses: &[String], own: &str, losses: usize) -> Option<Self> {
        let sorted: BTreeSet<_> = addresses.iter().map(String::as_str).collect();
        let most = (sorted.len() * 2).saturating_sub(1);
        let wanted = losses.saturating_mul(2).saturating_add(1);
        let number = wanted.min(most).max(sorted.len());
        let held = sorted.into_iter().chain(std::iter::repeat(VACANT));
        let seats = (1..).zip(held.take(number));
        let seats: BTreeMap<_, _> = seats
            .map(|(i, address)| (format!("control-{i}"), address.to_owned()))
            .collect();
        let (name, _) = seats.iter().find(|(_, address)| *address == own)?;
        Some(Self {
            name: name.clone(),
            seats,
        })
    }

    /// Reads the seating of a data directory; `None` when it has none.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn load(data: &Path) -> io::Result<Option<Self>> {
        match fs::read_to_string(data.join(FILE)) {
            Ok(text) => toml::from_str(&text)
                .map(Some)
                .map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause.to_string())),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    /// Writes the seating durably.
    ///
    /// # Errors
    /// The data directory can't be written.
    pub fn store(&self, data: &Path) -> io::Result<()> {
        fs::create_dir_all(data)?;
        let text = toml::to_string(self).map_err(io::Error::other)?;
        base::files::replace(&data.join(FILE), text)
    }
}
