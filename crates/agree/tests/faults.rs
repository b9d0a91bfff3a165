//! Injects each fault of the failure model on its own, at each point of a write.

mod cluster;

use std::time::Duration;

use agree::{
    StartError,
    environment::File,
    message::{AppendRequest, Identity, VoteRequest},
};
use cluster::{Cluster, Files, Kill, KillPoint};
use rstest::rstest;

const FIVE_SECONDS: Duration = Duration::from_secs(5);

/// Index of a follower.
fn follower(cluster: &mut Cluster) -> usize {
    let leader = cluster.leader();
    (leader + 1) % cluster.size
}

/// A cluster whose nodes take snapshots after a few entries.
fn compacting_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, Vec::new());
    cluster.tuning.snapshot_threshold_bytes = 300;
    cluster.tuning.trailing_entries = 3;
    cluster.tuning.snapshot_chunk_bytes = 50;
    for host in 0..3 {
        cluster.start(host);
    }
    cluster
}

/// Guards against a cluster that elects no leader or acknowledges no commands.
#[rstest]
fn elects_and_replicates(#[values(1, 3, 5)] size: usize) {
    let mut cluster = Cluster::new(1, size, Vec::new());

    for _ in 0..20 {
        cluster.write();
    }
    cluster.converge();

    cluster.assert_no_violations();
    assert_eq!(cluster.commands(size - 1).len(), 20);
}

/// Guards against a new leader that steps down before its first heartbeat round can end on slow
/// disks.
#[rstest]
fn keeps_leader_on_slow_disks(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::new(seed, 3, Vec::new());
    for host in 0..3 {
        cluster.slow_disk(host, Duration::from_millis(300));
    }
    let leader = cluster.leader();
    let term = cluster.node(leader).term();

    cluster.run(2 * FIVE_SECONDS);
    cluster.write();

    assert_eq!(
        (cluster.leader(), cluster.node(leader).term()),
        (leader, term)
    );
    cluster.assert_no_violations();
}

/// Guards against a large entry that delays heartbeats until the leader is deposed, or that can
/// never be sent within the timeout of a call.
#[rstest]
fn carries_large_entries(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(seed, 3, Vec::new());
    cluster.simulation.rate.set(1_900_000);
    let leader = cluster.leader();
    let term = cluster.node(leader).term();

    for _ in 0..3 {
        let node = cluster.node(leader);
        let large = async move { node.propose(vec![7; 2 << 20]).await };
        cluster.block_on(FIVE_SECONDS, large).unwrap().unwrap();
    }

    assert_eq!(
        (cluster.leader(), cluster.node(leader).term()),
        (leader, term)
    );
    cluster.converge();
    cluster.assert_no_violations();
}

/// Guards against a kill during a write that loses an acknowledged entry or a vote, or that leaves
/// files with which the host cannot start.
#[rstest]
fn survives_kill_at_each_step(
    #[values(File::State, File::Snapshot, File::Log)] file: File,
    #[values(KillPoint::Write, KillPoint::Sync, KillPoint::Reply)] point: KillPoint,
    #[values(true, false)] victim_is_leader: bool,
    #[values(1, 2, 3)] count: u32,
) {
    let mut cluster = compacting_cluster(u64::from(count));
    cluster.write();
    let leader = cluster.leader();
    let victim = if victim_is_leader {
        leader
    } else {
        (leader + 1) % 3
    };
    let kill = Kill { file, point, count };
    if file == File::State {
        // The state file is written at the start and in elections.
        cluster.start(victim);
    }
    cluster.kill_at(victim, kill);

    for round in 0..1_000 {
        cluster.write();
        if !cluster.alive(victim) {
            break;
        }
        if file == File::State && round % 10 == 9 {
            let leader = cluster.leader();
            cluster.isolate(leader);
            cluster.run(FIVE_SECONDS);
            cluster.heal();
        }
    }
    assert!(!cluster.alive(victim), "the host was not killed");
    cluster.start(victim);
    cluster.write();
    cluster.converge();

    cluster.assert_no_violations();
}

