//! Runs a scenario for each safety mechanism twice: it must be correct with the mechanism, and the
//! checks must find a violation when the mechanism is switched off.

mod cluster;

use std::time::Duration;

use agree::{DisabledMechanisms, Entry, Frame, HardState, Mechanism, environment::File};
use cluster::{Cluster, Files};
use rstest::rstest;

const FIVE_SECONDS: Duration = Duration::from_secs(5);

/// Runs a scenario with several seeds, with the mechanism and without it, and compares the
/// violations that the checks find.
fn compare(mechanism: Mechanism, scenario: impl Fn(u64, DisabledMechanisms) -> Vec<String>) {
    let seeds = 1..=20;

    let violations: Vec<_> = seeds
        .clone()
        .flat_map(|seed| scenario(seed, Vec::new()))
        .collect();
    let violations_when_disabled = seeds
        .flat_map(|seed| scenario(seed, vec![mechanism]))
        .count();

    assert!(violations.is_empty(), "with {mechanism:?}: {violations:#?}");
    assert!(
        violations_when_disabled > 0,
        "no check detects that {mechanism:?} is switched off"
    );
}

/// Submits a command on the leader, if there is one, and waits for its outcome.
fn try_write(cluster: &mut Cluster) {
    if let Some(leader) = cluster.find_leader() {
        cluster.submit(leader, false);
    }
    cluster.run(FIVE_SECONDS);
}

/// Repairs the network and the disks, restarts every host that is down, and returns the violations.
fn finish(cluster: &mut Cluster) -> Vec<String> {
    cluster.heal();
    for host in 0..cluster.size {
        cluster.slow_disk(host, Duration::ZERO);
        if !cluster.alive(host) {
            cluster.start(host);
        }
    }
    cluster.run(4 * FIVE_SECONDS);
    cluster.check()
}

/// Only two of three hosts hold an acknowledged entry. One of them loses its disk, and the other
/// one crashes.
fn lose_second_host(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    let leader = cluster.leader();
    let (behind, repaired) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(behind);
    cluster.write();
    cluster.crash(repaired);
    cluster.replace_files(repaired, Files::new());
    cluster.crash(leader);
    cluster.heal();
    cluster.start(repaired);
    cluster.run(2 * FIVE_SECONDS);
    try_write(&mut cluster);
    finish(&mut cluster)
}

/// As in `lose_second_host`, but the disk is replaced by an older copy of itself.
fn restore_old_disk(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    cluster.write();
    let leader = cluster.leader();
    let (behind, restored) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.crash(restored);
    let copy = cluster.files(restored);
    cluster.start(restored);
    cluster.run(FIVE_SECONDS);
    cluster.isolate(behind);
    cluster.write();
    cluster.crash(restored);
    cluster.replace_files(restored, copy);
    cluster.crash(leader);
    cluster.heal();
    cluster.start(restored);
    cluster.run(2 * FIVE_SECONDS);
    try_write(&mut cluster);
    finish(&mut cluster)
}

/// A host with an empty, slow disk asks for readmission. It must hold the entries that were
/// committed when it asked before it is readmitted.
fn readmit_on_slow_disk(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    for _ in 0..20 {
        cluster.write();
    }
    let committed_index = cluster.node(cluster.find_leader().unwrap()).applied_index();
    let leader = cluster.leader();
    let repaired = (leader + 1) % 3;
    cluster.crash(repaired);
    cluster.replace_files(repaired, Files::new());
    cluster.start(repaired);
    cluster.slow_disk(repaired, Duration::from_secs(1));
    let name = format!("control-{repaired}");
    let readmitted = |cluster: &Cluster| cluster.node(leader).dump()["members"][&name] != 0;
    cluster.run_until(6 * FIVE_SECONDS, readmitted);
    if cluster.node(repaired).durable_index() < committed_index {
        cluster
            .simulation
            .report_violation("a host without the committed entries was readmitted".into());
    }
    finish(&mut cluster)
}

