//! The time for which a host holds its seat: how it learns that the seat was given to another host,
//! and when it may empty its disk.
//!
//! A former holder may have the only other copy of what was acknowledged until its successor counts.
//! The leader does not call it any more, so it asks.

use std::time::{Duration, Instant};

use base::clock;
use compio::time::sleep;

use crate::{
    ask::{Asker, Seats},
    host::{Host, Identity},
    log::Log,
    seat,
};

/// A host that has not heard from a leader for this long asks whether it still holds its seat. This is
/// longer than the absence after which a seat may be given away.
const DOUBT_AFTER: Duration = Duration::from_secs(3);
/// Pause between two checks, and between two questions.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Answer to the question who holds a seat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holder {
    /// Whether the host that answered leads and knows all that is committed.
    pub known: bool,
    /// RPC address of the holder.
    pub address: String,
    /// Whether the data directory that was asked about counts in a quorum, or may soon.
    pub counted: bool,
    /// Addresses of all seats.
    pub seats: Seats,
}

impl Holder {
    /// Whether the host at `address` may empty its disk: the leader knows that another host holds the
    /// seat, and that the disk does not count any more.
    ///
    /// ```
    /// use control::tenure::Holder;
    ///
    /// let mut holder = Holder { known: true, address: "b:1".into(), ..Holder::default() };
    /// assert!(holder.releases("a:1") && !holder.releases("b:1"));
    /// holder.counted = true;
    /// assert!(!holder.releases("a:1"));
    /// ```
    #[must_use]
    pub fn releases(&self, address: &str) -> bool {
        self.known && self.address != address && !self.counted
    }
}

/// Answers who holds `seat` and whether the data directory `incarnation` counts in it.
pub async fn holder<L: Log>(host: &Host<L>, seat: &str, incarnation: u64) -> Holder {
    let known = host.log.barrier().await.is_ok();
    let seats = seat::addresses(&host.state.borrow(), &host.identity);
    Holder {
        known,
        address: seats.get(seat).cloned().unwrap_or_default(),
        counted: host.log.may_count(seat, incarnation),
        seats,
    }
}

/// Whether a host asks if it still holds its seat.
#[must_use]
pub fn is_in_doubt<L: Log>(host: &Host<L>, now: Instant) -> bool {
    host.is_replaced() || host.log.time_since_leader(now) >= DOUBT_AFTER
}

/// Completes once the leader has said that another host holds the seat of `host` and that its disk
/// does not count any more. `seeds` are asked beside the known seats.
pub async fn ended<L: Log>(host: &Host<L>, seeds: impl Fn() -> Vec<String>) {
    let own_address = own_address(&host.identity);
    let asker = Asker {
        host: host.identity.host,
        address: &own_address,
    };
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        if !is_in_doubt(host, now) {
            continue;
        }
        if host.is_replaced() && host.log.can_be_spared(now) {
            // Nobody can reach this host at the address of its seat.
            slog::info!(
                host.logger,
                "leading without a seat; handing the leadership over"
            );
            let _transferred = host.log.transfer_leadership().await;
        }
        let seats = seat::addresses(&host.state.borrow(), &host.identity);
        let known: Vec<_> = seats.into_values().chain(seeds()).collect();
        let name = &host.identity.name;
        let found = asker
            .request_holder(&known, name, host.log.incarnation())
            .await;
        if let Some(holder) = found.filter(|holder| holder.releases(&own_address)) {
            let state = host.state.borrow();
            slog::info!(host.logger, "seat was given to another host"; "seat" => name,
                "holder" => &holder.address, "applied" => state.applied, "last_seat_change" => state.seated,
                "seat_index" => host.identity.seat_index, "backlog" => host.log.apply_backlog(),
                "caught_up" => host.log.has_caught_up());
            return;
        }
    }
}

/// RPC address of a host; empty if it is not among its peers.
fn own_address(identity: &Identity) -> String {
    let own = identity
        .peers
        .iter()
        .find(|(name, _)| *name == identity.name);
    own.map_or_else(String::new, |(_, address)| address.to_string())
}