/// Guards against a host with a replaced disk that is never readmitted as a voter, or that is
/// readmitted with the identity of its former disk.
#[rstest]
fn readmits_lost_disk(#[values(true, false)] victim_is_leader: bool) {
    let mut cluster = compacting_cluster(3);
    for _ in 0..30 {
        cluster.write();
    }
    let leader = cluster.leader();
    let victim = if victim_is_leader {
        leader
    } else {
        (leader + 1) % 3
    };

    cluster.crash(victim);
    cluster.replace_files(victim, Files::new());
    cluster.start(victim);
    let learner = cluster.node(victim).is_learner();
    cluster.write();
    cluster.converge();

    cluster.assert_no_violations();
    assert!(learner);
    assert_ne!(cluster.node(victim).dump()["incarnation"], 0);
    assert_eq!(cluster.commands(victim), cluster.commands((victim + 1) % 3));
}

/// Guards against a readmission that works only once. Every host loses its disk twice in turn.
#[rstest]
fn readmits_every_host_in_turn() {
    let mut cluster = compacting_cluster(4);

    for round in 0..6 {
        cluster.write();
        cluster.converge();
        let victim = round % 3;
        cluster.crash(victim);
        cluster.replace_files(victim, Files::new());
        cluster.start(victim);
    }
    cluster.write();
    cluster.converge();

    cluster.assert_no_violations();
}

/// Guards against a quorum that counts a host whose disk was replaced. After a second host is lost,
/// nothing may be committed until it returns.
#[rstest]
fn waits_when_second_host_is_lost() {
    let mut cluster = Cluster::new(5, 3, Vec::new());
    cluster.write();
    let leader = cluster.leader();
    let repaired = (leader + 1) % 3;
    cluster.crash(repaired);
    cluster.replace_files(repaired, Files::new());
    cluster.crash(leader);
    cluster.start(repaired);

    cluster.run(4 * FIVE_SECONDS);

    assert_eq!(cluster.find_leader(), None);
    cluster.start(leader);
    cluster.write();
    cluster.converge();
    cluster.assert_no_violations();
}

/// Guards against a disk restored from a backup that votes as if it held all entries that its host
/// acknowledged.
#[rstest]
#[case::from_earlier_boot(true)]
#[case::from_this_boot(false)]
fn demotes_old_disk(#[case] rebooted: bool) {
    let mut cluster = compacting_cluster(6);
    cluster.write();
    let victim = follower(&mut cluster);
    let backup = cluster.files(victim);
    if rebooted {
        cluster.start(victim);
    }
    cluster.run(FIVE_SECONDS);
    for _ in 0..10 {
        cluster.write();
    }

    cluster.crash(victim);
    cluster.replace_files(victim, backup);
    cluster.start(victim);
    cluster.run(FIVE_SECONDS);
    cluster.converge();

    cluster.assert_no_violations();
    assert_ne!(
        cluster.node(victim).dump()["incarnation"],
        0,
        "the old disk was not demoted"
    );
}

/// Guards against `--format` on a replaced disk, which would present an empty log as that of a new
/// cluster.
#[rstest]
fn demotes_reformatted_disk() {
    let mut cluster = compacting_cluster(17);
    for _ in 0..10 {
        cluster.write();
    }
    let victim = follower(&mut cluster);
    cluster.run(FIVE_SECONDS);
    cluster.crash(victim);
    let hard = agree::HardState::new(format!("control-{victim}"), 0);
    cluster.replace_files(victim, Files::from([(File::State, hard.encode())]));

    cluster.start(victim);
    cluster.run(FIVE_SECONDS);
    cluster.converge();

    cluster.assert_no_violations();
    assert_ne!(cluster.node(victim).dump()["incarnation"], 0);
}

