//! The `undrain` subcommand: puts a drained upstream back into service.

use crate::config::Config;
use crate::drain::{UpstreamArgs, set_draining};
use apricotrun::transport::error::CliResult;

/// The arguments of `undrain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    target: Target,
}

#[derive(Debug, clap::Subcommand)]
enum Target {
    /// Sends new work to a drained upstream again.
    Upstream(UpstreamArgs),
}

/// Puts the upstream back into service.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    let Target::Upstream(upstream) = args.target;
    set_draining(config, &upstream, false).await
}
