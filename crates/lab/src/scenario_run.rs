//! Runs a scenario: injects its faults into real processes and checks the results.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::task::JoinHandle;

use crate::{
    admin::{Admin, answers, get_json, post_json, set_point},
    checker::Verdict,
    deployment::{Deployment, DeploymentOptions},
    error::LabError,
    experiment,
    load::{self, Load, RunningLoad},
    relay::{Fault, Relay},
    scenario::{Scenario, Step, Target},
    site::{Host, Role, Site},
};

/// Limit for a submitted change, and for every group to have a primary before the final checks.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit for an accepted configuration to be in effect at every control host.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(8);
/// Limit for a process to reach its fault point.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for the answer to one probe of a process that may be stalled at a fault point.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(35);

/// State of a running scenario.
#[derive(Debug)]
struct ScenarioRun {
    deployment: Deployment,
    relay: Relay,
    frozen: Vec<Host>,
    /// Processes that were killed or stopped and not yet restarted.
    stopped: Vec<Host>,
    failures: Vec<String>,
    /// Primary of each service at the start.
    initial_primaries: Vec<Option<Host>>,
    /// Process whose fault point was set last.
    armed: Option<Host>,
    /// Process that was asked to stop and has not been waited for.
    stopping: Option<Host>,
    pending_changes: Vec<JoinHandle<Result<u64, LabError>>>,
    load: Load,
    running: Option<RunningLoad>,
}

