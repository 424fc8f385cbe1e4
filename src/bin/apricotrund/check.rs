//! Checks the settings and exits.

use apricotrun::transport::error::CliResult;
use apricotrun::transport::settings::DaemonSettings;
use std::path::Path;

/// The arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Checks the settings file.
pub fn run(config: &Path, _args: Args) -> CliResult<()> {
    let settings = DaemonSettings::read(config)?;
    println!("{}: valid for host {} in {}", config.display(), settings.host, settings.domain);
    Ok(())
}
