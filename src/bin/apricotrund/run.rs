//! The `run` subcommand: runs the daemon.

use apricotrun::transport::daemon;
use apricotrun::transport::error::CliResult;
use apricotrun::transport::settings::DaemonSettings;
use std::path::Path;

/// The arguments of `run`.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Runs the daemon until it is asked to stop.
pub fn run(config: &Path, _args: Args) -> CliResult<()> {
    daemon::run(DaemonSettings::read(config)?)
}
