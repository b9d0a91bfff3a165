//! Scenario files: scripted faults against real processes, with what must hold after them.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use base::Exit;
use serde::Deserialize;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::{
    admin::{answers, get_json, post_json, set_point},
    arguments::{arguments, relayed},
    checker::Verdict,
    deployment::{Choice, Deployment},
    error::{Context, LabError},
    experiment,
    load::{self, Load, Running},
    relay::{Fault, Relay},
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

/// One scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Failure that the scenario guards against.
    pub guards: String,
    /// Deployment: `teichwert` or `watchrolls`.
    pub site: String,
    /// Seed of the load.
    pub seed: u64,
    /// Callers per service and zone.
    #[serde(default = "callers")]
    pub callers: u32,
    /// Writers without pause per service and zone.
    #[serde(default = "probers")]
    pub probers: u32,
    /// Length of the load after the last step, in milliseconds.
    #[serde(default = "settle")]
    pub settle_ms: u64,
    /// Faults and pauses, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
    /// What must hold beside the invariants.
    #[serde(default)]
    pub expect: Expect,
}

const fn callers() -> u32 {
    4
}

const fn probers() -> u32 {
    1
}

const fn settle() -> u64 {
    2_000
}

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// Lets the load go on.
    Wait {
        /// Length in milliseconds.
        ms: u64,
    },
    /// Kills a process.
    Kill {
        /// Which one.
        target: Target,
    },
    /// Freezes a process.
    Freeze {
        /// Which one.
        target: Target,
    },
    /// Lets every frozen process go on.
    Resume,
    /// Kills a process and deletes its data.
    LoseDisk {
        /// Which one.
        target: Target,
    },
    /// Asks a process to stop and waits until it ended by itself.
    Stop {
        /// Which one.
        target: Target,
    },
    /// Starts every process again that was killed or stopped.
    Restart,
    /// Cuts a zone off from all others.
    Cut {
        /// Zone number from 1.
        zone: u8,
        /// Whether connections are reset in place of going silent.
        #[serde(default)]
        reset: bool,
    },
    /// Cuts off the zone of a primary.
    CutPrimary {
        /// Service number from 0.
        service: u8,
    },
    /// Cuts off the zone of a process.
    Isolate {
        /// Which one.
        target: Target,
        /// Whether connections are reset in place of going silent.
        #[serde(default)]
        reset: bool,
    },
    /// Waits until all control hosts report one configuration version.
    Agree,
    /// Lets all traffic pass again.
    Heal,
    /// Makes every open connection between zones silent for good.
    Silence,
    /// Sets the replication lag of a database.
    Lag {
        /// Which one.
        target: Target,
        /// Lag in milliseconds.
        ms: u64,
    },
    /// Orders a planned change of primary.
    ChangePrimary {
        /// Service number from 0.
        service: u8,
    },
    /// Submits the configuration again under a new version, so many times.
    Configure {
        /// Number of changes.
        times: u32,
    },
    /// Two operators submit different documents on the same version; exactly one must win.
    Race,
    /// A change is sent twice under one change id; it must count once.
    Resend,
    /// Submits a change in the background, so that the next steps meet it.
    Submit,
    /// Waits until every change submitted in the background is accepted.
    Accepted,
    /// Sets a fault point of a running test build.
    Arm {
        /// Which process.
        target: Target,
        /// Name of the point.
        point: String,
        /// Actions, as in the variable `FAILPOINTS`.
        actions: String,
    },
    /// Waits until the process armed last answers no more, as it does at the action `pause`.
    Stall,
    /// Asks a process to stop, without waiting for its end.
    Terminate {
        /// Which one.
        target: Target,
    },
    /// Waits until the process asked last to stop ended by itself.
    Ended,
    /// Starts every process again and waits until each is ready.
    Rejoin,
    /// A caller of its own writes once in a zone.
    WriteIn {
        /// Process whose zone takes the write.
        target: Target,
    },
    /// The same caller reads once in a zone, in a new session that has lost its token.
    ReadIn {
        /// Process whose zone takes the read.
        target: Target,
        /// Whether the next step begins while the read still runs.
        #[serde(default)]
        begin: bool,
    },
    /// Lets all traffic pass again after a while, without waiting for it.
    HealAfter {
        /// Time until then in milliseconds.
        ms: u64,
    },
}

