//! Demonstration: runs a deployment under load, kills a primary and prints the results.

use std::time::Duration;

use base::Exit;
use serde::Serialize;

use crate::{
    arguments::{arguments, relayed_options},
    checker::{Action, Verdict},
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load},
    relay::Relay,
    site::Site,
};

/// Time under load before the kill.
const LOAD_BEFORE_KILL: Duration = Duration::from_secs(8);
/// Time under load after the kill.
const LOAD_AFTER_KILL: Duration = Duration::from_secs(12);
/// Number of point reads in the latency comparison.
const LATENCY_SAMPLES: u32 = 1_000;

arguments! {
    /// Command line of the demonstration.
    folder = "run/demo",
    #[options(free, help = "teichwert (default) or watchrolls")]
    site: Option<String>,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
}

/// Results, printed as the last line in JSON.
#[derive(Debug, Serialize)]
struct Summary {
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

/// Runs the demonstration and prints its results.
///
/// # Panics
/// Never: every value of the results can be serialized.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let site = match Site::from_argument("demo", arguments.site.as_deref()) {
        Ok(site) => site,
        Err(exit) => return exit,
    };
    let outcome =
        crate::runtime().and_then(|runtime| runtime.block_on(demonstrate(site, arguments)));
    match outcome {
        Ok((summary, violations)) => {
            println!(
                "{}",
                serde_json::to_string(&summary).expect("the summary is serializable")
            );
            if violations == 0 && summary.stopped_badly.is_empty() {
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

async fn demonstrate(site: Site, arguments: &Arguments) -> Result<(Summary, u64), LabError> {
    let name = site.name;
    println!("demo: starting {name}");
    let relay = Relay::start(&site).await?;
    let options = relayed_options(&arguments.programs, &arguments.folder);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(site, options))?;
    let load = Load {
        callers: 6,
        pause: Duration::from_millis(200),
        probers: 1,
        probe_pause: Duration::from_millis(5),
        seed: arguments.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    println!("demo: load with seed {}", load.seed);
    let running = load.start(&deployment.site);
    tokio::time::sleep(LOAD_BEFORE_KILL).await;
    let primary = deployment
        .primary(0)?
        .ok_or_else(|| LabError::NotReady("primary of the first service".into()))?;
    let killed_at = running.now();
    deployment.process(primary).kill();
    println!("demo: killed {}", deployment.site.process_name(primary));
    tokio::time::sleep(LOAD_AFTER_KILL).await;
    deployment.process(primary).restart()?;
    let seconds = running.start.elapsed().as_secs_f64();
    let events = running.finish().await;
    let gap = experiment::gap(&events, 0, killed_at, u64::MAX);
    let share = experiment::replica_share(&deployment)?;
    let verdict = experiment::verdict(&deployment, &events).await?;
    let added_us = added_latency(&deployment).await?;
    let crossed = relay.cross_region_bytes();
    println!("demo: stopping");
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    let statements: u64 = events.iter().map(statement_count).sum();
    let summary = Summary {
        site: name,
        replica_read_share: share,
        failover_gap_ms: gap.map(|gap| gap.as_secs_f64() * 1_000.0),
        p50_added_us: added_us,
        statements_per_second: (to_f64(statements) / seconds).round(),
        cross_region_bytes: crossed,
        stopped_badly,
        ..Summary::from_verdict(&verdict, name)
    };
    Ok((summary, verdict.violations()))
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

/// Number of statements of a request; a transaction has five.
fn statement_count(event: &crate::checker::Event) -> u64 {
    match event.action {
        Action::Write {
            inserts_rows: true, ..
        } => 5,
        Action::Write { .. } | Action::Read { .. } => 1,
    }
}

impl Summary {
    fn from_verdict(verdict: &Verdict, site: &'static str) -> Self {
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

/// Median latency of a point read through an entry host less that of one sent directly to a
/// database of the same zone, in microseconds.
async fn added_latency(deployment: &Deployment) -> Result<i64, LabError> {
    let service = &deployment.site.services[1];
    let entry = deployment.site.entries()[0];
    let upstream = crate::site::Host {
        zone: entry.zone,
        role: crate::site::Role::Upstream(1),
    };
    let caller = 1_000;
    let proxied = experiment::latencies(entry.address(), service, caller, LATENCY_SAMPLES).await?;
    let direct =
        experiment::latencies(upstream.address(), service, caller, LATENCY_SAMPLES).await?;
    let median = |histogram: &hdrhistogram::Histogram<u64>| {
        i64::try_from(histogram.value_at_quantile(0.5)).unwrap_or(i64::MAX)
    };
    Ok(median(&proxied) - median(&direct))
}
