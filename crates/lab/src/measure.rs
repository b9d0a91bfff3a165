//! Measures the replica read share, and the failover gaps of many faults.

use std::time::Duration;

use base::Exit;
use hdrhistogram::Histogram;
use serde_json::Value;

use crate::{
    admin::get_json,
    arguments::{arguments, relayed_options},
    checker::Event,
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load, RunningLoad},
    relay::{Fault, Relay},
    site::{Host, Site},
};

/// Maximum failover gap that the product promises.
const MAX_GAP: Duration = Duration::from_secs(17);
/// Time under load before the first fault and between faults.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Timeout for a group to recover completely.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

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

/// A fault that is injected at a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PrimaryFault {
    /// Its process is killed.
    Kill,
    /// Its process is frozen; when it resumes, it still believes that it is primary.
    Freeze,
    /// Its zone is cut off from the others.
    Cut,
}

const FAULTS: [PrimaryFault; 3] = [PrimaryFault::Kill, PrimaryFault::Freeze, PrimaryFault::Cut];

/// Runs the measurement.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let site = match Site::from_argument("measure", arguments.site.as_deref()) {
        Ok(site) => site,
        Err(exit) => return exit,
    };
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(measure(site, arguments)));
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

async fn measure(site: Site, arguments: &Arguments) -> Result<u64, LabError> {
    let relay = Relay::start(&site).await?;
    let options = relayed_options(&arguments.programs, &arguments.folder);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(site, options))?;
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
    let mut gaps: Vec<(PrimaryFault, Option<Duration>)> = Vec::new();
    for i in 0..arguments.faults {
        let fault = FAULTS[usize::try_from(i).unwrap_or(0) % FAULTS.len()];
        let service = u8::try_from(i).unwrap_or(0) / 3 % deployment.site.service_count();
        let gap = measure_gap(&mut deployment, &relay, &running, fault, service).await?;
        println!(
            "fault {i}: {fault:?} of the primary of service {service}: {}",
            format_gap(gap)
        );
        gaps.push((fault, gap));
    }
    let share = experiment::replica_share(&deployment)?;
    let timings = promotion_timings(&deployment);
    let events = running.finish().await;
    let verdict = experiment::verdict(&deployment, &events).await?;
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    print_report(deployment.site.name, &gaps, share, &timings);
    println!("cross-region bytes: {}", relay.cross_region_bytes());
    println!(
        "verdict: {}",
        serde_json::to_string(&verdict).expect("plain values")
    );
    println!("stopped badly: {stopped_badly:?}");
    let late = gaps
        .iter()
        .filter(|(_, gap)| gap.is_none_or(|gap| gap > MAX_GAP))
        .count();
    Ok(verdict.violations() + u64::try_from(late + stopped_badly.len()).unwrap_or(u64::MAX))
}

/// Injects a fault at the primary of a service, measures the gap and waits for the recovery.
async fn measure_gap(
    deployment: &mut Deployment,
    relay: &Relay,
    running: &RunningLoad,
    fault: PrimaryFault,
    service: u8,
) -> Result<Option<Duration>, LabError> {
    deployment.wait_primaries(RECOVERY_TIMEOUT)?;
    let primary = deployment
        .primary(service)?
        .ok_or_else(|| LabError::NotReady(format!("primary of service {service}")))?;
    let from = running.now();
    match fault {
        PrimaryFault::Kill => deployment.process(primary).kill(),
        PrimaryFault::Freeze => deployment.process(primary).freeze(),
        PrimaryFault::Cut => relay.isolate(primary.zone, Fault::Cut),
    }
    let gap = wait_gap(running, service, from).await;
    match fault {
        PrimaryFault::Kill => deployment.process(primary).restart()?,
        PrimaryFault::Freeze => deployment.process(primary).resume(),
        PrimaryFault::Cut => relay.heal(),
    }
    wait_recovered(deployment, service).await?;
    tokio::time::sleep(SETTLE).await;
    Ok(gap)
}

/// Waits until writes have been acknowledged again for a second, or the maximum has passed.
async fn wait_gap(running: &RunningLoad, service: u8, from: u64) -> Option<Duration> {
    let limit = u64::try_from((MAX_GAP + SETTLE).as_micros()).unwrap_or(u64::MAX);
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

/// Waits until the service has a primary and all members report its term.
async fn wait_recovered(deployment: &Deployment, service: u8) -> Result<(), LabError> {
    deployment.wait_primaries(RECOVERY_TIMEOUT)?;
    let name = &deployment.site.services[usize::from(service)];
    let position_of = |host: Host| crate::stores::position(host.address(), name);
    let end = std::time::Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let mut terms = Vec::new();
        for host in deployment.site.members(service) {
            let position = position_of(host).await;
            terms.push(position.map_or(0, |(position, _)| position.term));
        }
        if terms.iter().all(|&term| term == terms[0] && term > 0) {
            return Ok(());
        }
        if std::time::Instant::now() > end {
            return Err(LabError::NotReady(format!(
                "group {name} with terms {terms:?}"
            )));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn format_gap(gap: Option<Duration>) -> String {
    gap.map_or("none within the limit".into(), |gap| {
        format!("{} ms", gap.as_millis())
    })
}

/// Duration of the steps of each promotion in milliseconds, from the dumps of the control hosts.
fn promotion_timings(deployment: &Deployment) -> Vec<Value> {
    deployment
        .site
        .controls()
        .into_iter()
        .filter_map(|host| get_json(host.http(), "/dump").ok())
        .filter_map(|dump| dump["timings"].as_array().cloned())
        .flatten()
        .collect()
}

fn print_report(
    site: &str,
    gaps: &[(PrimaryFault, Option<Duration>)],
    share: f64,
    timings: &[Value],
) {
    println!("\n| {site} | faults | p50 ms | p99 ms | max ms | not over |");
    println!("|---|---|---|---|---|---|");
    for fault in FAULTS {
        let gaps_of_fault: Vec<Option<Duration>> = gaps
            .iter()
            .filter(|(kind, _)| *kind == fault)
            .map(|(_, gap)| *gap)
            .collect();
        print_row(&format!("{fault:?}"), &gaps_of_fault);
    }
    let all: Vec<Option<Duration>> = gaps.iter().map(|(_, gap)| *gap).collect();
    print_row("all", &all);
    println!("\nreplica read share: {share:.4}");
    println!("\n| step of the gap | promotions | p50 ms | p99 ms | max ms |");
    println!("|---|---|---|---|---|");
    for step in ["detection", "fencing", "leases", "reads", "order", "commit"] {
        let values: Vec<u64> = timings
            .iter()
            .filter_map(|timing| timing[step].as_f64())
            .map(whole_millis)
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

fn whole_millis(value: f64) -> u64 {
    Duration::try_from_secs_f64(value / 1_000.0).map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

fn print_row(name: &str, gaps: &[Option<Duration>]) {
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