/// Guards against a former disk that counts as a voter when it returns after its replacement was
/// readmitted.
#[rstest]
fn demotes_replaced_disk() {
    let mut cluster = compacting_cluster(7);
    cluster.write();
    let victim = follower(&mut cluster);
    cluster.crash(victim);
    let former = cluster.files(victim);
    cluster.replace_files(victim, Files::new());
    cluster.start(victim);
    cluster.write();
    cluster.converge();
    let second = cluster.node(victim).dump()["incarnation"].clone();

    cluster.crash(victim);
    cluster.replace_files(victim, former);
    cluster.start(victim);
    cluster.run(FIVE_SECONDS);
    cluster.converge();

    cluster.assert_no_violations();
    let third = cluster.node(victim).dump()["incarnation"].clone();
    assert!(third != second && third != 0, "{third}");
}

/// Guards against a leader on a side of a partition that lacks a majority, and against a split
/// vote that is never resolved.
#[rstest]
fn resolves_split_votes(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::new(seed, 5, Vec::new());
    cluster.write();
    let leader = cluster.leader();
    cluster.crash(leader);
    let rest: Vec<_> = (0..5).filter(|host| *host != leader).collect();
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        cluster.disconnect(rest[a], rest[b]);
    }

    cluster.run(2 * FIVE_SECONDS);
    let split = cluster.find_leader();
    cluster.heal();
    cluster.write();
    cluster.start(leader);
    cluster.converge();

    assert_eq!(split, None);
    cluster.assert_no_violations();
}

/// Guards against a host that keeps uncommitted entries, or starts a new term, after a long
/// partition.
#[rstest]
fn catches_up_after_long_partition(#[values(true, false)] victim_is_leader: bool) {
    let mut cluster = compacting_cluster(8);
    cluster.write();
    let leader = cluster.leader();
    let isolated = if victim_is_leader {
        leader
    } else {
        (leader + 1) % 3
    };
    cluster.isolate(isolated);
    let pending = victim_is_leader.then(|| cluster.submit(isolated, false));
    cluster.run(FIVE_SECONDS);
    for _ in 0..200 {
        cluster.write();
    }
    let term = cluster.node(cluster.find_leader().unwrap()).term();

    cluster.heal();
    cluster.converge();

    cluster.assert_no_violations();
    let final_leader = cluster.leader();
    assert_eq!(
        cluster.node(final_leader).term(),
        term,
        "the returned host started an election"
    );
    if let Some(payload) = pending {
        assert!(
            !cluster
                .commands(isolated)
                .iter()
                .any(|(_, command)| *command == payload)
        );
    }
}

/// Guards against a restart that restores an outdated state, with and without snapshots.
#[rstest]
fn keeps_hundreds_of_changes(#[values(true, false)] snapshots: bool) {
    let mut cluster = if snapshots {
        compacting_cluster(9)
    } else {
        Cluster::new(9, 3, Vec::new())
    };
    for round in 0..400 {
        cluster.write();
        if round % 100 == 50 {
            for host in 0..3 {
                cluster.crash(host);
            }
            for host in 0..3 {
                cluster.start(host);
            }
        }
    }
    cluster.run(FIVE_SECONDS);

    for host in 0..3 {
        cluster.crash(host);
    }
    cluster.start(0);
    let restored = cluster.commands(0).len();
    cluster.start(1);
    cluster.start(2);
    cluster.write();
    cluster.converge();

    cluster.assert_no_violations();
    assert_eq!(
        restored, 400,
        "a host without contact must restore what it knew to be committed"
    );
    assert_eq!(cluster.commands(2).len(), 401);
}

