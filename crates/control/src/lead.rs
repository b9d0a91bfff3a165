//! Duties of the leader: one task per group, and loans of connections.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{GroupName, Map};
use compio::{runtime::JoinHandle, time::sleep};
use futures_util::future::join_all;

use crate::{host::Host, log::Log, permits::Permits, promotion, seat};

/// How often the leadership is looked at.
const TICK: Duration = Duration::from_millis(20);
/// How often announcements are passed on. A leaving database must be known everywhere within
/// seconds.
const PASS: Duration = Duration::from_millis(200);
/// How often expired entries of the tables are dropped.
const EXPIRE: Duration = Duration::from_millis(200);

/// Starts and ends the duties of the leader with the leadership, until the process ends.
pub async fn lead<L: Log>(host: Rc<Host<L>>) {
    loop {
        if !host.log.is_leader(Instant::now()) {
            sleep(TICK).await;
            continue;
        }
        // Everything that older leaders committed is applied here after this.
        if let Err(cause) = host.log.barrier().await {
            slog::warn!(host.logger, "no barrier as a new leader"; "cause" => %cause);
            sleep(TICK).await;
            continue;
        }
        if let Err(cause) = seat::record(&host).await {
            slog::warn!(host.logger, "seats are not recorded"; "cause" => %cause);
        }
        slog::info!(host.logger, "this host leads"; "term" => host.log.term());
        host.metrics.leader.set(1);
        *host.permits.borrow_mut() = Some(Permits::new(Instant::now()));
        let term = host.log.term();
        let mut tasks: Map<GroupName, JoinHandle<()>> = Map::default();
        let mut seen = None;
        while host.log.is_leader(Instant::now()) && host.log.term() == term {
            let versions = {
                let state = host.state.borrow();
                (state.config.version, state.version)
            };
            let news = seen.replace(versions) != Some(versions);
            for group in news.then(|| groups(&host)).into_iter().flatten() {
                tasks.entry(group).or_insert_with_key(|group| {
                    let drive = promotion::drive(Rc::clone(&host), group.clone());
                    compio::runtime::spawn(drive)
                });
            }
            sleep(TICK).await;
        }
        // Dropping the tasks ends them.
        drop(tasks);
        *host.permits.borrow_mut() = None;
        host.metrics.leader.set(0);
        slog::info!(host.logger, "this host leads no longer");
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

/// Passes announcements that arrived at this host on to the others, until the process ends.
pub async fn pass_on<L: Log>(host: Rc<Host<L>>) {
    loop {
        sleep(PASS).await;
        let names: Vec<_> = host.pending_announcements.borrow_mut().drain().collect();
        if names.is_empty() {
            continue;
        }
        let heard: Vec<_> = {
            let directory = host.directory.borrow();
            let found = names.iter().filter_map(|(name, _)| directory.member(name));
            found.cloned().collect()
        };
        let now = Instant::now();
        let peers = host.peers.names();
        let calls = peers
            .iter()
            .map(|name| host.peers.forward_announcements(name, &heard, now));
        // A host that misses one hears the next: databases announce themselves again and again.
        let _failed = join_all(calls).await;
    }
}

/// Drops what expired from the tables, until the process ends.
pub async fn expire<L: Log>(host: Rc<Host<L>>) {
    loop {
        host.expire(Instant::now());
        sleep(EXPIRE).await;
    }
}

/// Passes changes of the log on to the tasks that wait for them, until the process ends.
pub async fn follow<L: Log>(host: Rc<Host<L>>) {
    loop {
        host.on_applied();
        host.log.changed().await;
    }
}
