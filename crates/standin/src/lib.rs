//! Stand-in for one database of a group, used to test goldcrestrail.
//!
//! It speaks the PostgreSQL protocol with a small subset of SQL, keeps its rows in memory and its
//! log in one file, and implements the upstream interface of the design page.

mod announce;
mod answer;
mod command;
pub mod daemon;
mod eval;
mod exec;
mod fault;
mod feed;
mod follow;
mod http;
mod locks;
pub mod log;
mod login;
mod manage;
mod member;
mod metrics;
mod parse;
mod prepared;
pub mod refusal;
mod session;
pub mod settings;
mod signal;
mod slots;
mod store;
pub mod table;
mod tx;
mod types;
pub mod value;

use std::path::Path;

use base::Exit;
use slog::error;

pub use daemon::{Daemon, StartError};
pub use refusal::Refusal;
pub use settings::Settings;

/// Runs a member with the settings in a file until SIGTERM.
#[must_use]
pub fn run(path: &Path) -> Exit {
    let settings: Settings = match base::settings::load(path) {
        Ok(settings) => settings,
        Err(cause) => {
            error!(base::log::logger("standin", ""), "settings refused"; "cause" => %cause);
            return Exit::Usage;
        }
    };
    let log = base::log::logger("standin", &settings.member);
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            error!(log, "no runtime"; "cause" => %cause);
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let mut signals = match signal::Signals::new() {
            Ok(signals) => signals,
            Err(cause) => {
                error!(log, "signals can't be handled"; "cause" => %cause);
                return Exit::Failed;
            }
        };
        match Daemon::open(settings, log.clone()).await {
            Ok(daemon) => daemon.serve(async || signals.next().await).await,
            Err(cause) => {
                error!(log, "can't start"; "cause" => %cause);
                Exit::Failed
            }
        }
    })
}
