//! Sends work to an upstream again.

use crate::config::Config;
use crate::drain::{UpstreamArgs, set_leaving};
use apricotrun::transport::error::CliResult;

/// The arguments of `undrain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    target: Target,
}

#[derive(Debug, clap::Subcommand)]
enum Target {
    /// Sends work to an upstream again.
    Upstream(UpstreamArgs),
}

/// Undrains the target.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    let Target::Upstream(upstream) = args.target;
    set_leaving(config, &upstream, false).await
}
