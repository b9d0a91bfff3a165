//! Clients that prepare statements and run each once, each time with another shape.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::Session,
    deployment::{Deployment, PRIMARY_ROUTE, Sizes},
    memory::{ENDS, ENTRIES, MACHINES, READING, SIZES},
    record::Record,
};

/// Clients of each entry host, each with one session at a time.
const CLIENTS: u64 = 8;
/// Statements that a session prepares before it ends.
const NAMES: u64 = 500;
/// Time for which the clients send, unless the rule is broken before.
const LENGTH: Duration = Duration::from_secs(100);
/// Length of a shape, in bytes.
const SHAPE_BYTES: usize = 250;
/// Shapes that the clients use in turn without the trouble.
const FEW_SHAPES: u64 = 20;
/// Every so many rounds of a client are recorded.
const RECORDED: u64 = 5_000;
/// Time between two lines of the record on the memory.
const REPORT: Duration = Duration::from_secs(3);

/// What the clients share.
struct Shared<'a> {
    record: &'a Record,
    trouble: bool,
    ended: AtomicBool,
    shapes: AtomicU64,
    served: AtomicU64,
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let sizes = Sizes {
        entries: ENTRIES,
        ..SIZES
    };
    let mut deployment = Deployment::start(record, &sizes)?;
    let start = Instant::now();
    let shared = Shared {
        record,
        trouble,
        ended: AtomicBool::new(false),
        shapes: AtomicU64::new(0),
        served: AtomicU64::new(0),
    };
    let mut supervised = Ok(());
    thread::scope(|scope| {
        for front in deployment.fronts.clone() {
            for client in 0..CLIENTS {
                let shared = &shared;
                scope.spawn(move || {
                    while !shared.ended.load(Ordering::SeqCst) {
                        if let Err(cause) = shared.send(front, client) {
                            record.line(&format!("client {client} of {front}: {cause}"));
                            thread::sleep(Duration::from_millis(200));
                        }
                    }
                });
            }
        }
        let mut reported = Instant::now();
        while start.elapsed() < LENGTH && deployment.ended_often(ENDS) < MACHINES {
            thread::sleep(READING);
            supervised = deployment.supervise(record);
            if supervised.is_err() {
                break;
            }
            if reported.elapsed() >= REPORT {
                reported = Instant::now();
                let (shapes, served) = (&shared.shapes, &shared.served);
                record.line(&format!(
                    "{} shapes, {} reads served, entry hosts {:?} MB",
                    shapes.load(Ordering::SeqCst),
                    served.load(Ordering::SeqCst),
                    deployment.entry_memory_mb()
                ));
            }
        }
        shared.ended.store(true, Ordering::SeqCst);
    });
    supervised?;
    let often = deployment.ended_often(ENDS);
    record.line(&format!(
        "entry hosts whose process ended {ENDS} times: {often}"
    ));
    Ok(if often >= MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

impl Shared<'_> {
    /// Runs one session of a client until the case has ended or its first error.
    fn send(&self, front: SocketAddr, client: u64) -> Result<(), String> {
        let mut session = Session::connect(front, PRIMARY_ROUTE)?;
        for name in 0..NAMES {
            if self.ended.load(Ordering::SeqCst) {
                break;
            }
            let number = if self.trouble {
                self.shapes.fetch_add(1, Ordering::SeqCst)
            } else {
                name % FEW_SHAPES
            };
            let shape = format!("SELECT_V_{number:08}_{}", "Q".repeat(SHAPE_BYTES - 18));
            let prepared = session.run("p", &format!("PREPARE s{name} FETCH {shape}"))?;
            if !prepared.starts_with("COMPLETE") {
                return Err(prepared);
            }
            let answer = session.run(
                &format!("r{client}x{name}"),
                &format!("EXECUTE s{name} 1a4"),
            )?;
            let served = answer.starts_with("COMPLETE");
            let served = self.served.fetch_add(u64::from(served), Ordering::SeqCst);
            if served % RECORDED == 0 {
                self.record.line(&format!(
                    "client {client} of {front} statement {name}, shape {shape:.20}: {answer}"
                ));
            }
        }
        session.send("QUIT\r\n")?;
        Ok(())
    }
}
