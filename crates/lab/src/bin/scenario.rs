//! Plays scenario files against real processes: see `scripts/scenario`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::scenario::run(&lab::scenario::Arguments::parse_args_default_or_exit())
}
