//! The `drain` subcommand: takes an upstream or an entry host out of service gracefully.

use crate::config::Config;
use crate::documents::put;
use crate::wait::wait_for;
use apricotrun::coordination::store::{read_document, read_head};
use apricotrun::state::fleet::{DocumentName, ParsedDocument, parse_document};
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::json;
use std::time::Duration;

/// How long to wait for the change to be in force in every failure domain.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    target: Target,
}

#[derive(Debug, clap::Subcommand)]
enum Target {
    /// Stops the daemon of an entry host once its requests in flight have ended.
    Host {
        /// The name of the host.
        host: String,
    },
    /// Stops sending new work to an upstream.
    Upstream(UpstreamArgs),
}

/// The arguments that name an upstream.
#[derive(Debug, clap::Args)]
pub struct UpstreamArgs {
    /// The service that the upstream belongs to.
    pub service: String,
    /// The name of the upstream in the service's template.
    pub upstream: String,
}

/// Drains a host or an upstream.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    match args.target {
        Target::Host { host } => {
            config.daemons()?.drain_host(&host).await?;
            let text = format!("{host} stops once its requests in flight have ended");
            config.print(&json!({ "host": host, "stopping": true }), &text)
        }
        Target::Upstream(upstream) => set_draining(config, &upstream, true).await,
    }
}

/// Marks an upstream in its service's template as draining or not. If daemons can be reached, waits
/// until the change is in force.
pub async fn set_draining(config: &Config, args: &UpstreamArgs, draining: bool) -> CliResult<()> {
    let store = config.store()?;
    let name: DocumentName = format!("template/{}", args.service).parse()?;
    let (head, _) = read_head(&store).await?;
    let location = head.documents.get(&name).cloned();
    let location = location.ok_or_else(|| CliError::Remote(format!("{name} does not exist")))?;
    let text = read_document(&store, &name, &location).await?.text;
    let ParsedDocument::Template(mut template) = parse_document(&name, &text)? else {
        return Err(CliError::Remote(format!("{name} is not a template")));
    };
    let upstream = template.upstreams.iter_mut().find(|u| u.name.as_str() == args.upstream);
    let upstream = upstream
        .ok_or_else(|| CliError::Remote(format!("{name} has no upstream {:?}", args.upstream)))?;
    upstream.draining = draining;
    let text = toml::to_string(&template).map_err(|error| CliError::Remote(error.to_string()))?;
    let revision = put(config, &store, &name, &text, Some(location.revision)).await?;
    match config.has_daemons() {
        true => wait_for(config, revision, IN_FORCE_TIMEOUT).await,
        false => Ok(()),
    }
}
