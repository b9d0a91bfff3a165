//! Runs the demonstration: see `scripts/demo`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::demo::run(&lab::demo::Arguments::parse_args_default_or_exit())
}
