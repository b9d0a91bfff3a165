//! Clients that prepare a statement, run it and drop it again, each time with another shape.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::Session,
    deployment::{Deployment, PRIMARY_ROUTE, Sizes, serves_write},
    record::Record,
};

/// Memory of a front machine of the site, in MB.
const MEMORY_MB: u32 = 160;
/// Clients, each with one session that has at most one prepared name.
const CLIENTS: u64 = 8;
/// Time for which the clients send, unless the memory passes the limit before.
const LENGTH: Duration = Duration::from_secs(75);
/// Time between two readings of the memory.
const READING: Duration = Duration::from_secs(3);
/// Length of a shape, in bytes.
const SHAPE_BYTES: usize = 250;
/// Shapes that the clients use in turn without the trouble.
const FEW_SHAPES: u64 = 20;
/// Every so many rounds of a client are recorded.
const RECORDED: u64 = 1_000;

const SIZES: Sizes = Sizes {
    memory_mb: MEMORY_MB,
    descriptors: 4_400,
    connections: 26,
    timeout_ms: 800,
    idle_ms: 3_000,
    entries: 1,
};

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record, &SIZES)?;
    let before = deployment.entry_peak_mb();
    let before = before.ok_or("the memory of the entry host can't be read")?;
    let (front, start) = (deployment.front, Instant::now());
    let (shapes, served) = (AtomicU64::new(0), AtomicU64::new(0));
    let ended = AtomicBool::new(false);
    let mut peak = before;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (shapes, served, ended) = (&shapes, &served, &ended);
            scope.spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let sent = send(record, front, client, trouble, ended, shapes, served);
                    if let Err(cause) = sent {
                        record.line(&format!("client {client}: {cause}"));
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
        while start.elapsed() < LENGTH && peak <= u64::from(MEMORY_MB) {
            thread::sleep(READING);
            peak = deployment.entry_peak_mb().unwrap_or(peak);
            let (shapes, served) = (shapes.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
            record.line(&format!(
                "{shapes} shapes, {served} reads served, entry host {peak} MB"
            ));
        }
        ended.store(true, Ordering::SeqCst);
    });
    let ordinary = serves_write(deployment.front, "ordinary");
    record.line(&format!("ordinary write: {ordinary:?}"));
    record.line(&format!("entry host runs: {}", deployment.entry_runs()));
    record.line(&format!(
        "entry host's memory: {before} MB before, {peak} MB at most, {MEMORY_MB} MB allowed"
    ));
    let within = peak <= u64::from(MEMORY_MB);
    Ok(if deployment.entry_runs() && within {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Runs one session of a client until the case has `ended` or its first error.
fn send(
    record: &Record,
    front: SocketAddr,
    client: u64,
    trouble: bool,
    ended: &AtomicBool,
    shapes: &AtomicU64,
    served: &AtomicU64,
) -> Result<(), String> {
    let mut session = Session::connect(front, PRIMARY_ROUTE)?;
    for round in 0_u64.. {
        if ended.load(Ordering::SeqCst) {
            break;
        }
        let number = if trouble {
            shapes.fetch_add(1, Ordering::SeqCst)
        } else {
            round % FEW_SHAPES
        };
        let shape = format!("SELECT_V_{number:08}_{}", "Q".repeat(SHAPE_BYTES - 18));
        let prepared = session.run("p", &format!("PREPARE s1 FETCH {shape}"))?;
        let answer = session.run(&format!("r{client}x{round}"), "EXECUTE s1 1a4")?;
        let dropped = session.run("d", "DEALLOC s1")?;
        if !prepared.starts_with("COMPLETE") || !dropped.starts_with("COMPLETE") {
            return Err(format!("{prepared}, {dropped}"));
        }
        served.fetch_add(u64::from(answer.starts_with("COMPLETE")), Ordering::SeqCst);
        if round % RECORDED == 0 {
            record.line(&format!(
                "client {client} round {round}, shape {shape:.20}: {answer}"
            ));
        }
    }
    Ok(())
}
