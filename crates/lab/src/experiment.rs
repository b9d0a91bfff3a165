//! Results of a run: verdict, failover gaps, replica read share and latencies.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

use crate::{
    admin::get_text,
    caller::{Outcome, Session},
    checker::{Action, Event, Verdict, check},
    deployment::Deployment,
    error::LabError,
    site::Host,
    stores,
};

/// Timeout for the databases to reach the same position after the load.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Checks the history of all services after a load.
///
/// Also compares the data of the members of each group; a member that differs from the primary
/// counts as a lost write.
///
/// # Errors
/// A database can't be read.
pub async fn verdict(deployment: &Deployment, events: &[Event]) -> Result<Verdict, LabError> {
    let mut total = Verdict::default();
    for (service, name) in (0_u8..).zip(&deployment.site.services) {
        let addresses: Vec<SocketAddr> = deployment
            .site
            .members(service)
            .map(Host::address)
            .collect();
        let converged = stores::wait_converged(&addresses, name, CONVERGENCE_TIMEOUT).await;
        let primary = deployment
            .primary(service)?
            .ok_or_else(|| LabError::NotReady(format!("primary of {name}")))?;
        let store = stores::read(primary.address(), name).await?;
        let own: Vec<Event> = events
            .iter()
            .filter(|event| event.service == usize::from(service))
            .cloned()
            .collect();
        add_verdict(&mut total, &check(&own, &store));
        for address in addresses {
            if !converged || stores::read(address, name).await? != store {
                eprintln!("{name}: the database at {address} differs from the primary");
                total.lost += 1;
            }
        }
    }
    Ok(total)
}

fn add_verdict(total: &mut Verdict, one: &Verdict) {
    total.acknowledged += one.acknowledged;
    total.lost += one.lost;
    total.duplicated += one.duplicated;
    total.stale_reads += one.stale_reads;
    total.crossed += one.crossed;
    total.mixed += one.mixed;
    total.false_not_run += one.false_not_run;
    total.phantom_reads += one.phantom_reads;
    total.unknown += one.unknown;
    total.reads += one.reads;
}

/// Longest pause between acknowledged writes of a service, counting those from `from` to `until`.
///
/// Times are in microseconds since the start of the load. `from` is the time of the fault, at which
/// the first pause begins. A pause that no write ends isn't counted; `None` when there was no
/// write.
#[must_use]
pub fn gap(events: &[Event], service: usize, from: u64, until: u64) -> Option<Duration> {
    longest_pause(events, service, from, until).map(|pause| pause.length)
}

/// Pause between two acknowledged writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// Start, since the start of the load.
    pub start: Duration,
    /// Length.
    pub length: Duration,
}

/// Like [`gap`], with the start of the pause.
#[must_use]
pub fn longest_pause(events: &[Event], service: usize, from: u64, until: u64) -> Option<Pause> {
    let mut ends: Vec<u64> = events
        .iter()
        .filter(|event| event.service == service)
        .filter(|event| matches!(event.action, Action::Write { .. }))
        .filter(|event| event.outcome == Outcome::Done && (from..until).contains(&event.end))
        .map(|event| event.end)
        .collect();
    if ends.is_empty() {
        return None;
    }
    ends.push(from);
    ends.sort_unstable();
    ends.windows(2)
        .map(|pair| Pause {
            start: Duration::from_micros(pair[0]),
            length: Duration::from_micros(pair[1] - pair[0]),
        })
        .max_by_key(|pause| pause.length)
}

/// Sums a metric over all entry processes, by the value of one label.
///
/// # Errors
/// An entry process does not answer.
pub fn sum_metric(
    deployment: &Deployment,
    metric: &str,
    label: &str,
) -> Result<base::Map<String, f64>, LabError> {
    let mut sums = base::Map::default();
    for entry in deployment.site.entries() {
        for line in get_text(entry.http(), "/metrics")?.lines() {
            let Some(rest) = line.strip_prefix(metric) else {
                continue;
            };
            let Some((labels, value)) = rest.rsplit_once(' ') else {
                continue;
            };
            let key = labels
                .split([',', '{', '}'])
                .find_map(|pair| pair.strip_prefix(label)?.strip_prefix("=\""))
                .map(|text| text.trim_end_matches('"').to_owned())
                .unwrap_or_default();
            *sums.entry(key).or_insert(0.0) += value.parse::<f64>().unwrap_or(0.0);
        }
    }
    Ok(sums)
}

/// Share of reads outside transactions that were served by replicas, from the metrics of the entry
/// processes.
///
/// # Errors
/// An entry process does not answer.
pub fn replica_share(deployment: &Deployment) -> Result<f64, LabError> {
    let reads = sum_metric(deployment, "goldcrestrail_reads_total", "kind")?;
    let replica = reads.get("replica").copied().unwrap_or(0.0);
    let all: f64 = reads.values().sum();
    Ok(if all > 0.0 { replica / all } else { 0.0 })
}

/// Measures the latencies in microseconds of `count` sequential point reads.
///
/// # Errors
/// The host can't be reached or refuses a read.
///
/// # Panics
/// Never: three significant digits are a valid precision.
pub async fn latencies(
    address: SocketAddr,
    database: &str,
    caller: i64,
    count: u32,
) -> Result<Histogram<u64>, LabError> {
    let mut histogram = Histogram::new(3).expect("3 digits are allowed");
    let failed = |outcome: Outcome| LabError::Admin(format!("{address}: {outcome:?}"));
    let session = Session::open(address, database, None)
        .await
        .map_err(failed)?;
    let client = session.client();
    let statement = client
        .prepare("SELECT caller, n FROM counter WHERE caller = $1")
        .await?;
    client.query_one(&statement, &[&caller]).await?;
    for _ in 0..count {
        let start = Instant::now();
        client.query_one(&statement, &[&caller]).await?;
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        crate::record_value(&mut histogram, micros);
    }
    Ok(histogram)
}
