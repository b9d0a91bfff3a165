//! Measures the cost to control of each database, entry process and configuration change.

use std::{
    cell::RefCell,
    fmt::Write as _,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::Exit;
use compio::time::sleep;
use serde::Serialize;

use crate::{
    admin::post_json,
    arguments::{arguments, direct_options},
    deployment::Deployment,
    error::LabError,
    experiment,
    fake::{self, Member, Versions},
    site::{Host, Site, Zone},
};

/// Numbers of databases with one entry process, at which the cost is measured.
const DATABASE_COUNTS: [u16; 4] = [9, 24, 90, 180];
/// Numbers of additional entry processes at which the cost is measured.
const ENTRY_COUNTS: [u32; 4] = [50, 100, 200, 400];
/// Numbers of consecutive configuration changes at which the cost is measured.
const CHANGE_COUNTS: [u32; 3] = [25, 50, 100];
/// Pause before a reading, for connections and records to become stable.
const SETTLE: Duration = Duration::from_secs(5);
/// Timeout for all groups to get a primary, and for a change to arrive at every entry process.
const TIMEOUT: Duration = Duration::from_mins(1);

arguments! {
    /// Command line of the cost measurement.
    folder = "run/slopes",
    #[options(help = "read only the cost of databases")]
    databases: bool,
    #[options(help = "seconds of each reading", default = "10")]
    seconds: u64,
}

/// Resource use at one number of databases or entry processes.
#[derive(Debug, Clone, Serialize)]
struct Reading {
    /// Number of databases or entry processes added.
    count: f64,
    /// Processor use of the real entry process, as a share of a core.
    entry_core: f64,
    /// Memory use of the real entry process in bytes.
    entry_bytes: f64,
    /// Network traffic between the real entry process and control, in bytes per second.
    entry_wire: f64,
    /// Processor use of the busiest control process, as a share of a core.
    control_core: f64,
    /// Highest memory use of a control process in bytes.
    control_bytes: f64,
}

/// Runs the measurement and prints tables of readings with the cost per unit, the slope of a fitted
/// line.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("slopes: can't start the runtime: {cause}");
            return Exit::Failed;
        }
    };
    match runtime.block_on(measure(arguments)) {
        Ok(()) => Exit::Done,
        Err(cause) => {
            eprintln!("slopes: {cause}");
            Exit::Failed
        }
    }
}

/// A deployment with one entry process and no services.
fn site() -> Site {
    let zones = Site::teichwert().zones;
    let zones = zones
        .into_iter()
        .map(|zone| Zone {
            entries: u8::from(zone.name == "wien-nord"),
            ..zone
        })
        .collect();
    Site {
        zones,
        services: Vec::new(),
        ..Site::teichwert()
    }
}

/// Configuration document with a number of groups of three databases.
fn document(groups: u16) -> String {
    let mut text = String::from("[entries]\nmax = 9\n");
    for number in 0..groups {
        let name = fake::group(number);
        let _infallible = write!(
            text,
            "\n[[service]]\nname = \"{name}\"\ngroup = \"{name}\"\ndatabases = 3\n"
        );
    }
    text
}

async fn measure(arguments: &Arguments) -> Result<(), LabError> {
    let options = direct_options(&arguments.programs, &arguments.folder, 0);
    let mut deployment = Deployment::start(site(), options)?;
    let duration = Duration::from_secs(arguments.seconds);
    let mut readings = vec![take_reading(&deployment, 0.0, duration).await?];
    for count in DATABASE_COUNTS {
        let announcing = add_databases(&deployment, count).await?;
        sleep(SETTLE).await;
        readings.push(take_reading(&deployment, f64::from(count), duration).await?);
        announcing.store(false, Ordering::SeqCst);
    }
    print_table("databases before one entry process", &readings);
    if arguments.databases {
        println!("stopped badly: {:?}", deployment.stop());
        return Ok(());
    }
    let versions = Versions::default();
    let mut readings = vec![take_reading(&deployment, 0.0, duration).await?];
    let mut started = 0;
    for count in ENTRY_COUNTS {
        while started < count {
            for control in deployment.site.controls() {
                let entry = fake::run_entry(started, control, Rc::clone(&versions));
                compio::runtime::spawn(async move {
                    if let Err(cause) = entry.await {
                        eprintln!("slopes: a fake entry process failed: {cause}");
                    }
                })
                .detach();
            }
            started += 1;
        }
        sleep(SETTLE).await;
        readings.push(take_reading(&deployment, f64::from(count), duration).await?);
    }
    print_table("entry processes", &readings);
    measure_changes(&deployment, &versions).await?;
    println!("stopped badly: {:?}", deployment.stop());
    Ok(())
}

