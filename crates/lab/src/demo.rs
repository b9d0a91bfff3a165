//! The demonstration: a whole deployment, a load, a killed primary, and what came of it.

use std::time::Duration;

use base::Exit;
use serde::Serialize;

use crate::{
    arguments::{arguments, relayed},
    checker::{Action, Verdict},
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load},
    relay::Relay,
    site::Site,
};

/// Load before the kill.
const BEFORE: Duration = Duration::from_secs(8);
/// Load after the kill.
const AFTER: Duration = Duration::from_secs(12);
/// Point reads for the latency comparison.
const SAMPLES: u32 = 1_000;

arguments! {
    /// Command line of the demonstration.
    folder = "run/demo",
    #[options(free, help = "teichwert (default) or watchrolls")]
    site: Option<String>,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
}

/// The last line of the demonstration.
#[derive(Debug, Serialize)]
struct Line {
    site: &'static str,
    acknowledged: u64,
    lost: u64,
    duplicated: u64,
    stale_reads: u64,
    replica_read_share: f64,
    failover_gap_ms: Option<f64>,
    p50_added_us: i64,
    statements_per_second: f64,
    crossed: u64,
    mixed: u64,
    false_not_run: u64,
    phantom_reads: u64,
    unknown: u64,
    reads: u64,
    cross_region_bytes: u64,
    stopped_badly: Vec<String>,
}

/// Runs the demonstration and prints its line.
///
/// # Panics
/// Never: the line has plain values only.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let site = match Site::chosen("demo", arguments.site.as_deref()) {
        Ok(site) => site,
        Err(exit) => return exit,
    };
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(play(site, arguments)));
    match outcome {
        Ok((line, violations)) => {
            println!("{}", serde_json::to_string(&line).expect("plain values"));
            if violations == 0 && line.stopped_badly.is_empty() {
                Exit::Done
            } else {
                Exit::Failed
            }
        }
        Err(cause) => {
            eprintln!("demo: {cause}");
            Exit::Failed
        }
    }
}

async fn play(site: Site, arguments: &Arguments) -> Result<(Line, u64), LabError> {
    let name = site.name;
    println!("demo: starting {name}");
    let relay = Relay::start(&site).await?;
    let choice = relayed(&arguments.programs, &arguments.folder);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(site, choice))?;
    let load = Load {
        callers: 6,
        pause: Duration::from_millis(200),
        probers: 1,
        step: Duration::from_millis(5),
        seed: arguments.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    println!("demo: load with seed {}", load.seed);
    let running = load.start(&deployment.site);
    tokio::time::sleep(BEFORE).await;
    let primary = deployment
        .primary(0)?
        .ok_or_else(|| LabError::NotReady("primary of the first service".into()))?;
    let killed = running.now();
    deployment.process(primary).kill();
    println!("demo: killed {}", deployment.site.process_name(primary));
    tokio::time::sleep(AFTER).await;
    deployment.process(primary).restart()?;
    let seconds = running.start.elapsed().as_secs_f64();
    let events = running.finish().await;
    let gap = experiment::gap(&events, 0, killed, u64::MAX);
    let share = experiment::replica_share(&deployment)?;
    let verdict = experiment::verdict(&deployment, &events).await?;
    let added = added_latency(&deployment).await?;
    let crossed = relay.crossed();
    println!("demo: stopping");
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    let statements: u64 = events.iter().map(statements).sum();
    let line = Line {
        site: name,
        replica_read_share: share,
        failover_gap_ms: gap.map(|gap| gap.as_secs_f64() * 1_000.0),
        p50_added_us: added,
        statements_per_second: (to_f64(statements) / seconds).round(),
        cross_region_bytes: crossed,
        stopped_badly,
        ..Line::of(&verdict, name)
    };
    Ok((line, verdict.violations()))
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

fn statements(event: &crate::checker::Event) -> u64 {
    match event.action {
        Action::Write {
            inserts_rows: true, ..
        } => 5,
        Action::Write { .. } | Action::Read { .. } => 1,
    }
}

impl Line {
    fn of(verdict: &Verdict, site: &'static str) -> Self {
        Self {
            site,
            acknowledged: verdict.acknowledged,
            lost: verdict.lost,
            duplicated: verdict.duplicated,
            stale_reads: verdict.stale_reads,
            replica_read_share: 0.0,
            failover_gap_ms: None,
            p50_added_us: 0,
            statements_per_second: 0.0,
            crossed: verdict.crossed,
            mixed: verdict.mixed,
            false_not_run: verdict.false_not_run,
            phantom_reads: verdict.phantom_reads,
            unknown: verdict.unknown,
            reads: verdict.reads,
            cross_region_bytes: 0,
            stopped_badly: Vec::new(),
        }
    }
}

/// Difference of the median point read through an entry host and straight at a database of the
/// same zone, in microseconds.
async fn added_latency(deployment: &Deployment) -> Result<i64, LabError> {
    let service = &deployment.site.services[1];
    let entry = deployment.site.entries()[0];
    let upstream = crate::site::Host {
        zone: entry.zone,
        role: crate::site::Role::Upstream(1),
    };
    let caller = 1_000;
    let through = experiment::latencies(entry.address(), service, caller, SAMPLES).await?;
    let straight = experiment::latencies(upstream.address(), service, caller, SAMPLES).await?;
    let median = |histogram: &hdrhistogram::Histogram<u64>| {
        i64::try_from(histogram.value_at_quantile(0.5)).unwrap_or(i64::MAX)
    };
    Ok(median(&through) - median(&straight))
}
