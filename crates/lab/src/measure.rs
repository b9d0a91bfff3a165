//! Replica read share and failover gaps over many faults.

use std::time::Duration;

use base::Exit;
use hdrhistogram::Histogram;
use serde_json::Value;

use crate::{
    admin::get_json,
    arguments::{arguments, relayed},
    checker::Event,
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load, RunningLoad},
    relay::{Fault, Relay},
    site::{Host, Site},
};

/// Time for the gap to open and close after a fault, the stated limit of a gap.
const LIMIT: Duration = Duration::from_secs(17);
/// Load between the end of one fault and the next.
const SETTLE: Duration = Duration::from_millis(1_500);
/// How long a group may take to be whole again.
const WHOLE: Duration = Duration::from_secs(30);

arguments! {
    /// Command line of the measurement.
    folder = "run/measure",
    #[options(free, help = "teichwert (default) or watchrolls")]
    site: Option<String>,
    #[options(help = "number of faults", default = "51")]
    faults: u32,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
}

/// What is done to a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Blow {
    /// Its process is killed.
    Kill,
    /// Its process is frozen; it goes on later and still believes that it leads.
    Freeze,
    /// Its zone is cut off.
    Cut,
}

const BLOWS: [Blow; 3] = [Blow::Kill, Blow::Freeze, Blow::Cut];

/// Runs the measurement.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let site = match Site::from_argument("measure", arguments.site.as_deref()) {
        Ok(site) => site,
        Err(exit) => return exit,
    };
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(play(site, arguments)));
    match outcome {
        Ok(0) => Exit::Done,
        Ok(violations) => {
            eprintln!("measure: {violations} violations");
            Exit::Failed
        }
        Err(cause) => {
            eprintln!("measure: {cause}");
            Exit::Failed
        }
    }
}

async fn play(site: Site, arguments: &Arguments) -> Result<u64, LabError> {
    let relay = Relay::start(&site).await?;
    let choice = relayed(&arguments.programs, &arguments.folder);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(site, choice))?;
    let load = Load {
        callers: 4,
        pause: Duration::from_millis(200),
        probers: 1,
        probe_pause: Duration::from_millis(5),
        seed: arguments.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    let running = load.start(&deployment.site);
    tokio::time::sleep(SETTLE).await;
    let share = experiment::replica_share(&deployment)?;
    println!("replica share before the faults: {share:.4}");
    let mut gaps: Vec<(Blow, Option<Duration>)> = Vec::new();
    for i in 0..arguments.faults {
        let blow = BLOWS[usize::try_from(i).unwrap_or(0) % BLOWS.len()];
        let service = u8::try_from(i).unwrap_or(0) / 3 % deployment.site.service_count();
        let gap = strike(&mut deployment, &relay, &running, blow, service).await?;
        println!(
            "fault {i}: {blow:?} of the primary of service {service}: {}",
            show(gap)
        );
        gaps.push((blow, gap));
    }
    let share = experiment::replica_share(&deployment)?;
    let splits = splits(&deployment);
    let events = running.finish().await;
    let verdict = experiment::verdict(&deployment, &events).await?;
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    report(deployment.site.name, &gaps, share, &splits);
    println!("cross-region bytes: {}", relay.cross_region_bytes());
    println!(
        "verdict: {}",
        serde_json::to_string(&verdict).expect("plain values")
    );
    println!("stopped badly: {stopped_badly:?}");
    let late = gaps
        .iter()
        .filter(|(_, gap)| gap.is_none_or(|gap| gap > LIMIT))
        .count();
    Ok(verdict.violations() + u64::try_from(late + stopped_badly.len()).unwrap_or(u64::MAX))
}

async fn strike(
    deployment: &mut Deployment,
    relay: &Relay,
    running: &RunningLoad,
    blow: Blow,
    service: u8,
) -> Result<Option<Duration>, LabError> {
    deployment.wait_primaries(WHOLE)?;
    let primary = deployment
        .primary(service)?
        .ok_or_else(|| LabError::NotReady(format!("primary of service {service}")))?;
    let from = running.now();
    match blow {
        Blow::Kill => deployment.process(primary).kill(),
        Blow::Freeze => deployment.process(primary).freeze(),
        Blow::Cut => relay.isolate(primary.zone, Fault::Cut),
    }
    let gap = wait_gap(running, service, from).await;
    match blow {
        Blow::Kill => deployment.process(primary).restart()?,
        Blow::Freeze => deployment.process(primary).resume(),
        Blow::Cut => relay.heal(),
    }
    wait_whole(deployment, service).await?;
    tokio::time::sleep(SETTLE).await;
    Ok(gap)
}

