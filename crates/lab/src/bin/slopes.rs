//! Measures the cost of control per thing controlled: see `scripts/slopes`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::slopes::run(&lab::slopes::Arguments::parse_args_default_or_exit())
}
