//! The `check` subcommand: validates a settings file.

use apricotrun::transport::error::CliResult;
use apricotrun::transport::settings::DaemonSettings;
use std::path::Path;

/// The arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Validates the settings file and prints the host and failure domain that it names.
pub fn run(config: &Path, _args: Args) -> CliResult<()> {
    let settings = DaemonSettings::read(config)?;
    println!("{}: valid for host {} in {}", config.display(), settings.host, settings.domain);
    Ok(())
}
