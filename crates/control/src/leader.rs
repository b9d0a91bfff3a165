//! Tasks of the leading control host: one per group, and the connection permits. Also the periodic
//! tasks that every control host runs.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{GroupName, Map};
use compio::{
    runtime::JoinHandle,
    time::{sleep, timeout},
};
use futures_util::future::join_all;

use crate::{host::Host, log::Log, permits::Permits, promotion, seat};

/// Interval between checks whether this host leads.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which announcements are relayed. All hosts must learn within seconds that a database
/// is about to stop.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which expired table entries are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the leader's tasks when this host becomes leader and ends them when it stops leading.
/// Runs until the process ends.
pub async fn run<L: Log>(host: Rc<Host<L>>) {
    loop {
        if !host.leads() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        // After the barrier, everything that earlier leaders committed is applied here.
        if let Err(cause) = host.log.barrier().await {
            slog::warn!(host.logger, "barrier failed after becoming leader"; "cause" => %cause);
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if let Err(cause) = seat::record_founding(&host).await {
            slog::warn!(host.logger, "seats can't be recorded"; "cause" => %cause);
        }
        slog::info!(host.logger, "this host leads"; "term" => host.log.term());
        host.metrics.leader.set(1);
        *host.permits.borrow_mut() = Some(Permits::new(Instant::now()));
        let term = host.log.term();
        host.start_lending(term, base::clock::now());
        let mut tasks: Map<GroupName, JoinHandle<()>> = Map::default();
        let mut known_versions = None;
        while host.leads() && host.log.term() == term {
            let versions = {
                let state = host.state.borrow();
                (state.config.version, state.version)
            };
            let changed = known_versions.replace(versions) != Some(versions);
            for group in changed.then(|| groups(&host)).into_iter().flatten() {
                tasks.entry(group).or_insert_with_key(|group| {
                    let task = promotion::run_group(Rc::clone(&host), group.clone());
                    compio::runtime::spawn(task)
                });
            }
            sleep(POLL_INTERVAL).await;
        }
        // Dropping the handles ends the tasks.
        drop(tasks);
        *host.permits.borrow_mut() = None;
        *host.rates.borrow_mut() = None;
        host.metrics.leader.set(0);
        slog::info!(host.logger, "this host no longer leads");
    }
}

fn groups<L: Log>(host: &Host<L>) -> Vec<GroupName> {
    let document = host.document();
    let configured = document
        .services
        .iter()
        .map(|service| service.group.clone());
    let state = host.state.borrow();
    configured.chain(state.records.keys().cloned()).collect()
}

/// Relays announcements that this host received directly to the other control hosts, until the
/// process ends. New stores are relayed at once, because the leader must ask them before it replaces
/// a primary.
pub async fn relay_announcements<L: Log>(host: Rc<Host<L>>) {
    loop {
        let count = host.pending_store.count();
        let _elapsed = timeout(RELAY_INTERVAL, host.pending_store.changed_after(count)).await;
        let names: Vec<_> = host.pending_announcements.borrow_mut().drain().collect();
        if names.is_empty() {
            continue;
        }
        let received: Vec<_> = {
            let directory = host.directory.borrow();
            let announcements = names.iter().filter_map(|(name, _)| directory.member(name));
            announcements.cloned().collect()
        };
        let now = Instant::now();
        let peers = host.peers.names();
        let calls = peers
            .iter()
            .map(|name| host.peers.forward_announcements(name, &received, now));
        // A host that misses one receives the next: databases announce themselves repeatedly.
        let _failed = join_all(calls).await;
    }
}

/// Removes expired table entries, until the process ends.
pub async fn expire_tables<L: Log>(host: Rc<Host<L>>) {
    loop {
        host.expire(Instant::now());
        sleep(EXPIRE_INTERVAL).await;
    }
}

/// Notifies the tasks that wait for changes of the applied log, until the process ends.
pub async fn report_applied<L: Log>(host: Rc<Host<L>>) {
    loop {
        host.on_applied();
        host.log.changed().await;
    }
}
