//! The `account` subcommand: reads and changes client accounts.

use crate::config::Config;
use crate::documents::{self, Action};
use apricotrun::transport::error::CliResult;

/// The arguments of `account`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

/// Runs the given action on accounts.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    documents::run(config, "account", args.action).await
}
