//! Experiment tools: deployments, network relay, load generator, history checker and scenarios.
//!
//! The tools start, freeze and kill the product's processes. The product itself starts no other
//! processes.

pub mod admin;
pub mod arguments;
mod audit;
pub mod bench;
pub mod caller;
pub mod checker;
mod control_host;
mod database;
pub mod demo;
pub mod deployment;
mod entry_process;
pub mod error;
pub mod experiment;
pub mod fake;
pub mod load;
pub mod measure;
mod network;
mod operator;
pub mod overload;
pub mod pages;
pub mod process;
pub mod reachability;
pub mod relay;
mod replicated_log;
pub mod scenario;
pub mod scenario_run;
pub mod script;
pub mod simulation;
pub mod site;
pub mod slopes;
pub mod stores;
pub mod up;
pub mod usage;

pub use error::LabError;

/// Creates the runtime of an experiment.
///
/// It has two worker threads, because the deployment under test runs on the same machine.
///
/// # Errors
/// The worker threads can't be started.
pub fn runtime() -> Result<tokio::runtime::Runtime, LabError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|cause| LabError::Io("can't start the runtime".into(), cause))
}

/// Records a value in an auto-resizing histogram.
///
/// # Panics
/// The histogram has fixed bounds and the value is outside them.
pub fn record_value(histogram: &mut hdrhistogram::Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("the histogram resizes automatically");
}
