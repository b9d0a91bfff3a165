//! Stand-in for one database of a group.

use std::path::PathBuf;

use base::Exit;
use gumdrop::Options;

/// Stand-in for one database of a group.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Settings file.
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> Exit {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&given) {
        Ok(arguments) => arguments,
        Err(cause) => {
            eprintln!("standin: {cause}; see standin --help");
            return Exit::Usage;
        }
    };
    if arguments.help {
        println!("Usage: standin --settings FILE\n\n{}", Arguments::usage());
        return Exit::Done;
    }
    if let Some(path) = arguments.settings {
        standin::run(&path)
    } else {
        eprintln!("standin: no settings; start it with --settings FILE");
        Exit::Usage
    }
}
