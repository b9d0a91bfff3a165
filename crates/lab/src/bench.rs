//! The proxy's own measures as ratios in one run.

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
    arguments::{arguments, direct},
    caller::Session,
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load},
    site::{Host, Role, Site, Zone},
};

/// Callers of the throughput comparison.
const CALLERS: usize = 64;
/// Idle callers at which memory is read.
const IDLE: [usize; 2] = [1_000, 5_000];
/// Point reads, one after the other, for the latency comparison.
const SAMPLES: u32 = 5_000;

arguments! {
    /// Command line of the benchmark.
    folder = "run/bench",
    #[options(help = "seconds of each throughput run", default = "5")]
    seconds: u64,
}

/// One entry process before one group, with limits that do not bind.
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

/// Runs the benchmark and prints its figures as one JSON object.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(play(arguments)));
    match outcome {
        Ok(figures) => {
            println!("{figures:#}");
            Exit::Done
        }
        Err(cause) => {
            eprintln!("bench: {cause}");
            Exit::Failed
        }
    }
}

async fn play(arguments: &Arguments) -> Result<serde_json::Value, LabError> {
    let choice = direct(&arguments.programs, &arguments.folder, 0);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(site(), choice))?;
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
    let near = Host {
        zone: entry.zone,
        role: Role::Upstream(0),
    };
    let length = Duration::from_secs(arguments.seconds);

    let idle_before = deployment.usage(entry)?;
    tokio::time::sleep(length).await;
    let idle_after = deployment.usage(entry)?;
    let control_share = idle_after
        .busy
        .saturating_sub(idle_before.busy)
        .as_secs_f64()
        / length.as_secs_f64();
    let control_bytes = control_rate(&deployment, length).await?;

    let through = experiment::latencies(entry.address(), &service, 0, SAMPLES).await?;
    let straight = experiment::latencies(near.address(), &service, 0, SAMPLES).await?;
    let busy_before = deployment.usage(entry)?;
    let (through_rate, through_many) = throughput(entry.address(), &service, length).await?;
    let busy_after = deployment.usage(entry)?;
    let (straight_rate, straight_many) = throughput(near.address(), &service, length).await?;
    let busy = busy_after
        .busy
        .saturating_sub(busy_before.busy)
        .as_secs_f64();

    let mut memory = Vec::new();
    let mut open = Vec::new();
    let empty = deployment.usage(entry)?.resident;
    for count in IDLE {
        while open.len() < count {
            let session = Session::open(entry.address(), &service, None).await;
            open.push(session.map_err(|cause| LabError::Admin(format!("{cause:?}")))?);
        }
        let resident = deployment.usage(entry)?.resident;
        memory.push(json!({
            "callers": count,
            "resident_bytes": resident,
            "bytes_per_caller": resident.saturating_sub(empty) / count as u64,
        }));
    }
    drop(open);
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    let p50 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.5);
    let added = p50(&through).saturating_sub(p50(&straight));
    Ok(json!({
        "throughput": {
            "callers": CALLERS,
            "through_per_second": through_rate.round(),
            "straight_per_second": straight_rate.round(),
            "ratio": through_rate / straight_rate,
            "entry_core_share": busy / length.as_secs_f64(),
            "through_p50_us": p50(&through_many),
            "straight_p50_us": p50(&straight_many),
        },
        "latency": {
            "through_p50_us": p50(&through),
            "straight_p50_us": p50(&straight),
            "added_p50_us": added,
            "added_in_round_trips": ratio(added, p50(&straight)),
            "through_p99_us": through.value_at_quantile(0.99),
            "straight_p99_us": straight.value_at_quantile(0.99),
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

async fn control_rate(deployment: &Deployment, length: Duration) -> Result<f64, LabError> {
    let sum = || {
        experiment::sum_metric(deployment, "goldcrestrail_control_bytes_total", "direction")
            .map(|sums| sums.values().sum::<f64>())
    };
    let before = sum()?;
    tokio::time::sleep(length).await;
    Ok((sum()? - before) / length.as_secs_f64())
}

async fn throughput(
    address: SocketAddr,
    database: &str,
    length: Duration,
) -> Result<(f64, Histogram<u64>), LabError> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for i in 0..CALLERS {
        let session = Session::open(address, database, None).await;
        let session = session.map_err(|cause| LabError::Admin(format!("{cause:?}")))?;
        let stop = Arc::clone(&stop);
        tasks.push(tokio::spawn(read_on(
            session,
            i64::try_from(i).unwrap_or(0),
            stop,
        )));
    }
    let start = Instant::now();
    tokio::time::sleep(length).await;
    stop.store(true, Ordering::SeqCst);
    let seconds = start.elapsed().as_secs_f64();
    let mut all = Histogram::new(3).expect("3 digits are a valid precision");
    for task in tasks {
        let own = task
            .await
            .map_err(|cause| LabError::Admin(cause.to_string()))??;
        all.add(&own).expect("histograms resize");
    }
    let count = u32::try_from(all.len()).map_or(f64::INFINITY, f64::from);
    Ok((count / seconds, all))
}

async fn read_on(
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
