//! Reads and changes accounts.

use crate::config::Config;
use crate::documents::{self, Action};
use apricotrun::transport::error::CliResult;

/// The arguments of `account`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

/// Carries the action out.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    documents::run(config, "account", args.action).await
}