fn command(index: u64, term: u64, text: &str) -> Entry {
    let payload = [&[2], text.as_bytes()].concat();
    Entry {
        index,
        term,
        payload: payload.into(),
    }
}

/// An entry of an old term is on a majority of the hosts, but a host with an entry of a newer term
/// at the same index can still win an election and overwrite it.
fn commit_entry_of_old_term(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 5, disabled);
    cluster.tuning.max_batch_bytes = 1;
    for host in 0..5 {
        cluster.crash(host);
        let mut entries = vec![command(1, 1, "first")];
        match host {
            0 | 1 => entries.push(command(2, 2, "old")),
            4 => entries.push(command(2, 3, "new")),
            _ => {}
        }
        let mut hard = HardState::new(format!("control-{host}"), 0);
        hard.term = 3;
        let log = Frame { commit: 0, entries }.encode();
        cluster.replace_files(
            host,
            Files::from([(File::State, hard.encode()), (File::Log, log)]),
        );
    }
    for host in 0..3 {
        cluster.start(host);
    }
    let applied = |cluster: &Cluster| (0..2).find(|host| cluster.node(*host).applied_index() >= 2);
    cluster.run_until(4 * FIVE_SECONDS, |cluster| applied(cluster).is_some());
    let Some(first) = applied(&cluster) else {
        return vec!["no entry was committed".into()];
    };
    cluster.isolate(first);
    cluster.crash(first);
    cluster.crash(1 - first);
    cluster.start(3);
    cluster.start(4);
    cluster.run(2 * FIVE_SECONDS);
    try_write(&mut cluster);
    finish(&mut cluster)
}

/// A host holds a readmission that it does not know to be committed. It lacks the next entry, which
/// only the readmitted disk and two hosts that are down hold. The former disk is put back, so it
/// must not count towards a majority.
fn count_former_disk(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 5, disabled);
    let payload = [&[1][..], &77_u64.to_le_bytes(), b"control-4"].concat();
    let readmission = Entry {
        index: 1,
        term: 1,
        payload: payload.into(),
    };
    for host in 0..5 {
        cluster.crash(host);
        let (commit, entries) = match host {
            0 | 1 => (2, vec![readmission.clone(), command(2, 1, "acknowledged")]),
            2 => (0, vec![readmission.clone()]),
            _ => (0, Vec::new()),
        };
        let mut hard = HardState::new(format!("control-{host}"), 0);
        hard.term = 1;
        let log = Frame { commit, entries }.encode();
        cluster.replace_files(
            host,
            Files::from([(File::State, hard.encode()), (File::Log, log)]),
        );
    }
    cluster
        .acked
        .borrow_mut()
        .insert(2, b"acknowledged".to_vec());
    for host in 2..5 {
        cluster.start(host);
    }
    cluster.run(2 * FIVE_SECONDS);
    try_write(&mut cluster);
    finish(&mut cluster)
}

/// A host that missed an acknowledged entry becomes a candidate.
fn elect_outdated_host(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    let leader = cluster.leader();
    let behind = (leader + 1) % 3;
    cluster.isolate(behind);
    cluster.write();
    cluster.crash(leader);
    cluster.heal();
    cluster.run(2 * FIVE_SECONDS);
    try_write(&mut cluster);
    finish(&mut cluster)
}

/// A follower returns from a partition in which it could not reach the leader. The working leader
/// must remain the leader in the same term.
fn return_from_partition(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    cluster.write();
    let leader = cluster.leader();
    let term = cluster.node(leader).term();
    let returning = (leader + 1) % 3;
    cluster.isolate(returning);
    cluster.run(4 * FIVE_SECONDS);
    cluster.heal();
    cluster.run(FIVE_SECONDS);
    if cluster.node(leader).term() != term {
        cluster
            .simulation
            .report_violation("the returned host started a new term".into());
    }
    finish(&mut cluster)
}

