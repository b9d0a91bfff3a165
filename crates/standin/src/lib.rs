//! Stand-in for one database of a group, used to test goldcrestrail.
//!
//! It speaks the PostgreSQL protocol with a small subset of SQL, keeps rows in memory and its log
//! in one file, and implements the upstream interface described in the design document.

mod announce;
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
mod management;
mod member;
mod metrics;
mod parse;
mod prepared;
mod response;
mod session;
pub mod settings;
mod slots;
pub mod sql_error;
mod store;
pub mod table;
mod tx;
mod types;
pub mod value;

use std::{path::Path, time::Duration};

use base::{
    Exit,
    signals::{SIGINT, SIGTERM, Signals, limit_stop},
};
use slog::error;

pub use daemon::{Daemon, StartError};
pub use settings::Settings;
pub use sql_error::SqlError;

/// Longest duration of a stop. A process whose event loop is blocked is ended after it.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Runs a member with the settings in a file until SIGTERM or SIGINT.
#[must_use]
pub fn run(path: &Path) -> Exit {
    let settings: Settings = match base::settings::load(path) {
        Ok(settings) => settings,
        Err(cause) => {
            let (log, _flush) = base::log::logger("standin", "");
            error!(log, "invalid settings"; "cause" => %cause);
            return Exit::Usage;
        }
    };
    let (log, _flush) = base::log::logger("standin", &settings.member);
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            error!(log, "cannot create the async runtime"; "cause" => %cause);
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let numbers = [SIGTERM, SIGINT];
        let signals = limit_stop(&numbers, STOP_LIMIT).and_then(|()| Signals::new(&numbers));
        let mut signals = match signals {
            Ok(signals) => signals,
            Err(cause) => {
                error!(log, "cannot install signal handlers"; "cause" => %cause);
                return Exit::Failed;
            }
        };
        match Daemon::open(settings, log.clone()).await {
            Ok(daemon) => daemon.serve(async || signals.next().await).await,
            Err(cause) => {
                error!(log, "cannot start"; "cause" => %cause);
                Exit::Failed
            }
        }
    })
}