/// Guards against an interrupted snapshot transfer that leaves a partial snapshot or never ends.
#[rstest]
#[case::receiver_before_write(Some(KillPoint::Write))]
#[case::receiver_before_sync(Some(KillPoint::Sync))]
#[case::receiver_before_reply(Some(KillPoint::Reply))]
#[case::sender(None)]
fn survives_interrupted_snapshot(#[case] point: Option<KillPoint>) {
    let mut cluster = compacting_cluster(10);
    let victim = follower(&mut cluster);
    cluster.crash(victim);
    for _ in 0..100 {
        cluster.write();
    }
    cluster.start(victim);
    if let Some(point) = point {
        cluster.kill_at(
            victim,
            Kill {
                file: File::Snapshot,
                point,
                count: 1,
            },
        );
        assert!(
            cluster.run_until(2 * FIVE_SECONDS, |cluster| !cluster.alive(victim)),
            "the host was not killed"
        );
    } else {
        let before = cluster.simulation.chunks.get();
        assert!(
            cluster.run_until(2 * FIVE_SECONDS, |cluster| cluster.simulation.chunks.get()
                > before + 3)
        );
    }
    let sender = cluster.leader();
    cluster.crash(sender);
    cluster.run(Duration::from_millis(100));

    cluster.start(victim);
    cluster.start(sender);
    cluster.write();
    cluster.converge();

    cluster.assert_no_violations();
}

/// Guards against a snapshot that is never sent, or that is sent when log entries suffice.
#[rstest]
fn sends_snapshot_only_when_needed() {
    let mut cluster = compacting_cluster(11);
    let victim = follower(&mut cluster);
    cluster.write();
    cluster.converge();
    let before = cluster.simulation.chunks.get();
    cluster.start(victim);
    cluster.write();
    cluster.converge();
    let chunks_for_short_gap = cluster.simulation.chunks.get() - before;

    cluster.crash(victim);
    for _ in 0..100 {
        cluster.write();
    }
    cluster.start(victim);
    cluster.converge();

    assert_eq!(chunks_for_short_gap, 0);
    assert!(cluster.simulation.chunks.get() > before);
    cluster.assert_no_violations();
}

/// Guards against a torn write that prevents a host from starting, or that loses acknowledged
/// entries.
#[rstest]
fn starts_after_torn_write(#[values(1, 5, 13, 20)] missing: usize) {
    let mut cluster = Cluster::new(12, 3, Vec::new());
    for _ in 0..5 {
        cluster.write();
    }
    let victim = follower(&mut cluster);
    cluster.run(FIVE_SECONDS);
    cluster.crash(victim);
    let mut files = cluster.files(victim);
    let log = files.get_mut(&File::Log).unwrap();
    let frame = agree::Frame {
        commit: 1,
        entries: Vec::new(),
    }
    .encode();
    log.extend(&frame[..frame.len() - missing]);
    cluster.replace_files(victim, files);

    cluster.start(victim);
    cluster.write();
    cluster.converge();

    cluster.assert_no_violations();
}

/// Guards against a host that starts on a corrupt disk, and against an error that does not tell the
/// operator what to do.
#[rstest]
fn refuses_corruption(
    #[values(File::State, File::Snapshot, File::Log)] file: File,
    #[values(0, 5, 9, 50, 99)] percent: usize,
) {
    let mut cluster = compacting_cluster(13);
    for _ in 0..40 {
        cluster.write();
    }
    cluster.run(FIVE_SECONDS);
    let victim = follower(&mut cluster);
    cluster.crash(victim);
    let mut files = cluster.files(victim);
    let bytes = files.get_mut(&file).unwrap();
    let offset = bytes.len() * percent / 100;
    bytes[offset] ^= 0x10;
    cluster.replace_files(victim, files);

    let outcome = cluster.try_start(victim);

    let Err(StartError::Corrupt { file: found, .. }) = &outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(found, file.name());
    let message = outcome.unwrap_err().to_string();
    assert!(message.contains("replace the host"), "{message}");
}

/// Guards against a host that starts although one of its files is missing.
#[rstest]
#[case::state_missing(File::State)]
#[case::snapshot_missing(File::Snapshot)]
fn refuses_missing_file(#[case] file: File) {
    let mut cluster = compacting_cluster(14);
    for _ in 0..40 {
        cluster.write();
    }
    let victim = follower(&mut cluster);
    cluster.crash(victim);
    let mut files = cluster.files(victim);
    files.remove(&file);
    cluster.replace_files(victim, files);

    let outcome = cluster.try_start(victim);

    assert!(
        matches!(outcome, Err(StartError::Corrupt { .. })),
        "{outcome:?}"
    );
}

