//! Command line for operators.
//!
//! ```text
//! goldcrestrail --control 127.0.1.31:8031 --token-file ~/.goldcrestrail status
//! ```

mod arguments;
mod client;
mod commands;
mod failure;
mod table;

use base::Exit;
use gumdrop::{Options as _, ParsingStyle};

use crate::{arguments::Arguments, failure::Failure};

fn main() -> Exit {
    match run() {
        Ok(()) => Exit::Done,
        Err(failure) => {
            eprintln!("error: {}", table::printable(&failure.cause));
            eprintln!("fix: {}", table::printable(&failure.fix));
            failure.exit
        }
    }
}

fn run() -> Result<(), Failure> {
    let args: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let args = arguments::move_global_options_first(args);
    let parsed = Arguments::parse_args(&args, ParsingStyle::AllOptions).map_err(|cause| {
        Failure::usage(
            cause.to_string(),
            "`goldcrestrail --help` lists the commands and options",
        )
    })?;
    if parsed.version {
        println!("goldcrestrail {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if parsed.help_requested() {
        println!("{}", arguments::help(&parsed));
        return Ok(());
    }
    commands::run(&parsed)
}
