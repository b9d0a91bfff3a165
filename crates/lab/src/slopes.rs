//! What each entry process, database and configuration change costs the control side.

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
    arguments::{arguments, direct},
    deployment::Deployment,
    error::LabError,
    experiment,
    fake::{self, Member, Versions},
    site::{Host, Site, Zone},
};

/// Databases before one entry process, at which cost is read.
const DATABASES: [u16; 4] = [9, 24, 90, 180];
/// Further entry processes at which cost is read.
const ENTRIES: [u32; 4] = [50, 100, 200, 400];
/// Configuration changes in a row at which cost is read.
const CHANGES: [u32; 3] = [25, 50, 100];
/// Time for connections and records to settle.
const SETTLE: Duration = Duration::from_secs(5);
/// Longest time for all groups to get a primary or a change to arrive.
const WAIT: Duration = Duration::from_mins(1);

arguments! {
    /// Command line of the slopes.
    folder = "run/slopes",
    #[options(help = "read only the cost of databases")]
    databases: bool,
    #[options(help = "seconds of each reading", default = "10")]
    seconds: u64,
}

/// One reading.
#[derive(Debug, Clone, Serialize)]
struct Reading {
    /// Number of things that were added.
    count: f64,
    /// Share of a core of the real entry process.
    entry_core: f64,
    /// Memory of the real entry process in bytes.
    entry_bytes: f64,
    /// Bytes per second between the real entry process and control.
    entry_wire: f64,
    /// Share of a core of the busiest control process.
    control_core: f64,
    /// Memory of the largest control process in bytes.
    control_bytes: f64,
}

/// Runs the measurement and prints a table of readings with their slopes.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("slopes: no runtime: {cause}");
            return Exit::Failed;
        }
    };
    match runtime.block_on(play(arguments)) {
        Ok(()) => Exit::Done,
        Err(cause) => {
            eprintln!("slopes: {cause}");
            Exit::Failed
        }
    }
}

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

async fn play(arguments: &Arguments) -> Result<(), LabError> {
    let choice = direct(&arguments.programs, &arguments.folder, 0);
    let mut deployment = Deployment::start(site(), choice)?;
    let length = Duration::from_secs(arguments.seconds);
    let mut readings = vec![read(&deployment, 0.0, length).await?];
    for count in DATABASES {
        let announcing = add_databases(&deployment, count).await?;
        sleep(SETTLE).await;
        readings.push(read(&deployment, f64::from(count), length).await?);
        announcing.store(false, Ordering::SeqCst);
    }
    print("databases before one entry process", &readings);
    if arguments.databases {
        println!("stopped badly: {:?}", deployment.stop());
        return Ok(());
    }
    let versions = Versions::default();
    let mut readings = vec![read(&deployment, 0.0, length).await?];
    let mut started = 0;
    for count in ENTRIES {
        while started < count {
            for control in deployment.site.controls() {
                let entry = fake::run_entry(started, control, Rc::clone(&versions));
                compio::runtime::spawn(async move {
                    if let Err(cause) = entry.await {
                        eprintln!("slopes: an entry process ended: {cause}");
                    }
                })
                .detach();
            }
            started += 1;
        }
        sleep(SETTLE).await;
        readings.push(read(&deployment, f64::from(count), length).await?);
    }
    print("entry processes", &readings);
    changes(&deployment, &versions).await?;
    println!("stopped badly: {:?}", deployment.stop());
    Ok(())
}

