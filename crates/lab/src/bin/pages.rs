//! Runs the commands of the operators' page: see `scripts/pages`.

use base::Exit;
use gumdrop::Options;

fn main() -> Exit {
    lab::pages::run(&lab::pages::Arguments::parse_args_default_or_exit())
}