/// A leader is cut off from the others and must step down.
fn isolate_leader(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    let leader = cluster.leader();
    cluster.isolate(leader);
    cluster.run(FIVE_SECONDS);
    if cluster.node(leader).is_leader(cluster.simulation.now()) {
        cluster
            .simulation
            .report_violation("a host without a majority is the leader".into());
    }
    finish(&mut cluster)
}

/// A leader that is cut off is asked for linearizable reads while the others elect a new leader and
/// acknowledge commands.
fn read_from_former_leader(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    cluster.write();
    let former_leader = cluster.leader();
    cluster.isolate(former_leader);
    for _ in 0..200 {
        cluster.run(Duration::from_millis(10));
        let now = cluster.simulation.now();
        let new_leader =
            (0..3).find(|host| *host != former_leader && cluster.node(*host).is_leader(now));
        if let Some(new_leader) = new_leader {
            cluster.submit(new_leader, false);
        }
        cluster.submit_read(former_leader);
    }
    finish(&mut cluster)
}

/// A follower crashes while an entry is being written to its slow disk. It must not have
/// acknowledged the entry, because the leader crashes as well.
fn crash_before_sync(seed: u64, disabled: DisabledMechanisms) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 3, disabled);
    cluster.write();
    cluster.converge();
    cluster.run(FIVE_SECONDS);
    let leader = cluster.leader();
    let (behind, slow) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(behind);
    cluster.slow_disk(slow, FIVE_SECONDS);
    cluster.submit(leader, false);
    cluster.run(Duration::from_millis(300));
    cluster.crash(slow);
    cluster.crash(leader);
    cluster.heal();
    cluster.slow_disk(slow, Duration::ZERO);
    cluster.start(slow);
    cluster.run(2 * FIVE_SECONDS);
    try_write(&mut cluster);
    finish(&mut cluster)
}

/// Guards against a learner that counts towards a majority.
#[rstest]
fn learners_do_not_count_towards_majority() {
    compare(Mechanism::LearnerExclusion, lose_second_host);
}

/// Guards against an outdated disk that counts towards a majority.
#[rstest]
fn boot_numbers_reveal_old_disks() {
    compare(Mechanism::BootCheck, restore_old_disk);
}

/// Guards against a former disk that counts towards a majority because the readmission of its
/// replacement is not known to be committed.
#[rstest]
fn former_disks_do_not_count_towards_majority() {
    compare(Mechanism::PendingReadmission, count_former_disk);
}

/// Guards against a readmission before the host holds the entries that it lost.
#[rstest]
fn learners_catch_up_before_readmission() {
    compare(Mechanism::CatchUp, readmit_on_slow_disk);
}

/// Guards against a committed entry that a later leader overwrites.
#[rstest]
fn leaders_commit_only_current_term_by_counting() {
    compare(Mechanism::CurrentTermCommit, commit_entry_of_old_term);
}

/// Guards against a leader that lacks acknowledged entries.
#[rstest]
fn votes_require_up_to_date_log() {
    compare(Mechanism::ElectionRestriction, elect_outdated_host);
}

/// Guards against a returning host that deposes a working leader.
#[rstest]
fn pre_vote_protects_leader() {
    compare(Mechanism::PreVote, return_from_partition);
}

/// Guards against a leader that remains leader without contact to a majority.
#[rstest]
fn leaders_need_quorum_contact() {
    compare(Mechanism::CheckQuorum, isolate_leader);
}

/// Guards against stale reads from a former leader.
#[rstest]
fn reads_need_heartbeat_round() {
    compare(Mechanism::ReadIndex, read_from_former_leader);
}

/// Guards against acknowledgements of entries that are not on disk.
#[rstest]
fn acknowledged_entries_are_synced() {
    compare(Mechanism::Sync, crash_before_sync);
}
