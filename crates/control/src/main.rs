//! Command line of the control daemon.

use std::path::PathBuf;

use base::Exit;
use control::{run, settings::Settings};
use gumdrop::Options;

/// Command line options.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(
        no_short,
        help = "create the data directory of a founding host and exit"
    )]
    format: bool,
}

fn main() -> Exit {
    // In test builds, the environment variable FAILPOINTS configures fault points at startup.
    #[cfg(feature = "failpoints")]
    let _scenario = fail::FailScenario::setup();
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(path) = arguments.settings else {
        eprintln!("control: --settings is missing; give the settings file");
        return Exit::Usage;
    };
    let settings: Settings = match base::settings::load(&path) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("control: {cause}");
            return Exit::Usage;
        }
    };
    if arguments.format {
        return match agree::format(&settings.data, &settings.name) {
            Ok(()) => Exit::Done,
            Err(cause) => {
                eprintln!("control: {cause}");
                Exit::Failed
            }
        };
    }
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("control: the runtime can't start: {cause}");
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let mut signals = match run::stop_signals() {
            Ok(signals) => signals,
            Err(cause) => {
                eprintln!("control: signals can't be received: {cause}");
                return Exit::Failed;
            }
        };
        let (logger, _flush) = base::log::logger("control", &settings.name);
        match run::run(settings, logger.clone(), signals.next()).await {
            Ok(exit) => exit,
            Err(cause) => {
                slog::crit!(logger, "the control host can't start"; "cause" => %cause);
                Exit::Failed
            }
        }
    })
}
