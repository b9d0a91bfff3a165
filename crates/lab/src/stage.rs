//! A scenario that runs: its faults are done to real processes, and its checks are read off them.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::task::JoinHandle;

use crate::{
    admin::{answers, get_json, post_json, set_point},
    checker::Verdict,
    deployment::{Deployment, DeploymentOptions},
    error::LabError,
    experiment,
    load::{self, Load, RunningLoad},
    relay::{Fault, Relay},
    scenario::{Scenario, Step, Target},
    site::{Host, Role, Site},
};

/// How long a group may take to have a primary again before the checks.
const WHOLE: Duration = Duration::from_secs(30);
/// How long an accepted configuration may take to be in effect everywhere.
const EFFECT: Duration = Duration::from_secs(8);
/// How long a process may take to reach a fault point.
const STALL: Duration = Duration::from_secs(10);
/// Time without an answer after which a process counts as stalled at a fault point.
const SILENT: Duration = Duration::from_millis(400);
/// How long a planned stop may take.
const STOP: Duration = Duration::from_secs(35);

/// State of a scenario that runs.
#[derive(Debug)]
struct Stage {
    deployment: Deployment,
    relay: Relay,
    frozen: Vec<Host>,
    ended: Vec<Host>,
    faults: Vec<String>,
    former: Vec<Option<Host>>,
    armed: Option<Host>,
    leaving: Option<Host>,
    changes: Vec<JoinHandle<Result<u64, LabError>>>,
    load: Load,
    running: Option<RunningLoad>,
}