/// Guards against a proposal that does not return or reports a wrong outcome when the leader is cut
/// off.
#[rstest]
fn reports_unknown_outcome_in_time() {
    let mut cluster = Cluster::new(15, 3, Vec::new());
    cluster.write();
    let leader = cluster.leader();
    let node = cluster.node(leader);
    cluster.isolate(leader);

    let outcome = cluster.block_on(FIVE_SECONDS, async move {
        node.propose(b"partitioned".to_vec()).await
    });

    assert_eq!(outcome, Some(Err(agree::ProposeError::Unknown)));
    let node = cluster.node(leader);
    let after = cluster.block_on(FIVE_SECONDS, async move {
        node.propose(b"after stepping down".to_vec()).await
    });
    assert_eq!(after, Some(Err(agree::ProposeError::NotLeader(None))));
    assert!(!cluster.node(leader).is_leader(cluster.simulation.now()));
    assert!(
        cluster
            .node(leader)
            .time_since_contact(cluster.simulation.now())
            .is_none_or(|since| since > FIVE_SECONDS / 5)
    );
}

/// Guards against a forwarded proposal that is lost between a follower and the leader.
#[rstest]
fn forwards_to_leader() {
    let mut cluster = Cluster::new(16, 3, Vec::new());
    cluster.write();
    cluster.converge();
    let other = follower(&mut cluster);
    let node = cluster.node(other);

    let outcome = cluster.block_on(FIVE_SECONDS, async move {
        node.propose_or_forward(b"forwarded".to_vec()).await
    });

    let (index, answer) = outcome.unwrap().unwrap();
    assert_eq!(answer, b"forwarded");
    cluster.run(FIVE_SECONDS);
    assert!(cluster.commands(other).contains(&(index, answer)));
}

/// Guards against one host that is counted several times because the addresses of other hosts lead
/// to it.
#[rstest]
fn counts_each_host_once() {
    let mut cluster = Cluster::new(19, 5, Vec::new());
    for host in 2..5 {
        cluster.crash(host);
        cluster.simulation.misrouted.borrow_mut().insert(host, 1);
    }

    cluster.run(4 * FIVE_SECONDS);

    assert_eq!(cluster.find_leader(), None);
}

/// Guards against messages that no control host sends. They must not fill the state file, advance
/// the term to its maximum, or stop the host.
#[rstest]
#[case::unknown_host("intruder", 9)]
#[case::own_name("control-0", 9)]
#[case::maximum_term("control-1", u64::MAX)]
fn ignores_impossible_messages(#[case] host: &str, #[case] term: u64) {
    let mut cluster = Cluster::new(18, 3, Vec::new());
    cluster.write();
    cluster.converge();
    let node = cluster.node(0);
    let before = node.dump();
    let seen = before["seen"].as_array().unwrap();
    let known = seen.iter().find(|seen| seen["host"] == host);
    let from = Identity {
        host: host.to_owned(),
        incarnation: 0,
        boot: 1,
        nonce: known.map_or(5, |seen| seen["nonce"].as_u64().unwrap()),
    };
    let vote = VoteRequest {
        from: from.clone(),
        term,
        last_index: u64::MAX,
        last_term: u64::MAX,
        pre_vote: false,
    };
    let append = AppendRequest {
        from,
        term,
        prev_index: u64::MAX,
        prev_term: u64::MAX,
        commit: u64::MAX,
        entries: Vec::new(),
    };

    let replies = cluster.block_on(FIVE_SECONDS, async move {
        (node.on_vote(vote).await, node.on_append(append).await)
    });

    let (vote, append) = replies.unwrap();
    let after = cluster.node(0).dump();
    assert!(!vote.granted && !append.success && !vote.stale);
    assert_eq!(
        (&after["term"], &after["seen"]),
        (&before["term"], &before["seen"])
    );
    cluster.write();
    cluster.assert_no_violations();
}
