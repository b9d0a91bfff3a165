//! Scenario files: scripted faults against real processes, with what must hold after them.

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use base::Exit;
use gumdrop::Options;
use serde::Deserialize;
use serde_json::json;

use crate::{
    admin::post_json,
    checker::Verdict,
    demo::choice,
    deployment::Deployment,
    error::{Context, LabError},
    experiment,
    load::{self, Load, Running},
    relay::{Fault, Relay},
    site::{Host, Role, Site},
};

/// How long a group may take to have a primary again before the checks.
const WHOLE: Duration = Duration::from_secs(30);
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
    /// Faults and pauses, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
    /// What must hold beside the invariants.
    #[serde(default)]
    pub expect: Expect,
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
}

/// A process, by its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Target {
    /// The primary of a service, numbered from 0.
    Primary(u8),
    /// The first replica of a service.
    Replica(u8),
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

/// Command line of the scenario runner.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "scenario files")]
    files: Vec<PathBuf>,
    #[options(
        help = "folder with the programs",
        default = "target/release",
        meta = "DIR"
    )]
    programs: PathBuf,
    #[options(
        help = "folder for data and logs, emptied first",
        default = "run/scenario",
        meta = "DIR"
    )]
    folder: PathBuf,
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
    crate::runtime()?.block_on(play(site, &scenario, arguments))
}

/// State of a scenario that runs.
#[derive(Debug)]
struct Stage {
    deployment: Deployment,
    relay: Relay,
    frozen: Vec<Host>,
    ended: Vec<Host>,
    faults: Vec<String>,
}

async fn play(
    site: Site,
    scenario: &Scenario,
    arguments: &Arguments,
) -> Result<Vec<String>, LabError> {
    let relay = Relay::start(&site).await?;
    let choice = choice(&arguments.programs, &arguments.folder);
    let deployment = tokio::task::block_in_place(|| Deployment::start(site, choice))?;
    let load = Load {
        callers: 4,
        pause: Duration::from_millis(100),
        probers: 1,
        step: Duration::from_millis(10),
        seed: scenario.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    let running = load.start(&deployment.site);
    let mut stage = Stage {
        deployment,
        relay,
        frozen: Vec::new(),
        ended: Vec::new(),
        faults: Vec::new(),
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = running.now();
    for step in &scenario.steps {
        stage.take(step).await?;
    }
    stage.take(&Step::Heal).await?;
    stage.take(&Step::Resume).await?;
    stage.take(&Step::Restart).await?;
    stage.deployment.wait_primaries(WHOLE)?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stage.judge(scenario, running, from).await
}

impl Stage {
    async fn take(&mut self, step: &Step) -> Result<(), LabError> {
        match *step {
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
                self.relay
                    .isolate(zone, if reset { Fault::Reset } else { Fault::Cut });
            }
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
        Ok(match target {
            Target::Primary(service) => primary(service)?,
            Target::Replica(service) => {
                let primary = primary(service)?;
                let mut members = self.deployment.site.members(service);
                members.find(|&host| host != primary).unwrap_or(primary)
            }
            Target::Control(zone) => Host {
                zone,
                role: Role::Control,
            },
            Target::Entry(zone) => Host {
                zone,
                role: Role::Entry(1),
            },
        })
    }

    fn stop(&mut self, target: Target) -> Result<(), LabError> {
        let host = self.find(target)?;
        let process = self.deployment.process(host);
        process.terminate();
        let status = tokio::task::block_in_place(|| process.wait(STOP));
        if status != Some(0) {
            let name = process.name().to_owned();
            self.faults
                .push(format!("planned stop of {name} ended with {status:?}"));
        }
        self.ended.push(host);
        Ok(())
    }

    fn configure(&self, times: u32) -> Result<(), LabError> {
        let admin = self.deployment.admin();
        for i in 0..times {
            let document = format!("# change {i}\n{}", self.deployment.site.document());
            admin.submit(&document, WHOLE)?;
        }
        Ok(())
    }

    async fn judge(
        mut self,
        scenario: &Scenario,
        running: Running,
        from: u64,
    ) -> Result<Vec<String>, LabError> {
        let events = running.finish().await;
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