/// A process, by its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Target {
    /// The primary of a service, numbered from 0.
    Primary(u8),
    /// The first replica of a service.
    Replica(u8),
    /// The member that was the primary of a service when the scenario began.
    Former(u8),
    /// The second replica of a service.
    Second(u8),
    /// The leader of the control hosts.
    Leader,
    /// The first control host that is not the leader.
    Follower,
    /// The process armed last.
    Armed,
    /// The entry host in the zone of the member that was the primary of a service.
    EntryOf(u8),
    /// The control host of a zone, numbered from 1.
    Control(u8),
    /// The first entry host of a zone.
    Entry(u8),
}

/// What must hold beside the invariants.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Longest failover gap of any service in milliseconds.
    pub gap_ms: u64,
    /// Least number of acknowledged writes.
    pub acknowledged: u64,
}

impl Default for Expect {
    fn default() -> Self {
        Self {
            gap_ms: 17_000,
            acknowledged: 1,
        }
    }
}

arguments! {
    /// Command line of the scenario runner.
    folder = "run/scenario",
    #[options(free, help = "scenario files")]
    files: Vec<PathBuf>,
    #[options(help = "use this seed in place of the one in the file")]
    seed: Option<u64>,
}

/// Reads a scenario file.
///
/// # Errors
/// The file can't be read or is not a scenario; the text names the line.
pub fn read(path: &Path) -> Result<Scenario, LabError> {
    let text = fs::read_to_string(path).context(path.display())?;
    toml::from_str(&text).map_err(|cause| LabError::Admin(format!("{}: {cause}", path.display())))
}

/// Plays the scenarios one after the other.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    if arguments.files.is_empty() {
        eprintln!("scenario: name at least one scenario file");
        return Exit::Usage;
    }
    let mut failed = 0;
    for file in &arguments.files {
        match play_file(file, arguments) {
            Ok(faults) if faults.is_empty() => println!("{}: passed", file.display()),
            Ok(faults) => {
                failed += 1;
                println!("{}: FAILED: {}", file.display(), faults.join("; "));
            }
            Err(cause) => {
                failed += 1;
                println!("{}: FAILED: {cause}", file.display());
            }
        }
    }
    println!("{} passed, {failed} failed", arguments.files.len() - failed);
    if failed == 0 {
        Exit::Done
    } else {
        Exit::Failed
    }
}

fn play_file(file: &Path, arguments: &Arguments) -> Result<Vec<String>, LabError> {
    let mut scenario = read(file)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let site = Site::named(&scenario.site)
        .ok_or_else(|| LabError::Admin(format!("no deployment {}", scenario.site)))?;
    println!(
        "{}: seed {}; guards against {}",
        file.display(),
        scenario.seed,
        scenario.guards
    );
    let choice = relayed(&arguments.programs, &arguments.folder);
    crate::runtime()?.block_on(play(site, &scenario, choice))
}

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
    running: Option<Running>,
}

/// Plays a scenario and returns what did not hold.
///
/// # Errors
/// The deployment can't be started, or a step can't be taken.
pub async fn play(
    site: Site,
    scenario: &Scenario,
    choice: Choice,
) -> Result<Vec<String>, LabError> {
    let relay = Relay::start(&site).await?;
    let deployment = tokio::task::block_in_place(|| Deployment::start(site, choice))?;
    let load = Load {
        callers: scenario.callers,
        pause: Duration::from_millis(100),
        probers: scenario.probers,
        step: Duration::from_millis(10),
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
        self.deployment.site.first + number - 1
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