/// Serves and announces members up to `count`, and waits until their groups have a primary.
async fn add_databases(deployment: &Deployment, count: u16) -> Result<Arc<AtomicBool>, LabError> {
    thread_local! {
        static SERVED: RefCell<u16> = const { RefCell::new(0) };
    }
    let first = SERVED.with(|served| served.replace(count));
    for number in first..count {
        let member = Rc::new(Member::new(number));
        compio::runtime::spawn(async move {
            if let Err(cause) = member.serve().await {
                eprintln!("slopes: a member ended: {cause}");
            }
        })
        .detach();
    }
    let announcing = Arc::new(AtomicBool::new(true));
    let go = Arc::clone(&announcing);
    let http = deployment.site.entries()[0].http();
    let zones = deployment.site.zones.clone();
    std::thread::spawn(move || {
        while go.load(Ordering::SeqCst) {
            let round = Instant::now();
            for number in 0..count {
                let zone = &zones[usize::from(number) % zones.len()];
                let body = Member::new(number).announcement(zone.name, zone.region);
                let _next_round_repeats = post_json(http, "/v1/announce", &body);
            }
            std::thread::sleep(Duration::from_secs(1).saturating_sub(round.elapsed()));
        }
    });
    deployment.admin().submit(&document(count / 3), WAIT)?;
    let end = Instant::now() + WAIT;
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

async fn read(deployment: &Deployment, count: f64, length: Duration) -> Result<Reading, LabError> {
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
    let wire_before = wire(deployment)?;
    sleep(length).await;
    let wire_after = wire(deployment)?;
    let mut shares = Vec::new();
    for (&host, before) in hosts.iter().zip(before) {
        let after = deployment.usage(host)?;
        let busy = after.busy.saturating_sub(before.busy).as_secs_f64();
        shares.push((busy / length.as_secs_f64(), to_f64(after.resident)));
    }
    let (entry_core, entry_bytes) = shares.pop().unwrap_or_default();
    Ok(Reading {
        count,
        entry_core,
        entry_bytes,
        entry_wire: (wire_after - wire_before) / length.as_secs_f64(),
        control_core: shares.iter().map(|share| share.0).fold(0.0, f64::max),
        control_bytes: shares.iter().map(|share| share.1).fold(0.0, f64::max),
    })
}

fn wire(deployment: &Deployment) -> Result<f64, LabError> {
    experiment::counter(deployment, "goldcrestrail_control_bytes_total", "direction")
        .map(|sums| sums.values().sum())
}

fn to_f64(bytes: u64) -> f64 {
    // Memory in whole KiB fits 32 bits.
    u32::try_from(bytes / 1_024).map_or(f64::INFINITY, |kib| f64::from(kib) * 1_024.0)
}

/// Submits changes in a row and waits until every entry process has each.
async fn changes(deployment: &Deployment, versions: &Versions) -> Result<(), LabError> {
    println!("\n| changes | control ms per change | p50 ms to all | max ms to all |");
    println!("|---|---|---|---|");
    for count in CHANGES {
        let hosts = deployment.site.controls();
        let mut before = Vec::new();
        for &host in &hosts {
            before.push(deployment.usage(host)?.busy);
        }
        let mut times = Vec::new();
        for i in 0..count {
            let text = format!(
                "# change {count}-{i}\n{}",
                document(DATABASES[DATABASES.len() - 1] / 3)
            );
            let start = Instant::now();
            let admin = deployment.admin();
            // The blocking call must not hold up the tasks on this thread.
            let submitting = compio::runtime::spawn_blocking(move || admin.submit(&text, WAIT));
            let version = submitting
                .await
                .map_err(|_panic| LabError::Admin("the submitting thread ended".into()))??;
            arrived(versions, version).await?;
            times.push(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        }
        times.sort_unstable();
        let mut most = Duration::ZERO;
        for (&host, before) in hosts.iter().zip(before) {
            most = most.max(deployment.usage(host)?.busy.saturating_sub(before));
        }
        println!(
            "| {count} | {:.2} | {} | {} |",
            most.as_secs_f64() * 1_000.0 / f64::from(count),
            times[times.len() / 2],
            times[times.len() - 1]
        );
    }
    Ok(())
}

async fn arrived(versions: &Versions, version: u64) -> Result<(), LabError> {
    let end = Instant::now() + WAIT;
    while versions.borrow().values().any(|&seen| seen < version) {
        if Instant::now() > end {
            return Err(LabError::NotReady(format!("version {version} everywhere")));
        }
        sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

/// Slope of a least-squares line through the points, and its greatest deviation as a share of the
/// range of values.
#[must_use]
pub fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.iter().fold(0.0, |sum, _| sum + 1.0);
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let above = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum::<f64>();
    let below = points
        .iter()
        .map(|point| (point.0 - x).powi(2))
        .sum::<f64>();
    let slope = above / below;
    let values = points.iter().map(|point| point.1);
    let range = values.clone().fold(f64::MIN, f64::max) - values.fold(f64::MAX, f64::min);
    let off = points
        .iter()
        .map(|point| (point.1 - (y + slope * (point.0 - x))).abs());
    let off = off.fold(0.0, f64::max);
    (slope, if range > 0.0 { off / range } else { 0.0 })
}

/// Picks one figure of a reading.
type Column = fn(&Reading) -> f64;

fn print(name: &str, readings: &[Reading]) {
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
    for (column, pick) in columns {
        let points: Vec<(f64, f64)> = readings.iter().map(|r| (r.count, pick(r))).collect();
        let (slope, off) = line(&points);
        println!(
            "{column}: {slope:.3e} each, off the line by at most {:.0}%",
            off * 100.0
        );
    }
}
