//! Injects random faults that a seed determines. `AGREE_SEED` repeats the run of one seed, and
//! `AGREE_RUNS` sets the number of runs.

mod cluster;

use std::time::Duration;

use agree::environment::File;
use cluster::{Cluster, Files, Kill, KillPoint};
use rstest::rstest;

/// Time after which a healthy cluster counts as stable: every host has caught up.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Cluster with the state that is needed to inject only faults that the failure model allows.
struct RandomFaults {
    cluster: Cluster,
    /// Host whose disk was lost or replaced by an old copy, and that is not readmitted yet. At most
    /// one host may be in this state.
    repaired: Option<usize>,
    /// Copy of the disk of each host from before its last start.
    disk_copies: Vec<Option<Files>>,
    /// How long all hosts have been up and connected.
    healthy_for: Duration,
}

impl RandomFaults {
    fn new(seed: u64, size: usize) -> Self {
        let mut cluster = Cluster::new(seed, size, Vec::new());
        // Small enough that snapshots, and snapshot transfers in several chunks, are frequent.
        cluster.tuning.snapshot_threshold_bytes = 400;
        cluster.tuning.trailing_entries = 3;
        cluster.tuning.snapshot_chunk_bytes = 75;
        for host in 0..size {
            cluster.start(host);
        }
        cluster
            .simulation
            .loss
            .set(cluster.simulation.random_below(4));
        cluster
            .simulation
            .duplicates
            .set(cluster.simulation.random_below(8));
        Self {
            cluster,
            repaired: None,
            disk_copies: vec![None; size],
            healthy_for: Duration::ZERO,
        }
    }

    fn restart(&mut self, host: usize) {
        self.cluster.crash(host);
        self.disk_copies[host] = Some(self.cluster.files(host));
        self.cluster.start(host);
    }

    /// Returns whether all hosts have been up and connected for `STABLE_AFTER`.
    fn is_stable(&self) -> bool {
        self.healthy_for >= STABLE_AFTER
            && (0..self.cluster.size).all(|host| self.cluster.alive(host))
    }

    /// Injects one random event and runs the cluster for a random time.
    fn inject_random_event(&mut self) {
        let host = usize::try_from(
            self.cluster
                .simulation
                .random_below(self.cluster.size as u64),
        )
        .unwrap();
        let up = self.cluster.alive(host);
        let was_repaired = self.repaired.is_some();
        match self.cluster.simulation.random_below(100) {
            0..60 => {
                for _ in 0..self.cluster.simulation.random_below(4) {
                    if up {
                        let forward = self.cluster.simulation.random_below(2) == 0;
                        self.cluster.submit(host, forward);
                    }
                }
            }
            60..68 if up => self.cluster.submit_read(host),
            68..70 if up => self.cluster.submit_transfer(host),
            70..74 => {
                self.cluster.crash(host);
                self.disk_copies[host] = Some(self.cluster.files(host));
            }
            74..80 if !up => self.restart(host),
            80..84 => self.cluster.isolate(host),
            84..86 => {
                let other = usize::try_from(
                    self.cluster
                        .simulation
                        .random_below(self.cluster.size as u64),
                )
                .unwrap();
                self.cluster.disconnect(host, other);
            }
            86..91 => self.cluster.heal(),
            91..95 if up => {
                let files = [File::State, File::Snapshot, File::Log];
                let points = [KillPoint::Write, KillPoint::Sync, KillPoint::Reply];
                let kill = Kill {
                    file: files[usize::try_from(self.cluster.simulation.random_below(3)).unwrap()],
                    point: points
                        [usize::try_from(self.cluster.simulation.random_below(3)).unwrap()],
                    count: 1 + u32::try_from(self.cluster.simulation.random_below(4)).unwrap(),
                };
                self.cluster.kill_at(host, kill);
            }
            95..97 if self.repaired.is_none() => {
                self.cluster.crash(host);
                self.cluster.replace_files(host, Files::new());
                self.disk_copies[host] = None;
                self.repaired = Some(host);
                self.cluster.start(host);
            }
            97..99 if self.repaired.is_none() && self.is_stable() => {
                if let Some(copy) = self.disk_copies[host].take() {
                    self.cluster.crash(host);
                    self.cluster.replace_files(host, copy);
                    self.cluster.start(host);
                    self.repaired = Some(host);
                }
            }
            _ => {
                let delay = Duration::from_millis(self.cluster.simulation.random_below(40));
                self.cluster.slow_disk(host, delay);
            }
        }
        let healthy = self.cluster.is_fully_connected()
            && (0..self.cluster.size).all(|host| self.cluster.alive(host));
        let pause = Duration::from_millis(self.cluster.simulation.random_below(400));
        self.cluster.run(pause);
        // A host whose disk was just replaced needs some time to detect that it is a learner.
        let newly_repaired = self.repaired.is_some() && !was_repaired;
        self.healthy_for = if healthy && !newly_repaired {
            self.healthy_for + pause
        } else {
            Duration::ZERO
        };
        if let Some(host) = self.repaired
            && self.cluster.alive(host)
            && !self.cluster.node(host).is_learner()
            && self.healthy_for >= STABLE_AFTER
        {
            self.repaired = None;
        }
    }

    /// Ends all faults, restarts all hosts and runs until they converge.
    fn finish(&mut self) {
        self.cluster.heal();
        self.cluster.simulation.loss.set(0);
        for host in 0..self.cluster.size {
            self.cluster.slow_disk(host, Duration::ZERO);
            self.cluster.cancel_kill(host);
            if !self.cluster.alive(host) {
                self.cluster.start(host);
            }
        }
        self.cluster.run(STABLE_AFTER);
        for host in 0..self.cluster.size {
            if !self.cluster.alive(host) {
                self.cluster.start(host);
            }
        }
        self.cluster.write();
        self.cluster.converge();
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against lost commits, diverging hosts, two leaders in one term, stale reads, and
/// proposals that are applied although they were reported as not applied, under any sequence of
/// faults.
#[rstest]
fn survives_random_faults(#[values(3, 5)] size: usize) {
    let (first, runs) = match env_number("AGREE_SEED") {
        Some(seed) => (seed, 1),
        None => (1, env_number("AGREE_RUNS").unwrap_or(40)),
    };
    for seed in first..first + runs {
        let mut faults = RandomFaults::new(seed, size);

        for _ in 0..300 {
            faults.inject_random_event();
        }
        faults.finish();

        let violations = faults.cluster.check();
        assert!(
            violations.is_empty(),
            "AGREE_SEED={seed} with {size} hosts: {violations:#?}"
        );
    }
}

/// Guards against a simulation that is not deterministic, so that a printed seed could not
/// reproduce a failure.
#[rstest]
fn repeats_run_of_seed() {
    let run = || {
        let mut faults = RandomFaults::new(7, 3);
        for _ in 0..100 {
            faults.inject_random_event();
        }
        faults.cluster.simulation.history.borrow().clone()
    };

    let (first, second) = (run(), run());

    assert!(!first.is_empty());
    assert_eq!(first, second);
}
