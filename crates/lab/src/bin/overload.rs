//! Measures the goodput under overload: see `scripts/overload`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::overload::run(&lab::overload::Arguments::parse_args_default_or_exit())
}
