//! Runs a deployment for manual tests: see `scripts/up`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::up::run(&lab::up::Arguments::parse_args_default_or_exit())
}
