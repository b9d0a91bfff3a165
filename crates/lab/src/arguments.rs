//! Command line options and deployment options that the programs of this crate share.

use std::path::Path;

use crate::deployment::DeploymentOptions;

/// Declares the command line of a program that starts a deployment: its own options, `--programs`
/// and `--folder`. `gumdrop` can't include the fields of one structure in another.
macro_rules! arguments {
    ($(#[$meta:meta])* folder = $folder:tt, $($own:tt)*) => {
        $(#[$meta])*
        #[derive(Debug, gumdrop::Options)]
        pub struct Arguments {
            #[options(help = "print this help")]
            help: bool,
            $($own)*
            #[options(
                help = "folder with the programs",
                default = "target/release",
                meta = "DIR"
            )]
            programs: std::path::PathBuf,
            #[options(
                help = "folder for data and logs, emptied first",
                default = $folder,
                meta = "DIR"
            )]
            folder: std::path::PathBuf,
        }
    };
}

pub(crate) use arguments;

/// Options of a deployment whose traffic passes through the relay, with the latencies of its site.
#[must_use]
pub fn relayed_options(programs: &Path, folder: &Path) -> DeploymentOptions {
    DeploymentOptions {
        programs: programs.to_owned(),
        folder: folder.to_owned(),
        relayed: true,
        lag_ms: 5,
        statement_us: 200,
    }
}

/// Options of a deployment without the relay, whose statements take `statement_us` microseconds.
#[must_use]
pub fn direct_options(programs: &Path, folder: &Path, statement_us: u64) -> DeploymentOptions {
    DeploymentOptions {
        programs: programs.to_owned(),
        folder: folder.to_owned(),
        relayed: false,
        lag_ms: 0,
        statement_us,
    }
}
