//! Each safety mechanism: a scenario that is correct with it, and that the checks find faulty with
//! the mechanism switched off.

mod cluster;

use std::time::Duration;

use agree::{DisabledMechanisms, Entry, Frame, HardState, Mechanism, environment::File};
use cluster::{Cluster, Files};
use rstest::rstest;

const SECONDS: Duration = Duration::from_secs(5);

/// Runs a scenario with several seeds, with the mechanism and without it.
fn compare(mechanism: Mechanism, scenario: impl Fn(u64, DisabledMechanisms) -> Vec<String>) {
    let seeds = 1..=20;

    let faults: Vec<_> = seeds
        .clone()
        .flat_map(|seed| scenario(seed, Vec::new()))
        .collect();
    let found = seeds
        .flat_map(|seed| scenario(seed, vec![mechanism]))
        .count();

    assert!(faults.is_empty(), "with {mechanism:?}: {faults:#?}");
    assert!(found > 0, "no check notices the absence of {mechanism:?}");
}

/// Submits a command on the leader, if there is one, and waits for its outcome.
fn try_write(all: &mut Cluster) {
    if let Some(leader) = all.find_leader() {
        all.submit(leader, false);
    }
    all.run(SECONDS);
}

/// Restarts every host that is down, and compares everything.
fn finish(all: &mut Cluster) -> Vec<String> {
    all.heal();
    for host in 0..all.size {
        all.slow_disk(host, Duration::ZERO);
        if !all.alive(host) {
            all.start(host);
        }
    }
    all.run(4 * SECONDS);
    all.check()
}

/// Only two of three hosts hold an entry; the one loses its disk, the other is lost.
fn lose_second_host(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    let leader = all.leader();
    let (behind, repaired) = ((leader + 1) % 3, (leader + 2) % 3);
    all.isolate(behind);
    all.write();
    all.crash(repaired);
    all.replace_files(repaired, Files::new());
    all.crash(leader);
    all.heal();
    all.start(repaired);
    all.run(2 * SECONDS);
    try_write(&mut all);
    finish(&mut all)
}

/// As before, but the disk is an older copy.
fn restore_old_disk(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    all.write();
    let leader = all.leader();
    let (behind, restored) = ((leader + 1) % 3, (leader + 2) % 3);
    all.crash(restored);
    let copy = all.files(restored);
    all.start(restored);
    all.run(SECONDS);
    all.isolate(behind);
    all.write();
    all.crash(restored);
    all.replace_files(restored, copy);
    all.crash(leader);
    all.heal();
    all.start(restored);
    all.run(2 * SECONDS);
    try_write(&mut all);
    finish(&mut all)
}

/// A learner on a slow disk is readmitted only when it holds what was committed when it asked.
fn readmit_slowly(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    for _ in 0..20 {
        all.write();
    }
    let wanted = all.node(all.find_leader().unwrap()).applied_index();
    let leader = all.leader();
    let repaired = (leader + 1) % 3;
    all.crash(repaired);
    all.replace_files(repaired, Files::new());
    all.start(repaired);
    all.slow_disk(repaired, Duration::from_secs(1));
    let name = format!("control-{repaired}");
    let readmitted = |all: &Cluster| all.node(leader).dump()["members"][&name] != 0;
    all.run_until(6 * SECONDS, readmitted);
    if all.node(repaired).durable_index() < wanted {
        all.world
            .violation("a host without the committed entries was readmitted".into());
    }
    finish(&mut all)
}

fn command(index: u64, term: u64, text: &str) -> Entry {
    let payload = [&[2], text.as_bytes()].concat();
    Entry {
        index,
        term,
        payload: payload.into(),
    }
}

/// An entry of an old term is on a majority, yet a host with an entry of a newer term can still
/// win an election and replace it.
fn commit_old_term(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 5, without);
    all.tuning.max_batch_bytes = 1;
    for host in 0..5 {
        all.crash(host);
        let mut entries = vec![command(1, 1, "first")];
        match host {
            0 | 1 => entries.push(command(2, 2, "old")),
            4 => entries.push(command(2, 3, "new")),
            _ => {}
        }
        let mut hard = HardState::new(format!("control-{host}"), 0);
        hard.term = 3;
        let log = Frame { commit: 0, entries }.encode();
        all.replace_files(
            host,
            Files::from([(File::State, hard.encode()), (File::Log, log)]),
        );
    }
    for host in 0..3 {
        all.start(host);
    }
    let applied = |all: &Cluster| (0..2).find(|host| all.node(*host).applied_index() >= 2);
    all.run_until(4 * SECONDS, |all| applied(all).is_some());
    let Some(first) = applied(&all) else {
        return vec!["nothing was committed".into()];
    };
    all.isolate(first);
    all.crash(first);
    all.crash(1 - first);
    all.start(3);
    all.start(4);
    all.run(2 * SECONDS);
    try_write(&mut all);
    finish(&mut all)
}

