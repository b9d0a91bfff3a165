//! Runs the benchmark: see `scripts/bench`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::bench::run(&lab::bench::Arguments::parse_args_default_or_exit())
}