/// Runs a scenario and returns a description of every failed check.
///
/// # Errors
/// The deployment can't be started, or a step can't be carried out.
pub async fn run_scenario(
    site: Site,
    scenario: &Scenario,
    choice: DeploymentOptions,
) -> Result<Vec<String>, LabError> {
    let relay = Relay::start(&site).await?;
    let deployment = tokio::task::block_in_place(|| Deployment::start(site, choice))?;
    let load = Load {
        callers: scenario.callers,
        pause: Duration::from_millis(100),
        probers: scenario.probers,
        probe_pause: Duration::from_millis(10),
        seed: scenario.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    let running = load.start(&deployment.site);
    let services = 0..deployment.site.service_count();
    let initial_primaries = services.map(|service| deployment.primary(service));
    let initial_primaries = initial_primaries.collect::<Result<_, _>>()?;
    let mut run = ScenarioRun {
        deployment,
        relay,
        frozen: Vec::new(),
        stopped: Vec::new(),
        failures: Vec::new(),
        initial_primaries,
        armed: None,
        stopping: None,
        pending_changes: Vec::new(),
        load,
        running: None,
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (start, from) = (running.start, running.now());
    run.running = Some(running);
    for step in &scenario.steps {
        println!("  {:?}: {step:?}", start.elapsed());
        run.run_step(step).await?;
    }
    run.run_step(&Step::Heal).await?;
    run.run_step(&Step::Resume).await?;
    run.run_step(&Step::Restart).await?;
    run.run_step(&Step::Accepted).await?;
    run.deployment.wait_primaries(RECOVERY_TIMEOUT)?;
    tokio::time::sleep(Duration::from_millis(scenario.settle_ms)).await;
    run.check(scenario, from).await
}

impl ScenarioRun {
    async fn run_step(&mut self, step: &Step) -> Result<(), LabError> {
        match *step {
            Step::Arm {
                target,
                ref point,
                ref actions,
            } => {
                let host = self.resolve_target(target)?;
                set_point(host.http(), point, actions)?;
                self.armed = Some(host);
            }
            Step::Stall => self.wait_for_stall().await,
            Step::Race => self.submit_concurrently()?,
            Step::Resend => self.resend_change()?,
            Step::Submit => self.submit_in_background(),
            Step::Accepted => self.wait_accepted().await?,
            Step::Terminate { target } => {
                let host = self.resolve_target(target)?;
                self.deployment.process(host).terminate();
                self.stopping = Some(host);
            }
            Step::Ended => {
                if let Some(host) = self.stopping.take() {
                    self.wait_stopped(host);
                }
            }
            Step::Rejoin => {
                for host in std::mem::take(&mut self.stopped) {
                    self.deployment.process(host).restart()?;
                    self.deployment.wait_ready(host)?;
                }
            }
            Step::WriteIn { target } => self.run_single_request(target, None).await?,
            Step::ReadIn { target, begin } => self.run_single_request(target, Some(begin)).await?,
            Step::HealAfter { ms } => self.heal_after(ms),
            Step::Wait { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
            Step::Kill { target } => {
                let host = self.resolve_target(target)?;
                self.deployment.process(host).kill();
                self.stopped.push(host);
            }
            Step::Freeze { target } => {
                let host = self.resolve_target(target)?;
                self.deployment.process(host).freeze();
                self.frozen.push(host);
            }
            Step::Resume => {
                for host in std::mem::take(&mut self.frozen) {
                    self.deployment.process(host).resume();
                }
            }
            Step::LoseDisk { target } => {
                let host = self.resolve_target(target)?;
                self.deployment.lose_disk(host)?;
                self.stopped.push(host);
            }
            Step::Stop { target } => self.stop(target)?,
            Step::Restart => {
                for host in std::mem::take(&mut self.stopped) {
                    self.deployment.process(host).restart()?;
                }
            }
            Step::Cut { zone, reset } => {
                let zone = self.zone(zone);
                self.relay
                    .isolate(zone, if reset { Fault::Reset } else { Fault::Cut });
            }
            Step::Isolate { target, reset } => {
                let zone = self.resolve_target(target)?.zone;
                self.relay
                    .isolate(zone, if reset { Fault::Reset } else { Fault::Cut });
            }
            Step::Agree => self.wait_same_config().await,
            Step::Replaced { service } => self.wait_replaced(service).await,
            Step::CutPrimary { service } => {
                let zone = self.resolve_target(Target::Primary(service))?.zone;
                self.relay.isolate(zone, Fault::Cut);
            }
            Step::Heal => self.relay.heal(),
            Step::Silence => self.relay.silence(),
            Step::Lag { target, ms } => {
                let host = self.resolve_target(target)?;
                post_json(host.http(), "/v1/fault", &json!({"lag_ms": ms}))?;
            }
            Step::ChangePrimary { service } => {
                let name = &self.deployment.site.services[usize::from(service)];
                self.deployment.admin().change_primary(name)?;
            }
            Step::Configure { times } => self.configure(times)?,
        }
        Ok(())
    }

    fn resolve_target(&self, target: Target) -> Result<Host, LabError> {
        let primary = |service| {
            self.deployment
                .primary(service)?
                .ok_or_else(|| LabError::NotReady(format!("primary of service {service}")))
        };
        let former = |service: u8| {
            let host = self
                .initial_primaries
                .get(usize::from(service))
                .copied()
                .flatten();
            host.ok_or_else(|| LabError::NotReady(format!("first primary of service {service}")))
        };
        let replica = |service, skipped| {
            // No primary exists during a change of primary, so the initial one is used.
            let primary = match self.deployment.primary(service)? {
                Some(host) => host,
                None => former(service)?,
            };
            let mut members = self.deployment.site.members(service);
            let other = members
                .by_ref()
                .filter(|&host| host != primary)
                .nth(skipped);
            Ok::<_, LabError>(other.unwrap_or(primary))
        };
        Ok(match target {
            Target::Primary(service) => primary(service)?,
            Target::Replica(service) => replica(service, 0)?,
            Target::Second(service) => replica(service, 1)?,
            Target::Former(service) => former(service)?,
            Target::EntryOf(service) => Host {
                zone: former(service)?.zone,
                role: Role::Entry(1),
            },
            Target::Leader => self.control_host(true)?,
            Target::Follower => self.control_host(false)?,
            Target::Armed => self
                .armed
                .ok_or_else(|| LabError::NotReady("a process with a fault point".into()))?,
            Target::Control(zone) => Host {
                zone: self.zone(zone),
                role: Role::Control,
            },
            Target::Entry(zone) => Host {
                zone: self.zone(zone),
                role: Role::Entry(1),
            },
        })
    }

    /// Runs one write or read of a caller that the load does not use. `reads` is `None` for a
    /// write; `Some(true)` leaves the read running.
    async fn run_single_request(
        &self,
        target: Target,
        reads: Option<bool>,
    ) -> Result<(), LabError> {
        let zone = self.resolve_target(target)?.zone;
        let Some(running) = &self.running else {
            return Ok(());
        };
        let site = &self.deployment.site;
        let Some(begin) = reads else {
            running.write_in(site, &self.load, 0, zone).await;
            return Ok(());
        };
        let reading = running.read_in(site, &self.load, 0, zone);
        if !begin {
            reading
                .await
                .map_err(|cause| LabError::Admin(cause.to_string()))?;
        }
        Ok(())
    }

    fn heal_after(&self, ms: u64) {
        let relay = self.relay.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            relay.heal();
        });
    }

    /// Converts a zone number of the scenario, which counts from 1, to that of the site.
    const fn zone(&self, number: u8) -> u8 {
        self.deployment.site.first_zone + number - 1
    }

    /// Returns the leader of the control hosts, or the first follower.
    fn control_host(&self, leads: bool) -> Result<Host, LabError> {
        let status = self.deployment.admin().status()?;
        let leader = status["leader"].as_str().unwrap_or_default();
        let site = &self.deployment.site;
        let mut hosts = site.controls().into_iter();
        hosts
            .find(|&host| (site.process_name(host) == leader) == leads)
            .ok_or_else(|| LabError::NotReady("leader of the control hosts".into()))
    }

    /// Waits until the process with the fault point stops answering.
    async fn wait_for_stall(&mut self) {
        let Some(host) = self.armed else { return };
        let end = Instant::now() + STALL_TIMEOUT;
        // Requires two unanswered probes, since a busy machine may answer one too slowly.
        let mut silent = 0;
        while silent < 2 {
            silent = if tokio::task::block_in_place(|| answers(host.http(), PROBE_TIMEOUT)) {
                0
            } else {
                silent + 1
            };
            if Instant::now() > end {
                let name = self.deployment.site.process_name(host);
                self.failures
                    .push(format!("{name} did not reach its fault point"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until any control host reports a stable primary other than the initial one.
    async fn wait_replaced(&mut self, service: u8) {
        let initial = self.initial_primaries[usize::from(service)];
        let controls = self.deployment.site.controls();
        let end = Instant::now() + RECOVERY_TIMEOUT;
        loop {
            // A host that is cut off answers with outdated state, so each one is asked.
            let replaced = tokio::task::block_in_place(|| {
                controls.iter().any(|host| {
                    let admin = Admin::new(vec![host.http()]);
                    let known = self.deployment.primary_known_to(&admin, service);
                    known.is_ok_and(|primary| primary.is_some() && primary != initial)
                })
            });
            if replaced {
                return;
            }
            if Instant::now() > end {
                let name = &self.deployment.site.services[usize::from(service)];
                self.failures
                    .push(format!("the primary of {name} was not replaced"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Checks that all control hosts report the same configuration version within 8 s.
    async fn wait_same_config(&mut self) {
        let controls = self.deployment.site.controls();
        let end = Instant::now() + CONFIG_TIMEOUT;
        loop {
            let versions: Vec<_> = controls
                .iter()
                .map(|host| get_json(host.http(), "/v1/config").ok())
                .map(|config| config.and_then(|config| config["version"].as_u64()))
                .collect();
            if versions[0].is_some() && versions.iter().all(|version| *version == versions[0]) {
                return;
            }
            if Instant::now() > end {
                self.failures.push(format!(
                    "control hosts report different configuration versions: {versions:?}"
                ));
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn documents(&self) -> [String; 2] {
        let document = self.deployment.site.document();
        ["first", "second"].map(|name| format!("# {name}\n{document}"))
    }

    fn submit_concurrently(&mut self) -> Result<(), LabError> {
        let [first, second] = self.documents();
        let statuses = self
            .deployment
            .admin()
            .race([&first, &second], RECOVERY_TIMEOUT)?;
        let mut sorted = statuses;
        sorted.sort_unstable();
        if sorted != [Some(200), Some(409)] {
            self.failures.push(format!(
                "two changes against one version were answered with {statuses:?}, \
                 not with 200 and 409"
            ));
        }
        Ok(())
    }

    fn resend_change(&mut self) -> Result<(), LabError> {
        let [document, _] = self.documents();
        let admin = self.deployment.admin();
        let (base, first, second) = admin.resend(&document, RECOVERY_TIMEOUT)?;
        let version = admin.version()?;
        if first.is_some_and(|first| first != second) || version != second || second <= base {
            self.failures.push(format!(
                "a change on version {base} was answered {first:?}, resent {second}, and version \
                 {version} is in force"
            ));
        }
        Ok(())
    }

    fn submit_in_background(&mut self) {
        let admin = self.deployment.admin();
        let [document, _] = self.documents();
        let change = tokio::task::spawn_blocking(move || admin.submit(&document, RECOVERY_TIMEOUT));
        self.pending_changes.push(change);
    }

    async fn wait_accepted(&mut self) -> Result<(), LabError> {
        for change in std::mem::take(&mut self.pending_changes) {
            let answer = change
                .await
                .map_err(|cause| LabError::Admin(cause.to_string()))?;
            match answer {
                Ok(version) => {
                    let present = self.deployment.admin().version()?;
                    if present < version {
                        self.failures.push(format!(
                            "configuration {version} was accepted and {present} is in force"
                        ));
                    }
                }
                Err(cause) => self.failures.push(format!("change not accepted: {cause}")),
            }
        }
        Ok(())
    }

    fn stop(&mut self, target: Target) -> Result<(), LabError> {
        let host = self.resolve_target(target)?;
        self.deployment.process(host).terminate();
        self.wait_stopped(host);
        Ok(())
    }

    /// Waits until a process that was asked to stop exits, and checks its exit status.
    fn wait_stopped(&mut self, host: Host) {
        let process = self.deployment.process(host);
        let status = tokio::task::block_in_place(|| process.wait(STOP_TIMEOUT));
        if status != Some(0) {
            let name = process.name().to_owned();
            self.failures.push(format!(
                "{name} exited with status {status:?} after a planned stop"
            ));
        }
        self.stopped.push(host);
    }

    fn configure(&self, times: u32) -> Result<(), LabError> {
        let admin = self.deployment.admin();
        for i in 0..times {
            let document = format!("# change {i}\n{}", self.deployment.site.document());
            admin.submit(&document, RECOVERY_TIMEOUT)?;
        }
        Ok(())
    }

    /// Ends the load, checks the history and the expectations, and stops the deployment.
    async fn check(mut self, scenario: &Scenario, from: u64) -> Result<Vec<String>, LabError> {
        let events = match self.running.take() {
            Some(running) => running.finish().await,
            None => Vec::new(),
        };
        let verdict = experiment::verdict(&self.deployment, &events).await?;
        println!(
            "  {}",
            serde_json::to_string(&verdict).expect("plain values")
        );
        for service in 0..self.deployment.site.services.len() {
            let pause = experiment::longest_pause(&events, service, from, u64::MAX);
            println!("  service {service}: longest pause of writes {pause:?}");
            let gap = pause.map(|pause| pause.length);
            let limit = Duration::from_millis(scenario.expect.gap_ms);
            if gap.is_none_or(|gap| gap > limit) {
                self.failures.push(format!(
                    "failover gap of service {service} is {gap:?}, limit {limit:?}"
                ));
            }
        }
        self.failures.extend(violations(&verdict));
        if verdict.acknowledged < scenario.expect.acknowledged {
            self.failures
                .push(format!("only {} writes acknowledged", verdict.acknowledged));
        }
        for name in tokio::task::block_in_place(|| self.deployment.stop()) {
            self.failures.push(format!("planned stop of {name} failed"));
        }
        Ok(self.failures)
    }
}

fn violations(verdict: &Verdict) -> Vec<String> {
    [
        ("lost", verdict.lost),
        ("duplicated", verdict.duplicated),
        ("stale reads", verdict.stale_reads),
        ("crossed answers", verdict.crossed),
        ("mixed transactions", verdict.mixed),
        ("false refusals", verdict.false_not_run),
        ("phantom reads", verdict.phantom_reads),
    ]
    .into_iter()
    .filter(|(_, count)| *count > 0)
    .map(|(name, count)| format!("{name}: {count}"))
    .collect()
}
