//! Runs a deployment for manual tests until standard input ends.

use std::io::Read as _;

use base::Exit;

use crate::{
    admin::TOKEN,
    arguments::{arguments, relayed_options},
    deployment::Deployment,
    error::LabError,
    relay::Relay,
    site::Site,
};

arguments! {
    /// Command line.
    folder = "run/up",
    #[options(free, help = "teichwert (default) or watchrolls")]
    site: Option<String>,
}

/// Starts a deployment and stops it when standard input ends.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let site = match Site::from_argument("up", arguments.site.as_deref()) {
        Ok(site) => site,
        Err(exit) => return exit,
    };
    let outcome = crate::runtime()
        .and_then(|runtime| runtime.block_on(run_until_end_of_input(site, arguments)));
    match outcome {
        Ok(failed) if failed.is_empty() => Exit::Done,
        Ok(failed) => {
            eprintln!(
                "up: these processes did not shut down cleanly: {}",
                failed.join(", ")
            );
            Exit::Failed
        }
        Err(cause) => {
            eprintln!("up: {cause}");
            Exit::Failed
        }
    }
}

async fn run_until_end_of_input(
    site: Site,
    arguments: &Arguments,
) -> Result<Vec<String>, LabError> {
    let _relay = Relay::start(&site).await?;
    let options = relayed_options(&arguments.programs, &arguments.folder);
    tokio::task::block_in_place(|| {
        let mut deployment = Deployment::start(site, options)?;
        for host in deployment.hosts() {
            let name = deployment.site.process_name(host);
            println!("{name}: {} http {}", host.address(), host.http());
        }
        println!("services: {}", deployment.site.services.join(", "));
        println!("operator's token: {TOKEN}");
        println!("running; close standard input (Ctrl-D) to stop everything");
        let _end_of_input = std::io::stdin().read_to_end(&mut Vec::new());
        Ok(deployment.stop())
    })
}
