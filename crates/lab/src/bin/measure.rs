//! Measures replica read share and failover gaps: see `scripts/measure`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::measure::run(&lab::measure::Arguments::parse_args_default_or_exit())
}
