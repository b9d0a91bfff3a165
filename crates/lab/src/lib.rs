//! Experiment tools: deployments, network relay, load, history checker and scenarios.
//!
//! These are test harnesses: they start, freeze and kill the product's processes. The product's
//! own processes start none.

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

/// Runtime of an experiment, which shares the machine with the deployment.
///
/// # Errors
/// The operating system refuses threads.
pub fn runtime() -> Result<tokio::runtime::Runtime, LabError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|cause| LabError::Io("no runtime".into(), cause))
}

/// Adds a value to a histogram that resizes itself.
///
/// # Panics
/// The histogram was made with fixed bounds.
pub fn sample(histogram: &mut hdrhistogram::Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("the histogram resizes itself");
}
