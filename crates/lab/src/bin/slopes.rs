//! Measures the cost to control of databases, entry processes and changes: see `scripts/slopes`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::slopes::run(&lab::slopes::Arguments::parse_args_default_or_exit())
}
