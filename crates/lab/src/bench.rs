//! Benchmark: compares access through an entry process with direct access to a database in one run.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::Exit;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::{
    arguments::{arguments, direct_options},
    caller::Session,
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load},
    site::{Host, Role, Site, Zone},
};

/// Number of callers in the throughput comparison.
const CALLERS: usize = 64;
/// Numbers of idle callers at which memory use is measured.
const IDLE_CALLERS: [usize; 2] = [1_000, 5_000];
/// Number of sequential point reads in the latency comparison.
const LATENCY_SAMPLES: u32 = 5_000;

arguments! {
    /// Command line of the benchmark.
    folder = "run/bench",
    #[options(help = "seconds of each throughput run", default = "5")]
    seconds: u64,
}

/// A deployment with one entry process and one group, whose limits are too high to take effect.
fn site() -> Site {
    let teichwert = Site::teichwert();
    let zones = teichwert
        .zones
        .into_iter()
        .map(|zone| Zone {
            entries: u8::from(zone.name == "wien-nord"),
            ..zone
        })
        .collect();
    Site {
        zones,
        services: vec!["valuation-1".into()],
        connections: 600,
        slots: 64,
        ..Site::teichwert()
    }
}

/// Runs the benchmark and prints the results as one JSON object.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(measure(arguments)));
    match outcome {
        Ok(results) => {
            println!("{results:#}");
            Exit::Done
        }
        Err(cause) => {
            eprintln!("bench: {cause}");
            Exit::Failed
        }
    }
}

async fn measure(arguments: &Arguments) -> Result<serde_json::Value, LabError> {
    let options = direct_options(&arguments.programs, &arguments.folder, 0);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(site(), options))?;
    let load = Load {
        callers: 22,
        pause: Duration::ZERO,
        probers: 0,
        probe_pause: Duration::ZERO,
        seed: 1,
    };
    load::prepare(&deployment.site, &load).await?;
    let service = deployment.site.services[0].clone();
    let entry = deployment.site.entries()[0];
    let database = Host {
        zone: entry.zone,
        role: Role::Upstream(0),
    };
    let duration = Duration::from_secs(arguments.seconds);

    let idle_before = deployment.usage(entry)?;
    tokio::time::sleep(duration).await;
    let idle_after = deployment.usage(entry)?;
    let control_share = idle_after
        .busy
        .saturating_sub(idle_before.busy)
        .as_secs_f64()
        / duration.as_secs_f64();
    let control_bytes = control_rate(&deployment, duration).await?;

    let proxied = experiment::latencies(entry.address(), &service, 0, LATENCY_SAMPLES).await?;
    let direct = experiment::latencies(database.address(), &service, 0, LATENCY_SAMPLES).await?;
    let busy_before = deployment.usage(entry)?;
    let (proxied_rate, proxied_load) = throughput(entry.address(), &service, duration).await?;
    let busy_after = deployment.usage(entry)?;
    let (direct_rate, direct_load) = throughput(database.address(), &service, duration).await?;
    let busy = busy_after
        .busy
        .saturating_sub(busy_before.busy)
        .as_secs_f64();

    let mut memory = Vec::new();
    let mut sessions = Vec::new();
    let without_callers = deployment.usage(entry)?.resident;
    for count in IDLE_CALLERS {
        while sessions.len() < count {
            let session = Session::open(entry.address(), &service, None).await;
            sessions.push(session.map_err(|cause| LabError::Admin(format!("{cause:?}")))?);
        }
        let resident = deployment.usage(entry)?.resident;
        memory.push(json!({
            "callers": count,
            "resident_bytes": resident,
            "bytes_per_caller": resident.saturating_sub(without_callers) / count as u64,
        }));
    }
    drop(sessions);
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    let p50 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.5);
    let added = p50(&proxied).saturating_sub(p50(&direct));
    Ok(json!({
        "throughput": {
            "callers": CALLERS,
            "through_per_second": proxied_rate.round(),
            "straight_per_second": direct_rate.round(),
            "ratio": proxied_rate / direct_rate,
            "entry_core_share": busy / duration.as_secs_f64(),
            "through_p50_us": p50(&proxied_load),
            "straight_p50_us": p50(&direct_load),
        },
        "latency": {
            "through_p50_us": p50(&proxied),
            "straight_p50_us": p50(&direct),
            "added_p50_us": added,
            "added_in_round_trips": ratio(added, p50(&direct)),
            "through_p99_us": proxied.value_at_quantile(0.99),
            "straight_p99_us": direct.value_at_quantile(0.99),
        },
        "memory": memory,
        "control": { "core_share": control_share, "bytes_per_second": control_bytes },
        "stopped_badly": stopped_badly,
    }))
}

fn ratio(a: u64, b: u64) -> f64 {
    let float = |value: u64| u32::try_from(value).map_or(f64::NAN, f64::from);
    float(a) / float(b)
}

/// Measures the bytes per second between the entry process and control.
async fn control_rate(deployment: &Deployment, duration: Duration) -> Result<f64, LabError> {
    let sum = || {
        experiment::sum_metric(deployment, "goldcrestrail_control_bytes_total", "direction")
            .map(|sums| sums.values().sum::<f64>())
    };
    let before = sum()?;
    tokio::time::sleep(duration).await;
    Ok((sum()? - before) / duration.as_secs_f64())
}

/// Measures the reads per second of all callers, and their latencies in microseconds.
async fn throughput(
    address: SocketAddr,
    database: &str,
    duration: Duration,
) -> Result<(f64, Histogram<u64>), LabError> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for i in 0..CALLERS {
        let session = Session::open(address, database, None).await;
        let session = session.map_err(|cause| LabError::Admin(format!("{cause:?}")))?;
        let stop = Arc::clone(&stop);
        tasks.push(tokio::spawn(read_until_stopped(
            session,
            i64::try_from(i).unwrap_or(0),
            stop,
        )));
    }
    let start = Instant::now();
    tokio::time::sleep(duration).await;
    stop.store(true, Ordering::SeqCst);
    let seconds = start.elapsed().as_secs_f64();
    let mut all = Histogram::new(3).expect("3 digits are a valid precision");
    for task in tasks {
        let histogram = task
            .await
            .map_err(|cause| LabError::Admin(cause.to_string()))??;
        all.add(&histogram)
            .expect("the histogram resizes automatically");
    }
    let count = u32::try_from(all.len()).map_or(f64::INFINITY, f64::from);
    Ok((count / seconds, all))
}

/// Reads without pause until `stop` is set, and returns the latencies in microseconds.
async fn read_until_stopped(
    session: Session,
    caller: i64,
    stop: Arc<AtomicBool>,
) -> Result<Histogram<u64>, LabError> {
    let mut histogram = Histogram::new(3).expect("3 digits are a valid precision");
    let client = session.client();
    let statement = client
        .prepare("SELECT caller, n FROM counter WHERE caller = $1")
        .await?;
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        client.query_one(&statement, &[&caller]).await?;
        crate::record_value(
            &mut histogram,
            u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX),
        );
    }
    Ok(histogram)
}