/// Starts fake databases up to `count`, and waits until their groups have a primary.
///
/// A thread announces them every second until the returned flag is cleared.
async fn add_databases(deployment: &Deployment, count: u16) -> Result<Arc<AtomicBool>, LabError> {
    thread_local! {
        static STARTED: RefCell<u16> = const { RefCell::new(0) };
    }
    let first = STARTED.with(|started| started.replace(count));
    for number in first..count {
        let member = Rc::new(Member::new(number));
        compio::runtime::spawn(async move {
            if let Err(cause) = member.serve().await {
                eprintln!("slopes: a fake database failed: {cause}");
            }
        })
        .detach();
    }
    let announcing = Arc::new(AtomicBool::new(true));
    let keep_announcing = Arc::clone(&announcing);
    let http = deployment.site.entries()[0].http();
    let zones = deployment.site.zones.clone();
    std::thread::spawn(move || {
        while keep_announcing.load(Ordering::SeqCst) {
            let round_start = Instant::now();
            for number in 0..count {
                let zone = &zones[usize::from(number) % zones.len()];
                let body = Member::new(number).announcement(zone.name, zone.region);
                let _repeated_in_next_round = post_json(http, "/v1/announce", &body);
            }
            std::thread::sleep(Duration::from_secs(1).saturating_sub(round_start.elapsed()));
        }
    });
    deployment.admin().submit(&document(count / 3), TIMEOUT)?;
    let end = Instant::now() + TIMEOUT;
    loop {
        let status = deployment.admin().status()?;
        let stable = status["groups"].as_array().map_or(0, |groups| {
            groups
                .iter()
                .filter(|group| group["state"] == "stable")
                .count()
        });
        if stable >= usize::from(count / 3) {
            return Ok(announcing);
        }
        if Instant::now() > end {
            return Err(LabError::NotReady(format!(
                "{stable} of {} groups",
                count / 3
            )));
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Measures the resource use for some time.
async fn take_reading(
    deployment: &Deployment,
    count: f64,
    duration: Duration,
) -> Result<Reading, LabError> {
    let entry = deployment.site.entries()[0];
    let hosts: Vec<Host> = deployment
        .site
        .controls()
        .into_iter()
        .chain([entry])
        .collect();
    let mut before = Vec::new();
    for &host in &hosts {
        before.push(deployment.usage(host)?);
    }
    let traffic_before = control_traffic(deployment)?;
    sleep(duration).await;
    let traffic_after = control_traffic(deployment)?;
    let mut uses = Vec::new();
    for (&host, before) in hosts.iter().zip(before) {
        let after = deployment.usage(host)?;
        let busy = after.busy.saturating_sub(before.busy).as_secs_f64();
        uses.push((busy / duration.as_secs_f64(), to_f64(after.resident)));
    }
    let (entry_core, entry_bytes) = uses.pop().unwrap_or_default();
    Ok(Reading {
        count,
        entry_core,
        entry_bytes,
        entry_wire: (traffic_after - traffic_before) / duration.as_secs_f64(),
        control_core: uses.iter().map(|used| used.0).fold(0.0, f64::max),
        control_bytes: uses.iter().map(|used| used.1).fold(0.0, f64::max),
    })
}

/// Bytes sent and received so far between the real entry process and control.
fn control_traffic(deployment: &Deployment) -> Result<f64, LabError> {
    experiment::sum_metric(deployment, "goldcrestrail_control_bytes_total", "direction")
        .map(|sums| sums.values().sum())
}

fn to_f64(bytes: u64) -> f64 {
    // The size in KiB fits in 32 bits, and f64 represents every u32 exactly.
    u32::try_from(bytes / 1_024).map_or(f64::INFINITY, |kib| f64::from(kib) * 1_024.0)
}

/// Submits consecutive changes, waits until each has arrived at every fake entry process, and
/// prints the cost and delay.
async fn measure_changes(deployment: &Deployment, versions: &Versions) -> Result<(), LabError> {
    println!("\n| changes | control ms per change | p50 ms to all | max ms to all |");
    println!("|---|---|---|---|");
    for count in CHANGE_COUNTS {
        let hosts = deployment.site.controls();
        let mut before = Vec::new();
        for &host in &hosts {
            before.push(deployment.usage(host)?.busy);
        }
        let mut times = Vec::new();
        for i in 0..count {
            let text = format!(
                "# change {count}-{i}\n{}",
                document(DATABASE_COUNTS[DATABASE_COUNTS.len() - 1] / 3)
            );
            let start = Instant::now();
            let admin = deployment.admin();
            // The call blocks, and the fakes run on this thread.
            let submission = compio::runtime::spawn_blocking(move || admin.submit(&text, TIMEOUT));
            let version = submission
                .await
                .map_err(|_panic| LabError::Admin("the submitting thread panicked".into()))??;
            wait_received(versions, version).await?;
            times.push(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        }
        times.sort_unstable();
        let mut max_busy = Duration::ZERO;
        for (&host, before) in hosts.iter().zip(before) {
            max_busy = max_busy.max(deployment.usage(host)?.busy.saturating_sub(before));
        }
        println!(
            "| {count} | {:.2} | {} | {} |",
            max_busy.as_secs_f64() * 1_000.0 / f64::from(count),
            times[times.len() / 2],
            times[times.len() - 1]
        );
    }
    Ok(())
}

/// Waits until every fake entry process has received a version.
async fn wait_received(versions: &Versions, version: u64) -> Result<(), LabError> {
    let end = Instant::now() + TIMEOUT;
    while versions.borrow().values().any(|&seen| seen < version) {
        if Instant::now() > end {
            return Err(LabError::NotReady(format!(
                "version {version} at every entry process"
            )));
        }
        sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

/// Slope of the least-squares line through the points, and the maximum deviation from it as a share
/// of the range of values.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.iter().fold(0.0, |sum, _| sum + 1.0);
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum::<f64>();
    let variance = points
        .iter()
        .map(|point| (point.0 - x).powi(2))
        .sum::<f64>();
    let slope = covariance / variance;
    let values = points.iter().map(|point| point.1);
    let range = values.clone().fold(f64::MIN, f64::max) - values.fold(f64::MAX, f64::min);
    let deviations = points
        .iter()
        .map(|point| (point.1 - (y + slope * (point.0 - x))).abs());
    let deviation = deviations.fold(0.0, f64::max);
    (slope, if range > 0.0 { deviation / range } else { 0.0 })
}

/// Selects a value of a reading.
type Column = fn(&Reading) -> f64;

fn print_table(name: &str, readings: &[Reading]) {
    println!("\n| {name} | entry core % | entry MiB | entry KB/s | control core % | control MiB |");
    println!("|---|---|---|---|---|---|");
    for r in readings {
        println!(
            "| {} | {:.3} | {:.2} | {:.2} | {:.3} | {:.2} |",
            r.count,
            r.entry_core * 100.0,
            r.entry_bytes / 1_048_576.0,
            r.entry_wire / 1_000.0,
            r.control_core * 100.0,
            r.control_bytes / 1_048_576.0
        );
    }
    let columns: [(&str, Column); 5] = [
        ("entry core share", |r| r.entry_core),
        ("entry bytes", |r| r.entry_bytes),
        ("entry wire bytes/s", |r| r.entry_wire),
        ("control core share", |r| r.control_core),
        ("control bytes", |r| r.control_bytes),
    ];
    for (column, value) in columns {
        let points: Vec<(f64, f64)> = readings.iter().map(|r| (r.count, value(r))).collect();
        let (slope, deviation) = fit_line(&points);
        println!(
            "{column}: {slope:.3e} each, off the line by at most {:.0}%",
            deviation * 100.0
        );
    }
}
