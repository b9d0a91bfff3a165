//! Command line of the entry process.

use std::path::PathBuf;

use base::Exit;
use gumdrop::Options as _;

/// Command-line options.
#[derive(Debug, gumdrop::Options)]
struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file", meta = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> Exit {
    // In a test build, the environment variable FAILPOINTS configures fault points at startup.
    #[cfg(feature = "failpoints")]
    let _scenario = fail::FailScenario::setup();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(cause) => {
            eprintln!("entry: {cause}; see entry --help");
            return Exit::Usage;
        }
    };
    if options.help {
        println!("Usage: entry --settings FILE\n\n{}", Options::usage());
        return Exit::Done;
    }
    let Some(file) = options.settings else {
        eprintln!("entry: no settings file; give one with --settings FILE");
        return Exit::Usage;
    };
    entry::run::run(&file)
}