/// Plays a scenario and returns what did not hold.
///
/// # Errors
/// The deployment can't be started, or a step can't be taken.
pub async fn play(
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
    let former = services.map(|service| deployment.primary(service));
    let former = former.collect::<Result<_, _>>()?;
    let mut stage = Stage {
        deployment,
        relay,
        frozen: Vec::new(),
        ended: Vec::new(),
        faults: Vec::new(),
        former,
        armed: None,
        leaving: None,
        changes: Vec::new(),
        load,
        running: None,
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = running.now();
    stage.running = Some(running);
    for step in &scenario.steps {
        stage.take(step).await?;
    }
    stage.take(&Step::Heal).await?;
    stage.take(&Step::Resume).await?;
    stage.take(&Step::Restart).await?;
    stage.take(&Step::Accepted).await?;
    stage.deployment.wait_primaries(WHOLE)?;
    tokio::time::sleep(Duration::from_millis(scenario.settle_ms)).await;
    stage.judge(scenario, from).await
}

impl Stage {
    async fn take(&mut self, step: &Step) -> Result<(), LabError> {
        match *step {
            Step::Arm {
                target,
                ref point,
                ref actions,
            } => {
                let host = self.find(target)?;
                set_point(host.http(), point, actions)?;
                self.armed = Some(host);
            }
            Step::Stall => self.stall().await,
            Step::Race => self.race()?,
            Step::Resend => self.resend()?,
            Step::Submit => self.submit(),
            Step::Accepted => self.accepted().await?,
            Step::Terminate { target } => {
                let host = self.find(target)?;
                self.deployment.process(host).terminate();
                self.leaving = Some(host);
            }
            Step::Ended => {
                if let Some(host) = self.leaving.take() {
                    self.ended(host);
                }
            }
            Step::Rejoin => {
                for host in std::mem::take(&mut self.ended) {
                    self.deployment.process(host).restart()?;
                    self.deployment.wait_ready(host)?;
                }
            }
            Step::WriteIn { target } => self.single(target, None).await?,
            Step::ReadIn { target, begin } => self.single(target, Some(begin)).await?,
            Step::HealAfter { ms } => self.heal_after(ms),
            Step::Wait { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
            Step::Kill { target } => {
                let host = self.find(target)?;
                self.deployment.process(host).kill();
                self.ended.push(host);
            }
            Step::Freeze { target } => {
                let host = self.find(target)?;
                self.deployment.process(host).freeze();
                self.frozen.push(host);
            }
            Step::Resume => {
                for host in std::mem::take(&mut self.frozen) {
                    self.deployment.process(host).resume();
                }
            }
            Step::LoseDisk { target } => {
                let host = self.find(target)?;
                self.deployment.lose_disk(host)?;
                self.ended.push(host);
            }
            Step::Stop { target } => self.stop(target)?,
            Step::Restart => {
                for host in std::mem::take(&mut self.ended) {
                    self.deployment.process(host).restart()?;
                }
            }
            Step::Cut { zone, reset } => {
                let zone = self.zone(zone);
                self.relay
                    .isolate(zone, if reset { Fault::Reset } else { Fault::Cut });
            }
            Step::Isolate { target, reset } => {
                let zone = self.find(target)?.zone;
                self.relay
                    .isolate(zone, if reset { Fault::Reset } else { Fault::Cut });
            }
            Step::Agree => self.agree().await,
            Step::CutPrimary { service } => {
                let zone = self.find(Target::Primary(service))?.zone;
                self.relay.isolate(zone, Fault::Cut);
            }
            Step::Heal => self.relay.heal(),
            Step::Silence => self.relay.silence(),
            Step::Lag { target, ms } => {
                let host = self.find(target)?;
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

    fn find(&self, target: Target) -> Result<Host, LabError> {
        let primary = |service| {
            self.deployment
                .primary(service)?
                .ok_or_else(|| LabError::NotReady(format!("primary of service {service}")))
        };
        let former = |service: u8| {
            let host = self.former.get(usize::from(service)).copied().flatten();
            host.ok_or_else(|| LabError::NotReady(format!("first primary of service {service}")))
        };
        let replica = |service, skipped| {
            // While a change runs there is no primary, so the one of the start counts.
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
            Target::Leader => self.control(true)?,
            Target::Follower => self.control(false)?,
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

    /// One write, or one read that may be left running, of the caller that the load does not use.
    async fn single(&self, target: Target, reads: Option<bool>) -> Result<(), LabError> {
        let zone = self.find(target)?.zone;
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

    /// Number of a zone that the scenario counts from 1.
    const fn zone(&self, number: u8) -> u8 {
        self.deployment.site.first_zone + number - 1
    }

    /// The leader of the control hosts, or the first one that is not the leader.
    fn control(&self, leads: bool) -> Result<Host, LabError> {
        let status = self.deployment.admin().status()?;
        let leader = status["leader"].as_str().unwrap_or_default();
        let site = &self.deployment.site;
        let mut hosts = site.controls().into_iter();
        hosts
            .find(|&host| (site.process_name(host) == leader) == leads)
            .ok_or_else(|| LabError::NotReady("leader of the control hosts".into()))
    }

    async fn stall(&mut self) {
        let Some(host) = self.armed else { return };
        let end = Instant::now() + STALL;
        // Two probes, so that one slow answer of a busy machine does not count.
        let mut silent = 0;
        while silent < 2 {
            silent = if tokio::task::block_in_place(|| answers(host.http(), SILENT)) {
                0
            } else {
                silent + 1
            };
            if Instant::now() > end {
                let name = self.deployment.site.process_name(host);
                self.faults
                    .push(format!("{name} did not reach its fault point"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that an accepted configuration is in effect at every control host within 8 s.
    async fn agree(&mut self) {
        let controls = self.deployment.site.controls();
        let end = Instant::now() + EFFECT;
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
                self.faults
                    .push(format!("control hosts report configurations {versions:?}"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn documents(&self) -> [String; 2] {
        let document = self.deployment.site.document();
        ["first", "second"].map(|name| format!("# {name}\n{document}"))
    }

    fn race(&mut self) -> Result<(), LabError> {
        let [first, second] = self.documents();
        let won = self.deployment.admin().race([&first, &second], WHOLE)?;
        let mut sorted = won;
        sorted.sort_unstable();
        if sorted != [Some(200), Some(409)] {
            self.faults.push(format!(
                "two operators on one version were answered {won:?}"
            ));
        }
        Ok(())
    }

    fn resend(&mut self) -> Result<(), LabError> {
        let [document, _] = self.documents();
        let admin = self.deployment.admin();
        let (base, first, second) = admin.resend(&document, WHOLE)?;
        let version = admin.version()?;
        if first.is_some_and(|first| first != second) || version != second || second <= base {
            self.faults.push(format!(
                "a change on version {base} was answered {first:?}, resent {second}, and version \
                 {version} is in force"
            ));
        }
        Ok(())
    }

    fn submit(&mut self) {
        let admin = self.deployment.admin();
        let [document, _] = self.documents();
        let change = tokio::task::spawn_blocking(move || admin.submit(&document, WHOLE));
        self.changes.push(change);
    }

    async fn accepted(&mut self) -> Result<(), LabError> {
        for change in std::mem::take(&mut self.changes) {
            let answer = change
                .await
                .map_err(|cause| LabError::Admin(cause.to_string()))?;
            match answer {
                Ok(version) => {
                    let present = self.deployment.admin().version()?;
                    if present < version {
                        self.faults.push(format!(
                            "configuration {version} was accepted and {present} is in force"
                        ));
                    }
                }
                Err(cause) => self.faults.push(format!("change not accepted: {cause}")),
            }
        }
        Ok(())
    }

    fn stop(&mut self, target: Target) -> Result<(), LabError> {
        let host = self.find(target)?;
        self.deployment.process(host).terminate();
        self.ended(host);
        Ok(())
    }

    /// Waits for the end of a process that was asked to stop.
    fn ended(&mut self, host: Host) {
        let process = self.deployment.process(host);
        let status = tokio::task::block_in_place(|| process.wait(STOP));
        if status != Some(0) {
            let name = process.name().to_owned();
            self.faults
                .push(format!("planned stop of {name} ended with {status:?}"));
        }
        self.ended.push(host);
    }

    fn configure(&self, times: u32) -> Result<(), LabError> {
        let admin = self.deployment.admin();
        for i in 0..times {
            let document = format!("# change {i}\n{}", self.deployment.site.document());
            admin.submit(&document, WHOLE)?;
        }
        Ok(())
    }

    async fn judge(mut self, scenario: &Scenario, from: u64) -> Result<Vec<String>, LabError> {
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
            let gap = experiment::gap(&events, service, from, u64::MAX);
            println!("  service {service}: longest pause of writes {gap:?}");
            let limit = Duration::from_millis(scenario.expect.gap_ms);
            if gap.is_none_or(|gap| gap > limit) {
                self.faults
                    .push(format!("gap of service {service} is {gap:?}"));
            }
        }
        self.faults.extend(violations(&verdict));
        if verdict.acknowledged < scenario.expect.acknowledged {
            self.faults
                .push(format!("only {} writes acknowledged", verdict.acknowledged));
        }
        for name in tokio::task::block_in_place(|| self.deployment.stop()) {
            self.faults.push(format!("planned stop of {name} failed"));
        }
        Ok(self.faults)
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
