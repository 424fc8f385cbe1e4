//! Sends no new work to an upstream, or stops a host gracefully.

use crate::config::Config;
use crate::documents::put;
use crate::wait::wait_for;
use apricotrun::coordination::store::{read_document, read_head};
use apricotrun::state::fleet::{DocumentName, ParsedDocument, parse_document};
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::json;
use std::time::Duration;

/// How long the change may take to come into force.
const WAIT: Duration = Duration::from_secs(30);

/// The arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    target: Target,
}

#[derive(Debug, clap::Subcommand)]
enum Target {
    /// Stops the daemon of an entry host after its requests in flight.
    Host {
        /// The host's name.
        host: String,
    },
    /// Sends no new work to an upstream.
    Upstream(UpstreamArgs),
}

/// Names an upstream.
#[derive(Debug, clap::Args)]
pub struct UpstreamArgs {
    /// The service.
    pub service: String,
    /// The upstream's name.
    pub upstream: String,
}

/// Drains the target.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    match args.target {
        Target::Host { host } => {
            config.daemons()?.drain_host(&host).await?;
            let text = format!("{host} stops after its requests in flight");
            config.print(&json!({ "host": host, "stopping": true }), &text)
        }
        Target::Upstream(upstream) => set_leaving(config, &upstream, true).await,
    }
}

/// Changes whether an upstream is leaving, in its service's template.
pub async fn set_leaving(config: &Config, args: &UpstreamArgs, leaving: bool) -> CliResult<()> {
    let store = config.store()?;
    let name: DocumentName = format!("template/{}", args.service).parse()?;
    let (head, _) = read_head(&store).await?;
    let place = head.documents.get(&name).cloned();
    let place = place.ok_or_else(|| CliError::Remote(format!("{name} does not exist")))?;
    let text = read_document(&store, &name, &place).await?.text;
    let ParsedDocument::Template(mut template) = parse_document(&name, &text)? else {
        return Err(CliError::Remote(format!("{name} is not a template")));
    };
    let found = template.upstreams.iter_mut().find(|u| u.name.as_str() == args.upstream);
    let found = found
        .ok_or_else(|| CliError::Remote(format!("{name} has no upstream {:?}", args.upstream)))?;
    found.draining = leaving;
    let text = toml::to_string(&template).map_err(|error| CliError::Remote(error.to_string()))?;
    let revision = put(config, &store, &name, &text, Some(place.revision)).await?;
    match config.has_daemons() {
        true => wait_for(config, revision, WAIT).await,
        false => Ok(()),
    }
}
