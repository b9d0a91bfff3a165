//! Experiment tools: deployments, network relay, load, history checker and scenarios.
//!
//! These are test harnesses: they start, freeze and kill the product's processes. The product's
//! own processes start none.

pub mod admin;
pub mod caller;
pub mod checker;
pub mod demo;
pub mod deployment;
pub mod error;
pub mod experiment;
pub mod load;
pub mod process;
pub mod relay;
pub mod site;
pub mod stores;

pub use error::LabError;