/// Waits until writes are acknowledged again for a second, or the limit is over.
async fn wait_gap(running: &RunningLoad, service: u8, from: u64) -> Option<Duration> {
    let limit = u64::try_from((LIMIT + SETTLE).as_micros()).unwrap_or(u64::MAX);
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let events: Vec<Event> = running.events();
        let now = running.now();
        let gap = experiment::gap(&events, usize::from(service), from, u64::MAX);
        let recovered = gap.filter(|gap| *gap > Duration::from_millis(100));
        let steady = recovered.is_some_and(|gap| {
            now > from + u64::try_from(gap.as_micros()).unwrap_or(u64::MAX) + 1_000_000
        });
        if steady || now > from + limit {
            return gap;
        }
    }
}

async fn wait_whole(deployment: &Deployment, service: u8) -> Result<(), LabError> {
    deployment.wait_primaries(WHOLE)?;
    let name = &deployment.site.services[usize::from(service)];
    let term_of = |host: Host| crate::stores::position(host.address(), name);
    let end = std::time::Instant::now() + WHOLE;
    loop {
        let mut terms = Vec::new();
        for host in deployment.site.members(service) {
            let found = term_of(host).await;
            terms.push(found.map_or(0, |(position, _)| position.term));
        }
        if terms.iter().all(|&term| term == terms[0] && term > 0) {
            return Ok(());
        }
        if std::time::Instant::now() > end {
            return Err(LabError::NotReady(format!("group {name}: terms {terms:?}")));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn show(gap: Option<Duration>) -> String {
    gap.map_or("none within the limit".into(), |gap| {
        format!("{} ms", gap.as_millis())
    })
}

/// Steps of each promotion in milliseconds, from the dumps of the control hosts.
fn splits(deployment: &Deployment) -> Vec<Value> {
    deployment
        .site
        .controls()
        .into_iter()
        .filter_map(|host| get_json(host.http(), "/dump").ok())
        .filter_map(|dump| dump["timings"].as_array().cloned())
        .flatten()
        .collect()
}

fn report(site: &str, gaps: &[(Blow, Option<Duration>)], share: f64, splits: &[Value]) {
    println!("\n| {site} | faults | p50 ms | p99 ms | max ms | not over |");
    println!("|---|---|---|---|---|---|");
    for blow in BLOWS {
        let own: Vec<Option<Duration>> = gaps
            .iter()
            .filter(|(kind, _)| *kind == blow)
            .map(|(_, gap)| *gap)
            .collect();
        row(&format!("{blow:?}"), &own);
    }
    let all: Vec<Option<Duration>> = gaps.iter().map(|(_, gap)| *gap).collect();
    row("all", &all);
    println!("\nreplica read share: {share:.4}");
    println!("\n| step of the gap | promotions | p50 ms | p99 ms | max ms |");
    println!("|---|---|---|---|---|");
    for step in ["detection", "fencing", "leases", "reads", "order", "commit"] {
        let values: Vec<u64> = splits
            .iter()
            .filter_map(|split| split[step].as_f64())
            .map(rounded)
            .collect();
        let histogram = histogram(&values);
        println!(
            "| {step} | {} | {} | {} | {} |",
            values.len(),
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
            histogram.max()
        );
    }
}

fn rounded(value: f64) -> u64 {
    Duration::try_from_secs_f64(value / 1_000.0).map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

fn row(name: &str, gaps: &[Option<Duration>]) {
    let closed: Vec<u64> = gaps
        .iter()
        .flatten()
        .map(|gap| u64::try_from(gap.as_millis()).unwrap_or(u64::MAX))
        .collect();
    let histogram = histogram(&closed);
    println!(
        "| {name} | {} | {} | {} | {} | {} |",
        gaps.len(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max(),
        gaps.len() - closed.len()
    );
}

fn histogram(values: &[u64]) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("3 digits are a valid precision");
    for &value in values {
        crate::record_value(&mut histogram, value);
    }
    histogram
}