/// A host holds a readmission that it does not know to be committed, but not the entry after it,
/// which only the readmitted disk and two hosts that are down hold. The former disk is back.
fn count_former_disk(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 5, without);
    let payload = [&[1][..], &77_u64.to_le_bytes(), b"control-4"].concat();
    let readmission = Entry {
        index: 1,
        term: 1,
        payload: payload.into(),
    };
    for host in 0..5 {
        all.crash(host);
        let (commit, entries) = match host {
            0 | 1 => (2, vec![readmission.clone(), command(2, 1, "acknowledged")]),
            2 => (0, vec![readmission.clone()]),
            _ => (0, Vec::new()),
        };
        let mut hard = HardState::new(format!("control-{host}"), 0);
        hard.term = 1;
        let log = Frame { commit, entries }.encode();
        all.replace_files(
            host,
            Files::from([(File::State, hard.encode()), (File::Log, log)]),
        );
    }
    all.acked.borrow_mut().insert(2, b"acknowledged".to_vec());
    for host in 2..5 {
        all.start(host);
    }
    all.run(2 * SECONDS);
    try_write(&mut all);
    finish(&mut all)
}

/// A host that missed an acknowledged entry wants to lead.
fn elect_behind(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    let leader = all.leader();
    let behind = (leader + 1) % 3;
    all.isolate(behind);
    all.write();
    all.crash(leader);
    all.heal();
    all.run(2 * SECONDS);
    try_write(&mut all);
    finish(&mut all)
}

/// A follower returns from a partition.
fn return_from_partition(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    all.write();
    let leader = all.leader();
    let term = all.node(leader).term();
    let cut = (leader + 1) % 3;
    all.isolate(cut);
    all.run(4 * SECONDS);
    all.heal();
    all.run(SECONDS);
    if all.node(leader).term() != term {
        all.world
            .violation("the returned host forced an election".into());
    }
    finish(&mut all)
}

/// A leader is cut off from the others.
fn cut_off_leader(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    let leader = all.leader();
    all.isolate(leader);
    all.run(SECONDS);
    if all.node(leader).is_leader(all.world.now()) {
        all.world
            .violation("a host without a majority leads".into());
    }
    finish(&mut all)
}

/// A leader that is cut off is asked for strong reads while the others go on.
fn read_from_former_leader(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    all.write();
    let former = all.leader();
    all.isolate(former);
    for _ in 0..200 {
        all.run(Duration::from_millis(10));
        let now = all.world.now();
        let next = (0..3).find(|host| *host != former && all.node(*host).is_leader(now));
        if let Some(next) = next {
            all.submit(next, false);
        }
        all.submit_barrier(former);
    }
    finish(&mut all)
}

/// The host that acknowledged an entry is killed before the entry is on its disk.
fn kill_before_sync(seed: u64, without: DisabledMechanisms) -> Vec<String> {
    let mut all = Cluster::new(seed, 3, without);
    all.write();
    all.converge();
    all.run(SECONDS);
    let leader = all.leader();
    let (behind, slow) = ((leader + 1) % 3, (leader + 2) % 3);
    all.isolate(behind);
    all.slow_disk(slow, SECONDS);
    all.submit(leader, false);
    all.run(Duration::from_millis(300));
    all.crash(slow);
    all.crash(leader);
    all.heal();
    all.slow_disk(slow, Duration::ZERO);
    all.start(slow);
    all.run(2 * SECONDS);
    try_write(&mut all);
    finish(&mut all)
}

/// Guards against a learner that counts in a majority.
#[rstest]
fn learners_count_for_nothing() {
    compare(Mechanism::LearnerExclusion, lose_second_host);
}

/// Guards against an outdated disk that counts in a majority.
#[rstest]
fn boots_tell_old_disks() {
    compare(Mechanism::BootCheck, restore_old_disk);
}

/// Guards against a former disk that counts again because a readmission is not known to be
/// committed.
#[rstest]
fn former_disks_count_for_nothing() {
    compare(Mechanism::PendingReadmission, count_former_disk);
}

/// Guards against a readmission before the host holds what it missed.
#[rstest]
fn learners_catch_up_first() {
    compare(Mechanism::CatchUp, readmit_slowly);
}

/// Guards against a commit that a later leader undoes.
#[rstest]
fn leaders_commit_own_term() {
    compare(Mechanism::CurrentTermCommit, commit_old_term);
}

/// Guards against a leader that lacks acknowledged entries.
#[rstest]
fn votes_need_newer_log() {
    compare(Mechanism::ElectionRestriction, elect_behind);
}

/// Guards against a returning host that interrupts a working leader.
#[rstest]
fn pre_vote_protects_leader() {
    compare(Mechanism::PreVote, return_from_partition);
}

/// Guards against a leader that goes on without a majority.
#[rstest]
fn leaders_need_contact() {
    compare(Mechanism::CheckQuorum, cut_off_leader);
}

/// Guards against strong reads from a former leader.
#[rstest]
fn reads_need_a_round() {
    compare(Mechanism::ReadIndex, read_from_former_leader);
}

/// Guards against acknowledgements of entries that are not on disk.
#[rstest]
fn answers_follow_syncs() {
    compare(Mechanism::Sync, kill_before_sync);
}
