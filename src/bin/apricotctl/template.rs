//! The `template` subcommand: reads and changes service templates.

use crate::config::Config;
use crate::documents::{self, Action};
use apricotrun::transport::error::CliResult;

/// The arguments of `template`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

/// Runs the given action on templates.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    documents::run(config, "template", args.action).await
}
