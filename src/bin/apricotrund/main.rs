//! The daemon that runs on every entry host.

use apricotrun::transport::error::CliResult;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

mod check;
mod run;

/// Routes requests to separate prefill and decode pools.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long, global = true, default_value = "host.toml")]
    config: PathBuf,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Validates the settings file and exits.
    Check(check::Args),
    /// Runs the daemon, the default.
    Run(run::Args),
}

fn main() -> ExitCode {
    let args = Args::parse();
    let command = args.command.unwrap_or(Command::Run(run::Args {}));
    let result: CliResult<()> = match command {
        Command::Check(command) => check::run(&args.config, command),
        Command::Run(command) => run::run(&args.config, command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotrund: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
