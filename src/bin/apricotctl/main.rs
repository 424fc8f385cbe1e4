//! The operators' command-line tool.

use apricotrun::transport::error::CliResult;
use clap::{Parser, Subcommand};
use std::process::ExitCode;

mod account;
mod apply;
mod chart;
mod config;
mod documents;
mod drain;
mod explain;
mod logs;
mod report;
mod route;
mod status;
mod template;
mod undrain;
mod wait;

/// Operates a deployment of apricotrun.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    config: config::Config,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Reads and changes client accounts.
    Account(account::Args),
    /// Stores documents from files and can wait until they are in force.
    Apply(apply::Args),
    /// Stops sending new work to an upstream, or stops a host gracefully.
    Drain(drain::Args),
    /// Shows what the daemons' logs say about one request.
    Explain(explain::Args),
    /// Summarizes the requests in the daemons' logs.
    Report(report::Args),
    /// Explains where a request would go now, without sending it.
    Route(route::Args),
    /// Shows the daemons, the shards that they own, and their upstreams.
    Status(status::Args),
    /// Reads and changes service templates.
    Template(template::Args),
    /// Sends new work to a drained upstream again.
    Undrain(undrain::Args),
}

fn main() -> ExitCode {
    let args = Args::parse();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(args: Args) -> CliResult<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let config = args.config;
    runtime.block_on(async {
        match args.command {
            Command::Account(args) => account::run(&config, args).await,
            Command::Apply(args) => apply::run(&config, args).await,
            Command::Drain(args) => drain::run(&config, args).await,
            Command::Explain(args) => explain::run(&config, args),
            Command::Report(args) => report::run(&config, args),
            Command::Route(args) => route::run(&config, args).await,
            Command::Status(args) => status::run(&config, args).await,
            Command::Template(args) => template::run(&config, args).await,
            Command::Undrain(args) => undrain::run(&config, args).await,
        }
    })
}
