//! The `status` subcommand: shows the daemons, the shards that they own, and their upstreams.

use crate::config::{Config, string_value};
use apricotrun::transport::error::CliResult;
use serde_json::{Value, json};

/// The arguments of `status`.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Prints the status of every daemon.
pub async fn run(config: &Config, _args: Args) -> CliResult<()> {
    let members = config.daemons()?.all_status().await?;
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for (host, member) in members {
        let domain = member.domain;
        match member.status {
            Ok(status) => {
                lines.push(daemon_line(&host, &domain, &status));
                lines.extend(shard_lines(&status));
                rows.push(status);
            }
            Err(error) => {
                lines.push(format!("{domain} {host} does not answer: {error}"));
                rows.push(json!({ "host": host, "domain": domain, "error": error }));
            }
        }
    }
    config.print(&rows, &lines.join("\n"))
}

/// Returns the line of one daemon.
fn daemon_line(host: &str, domain: &str, status: &Value) -> String {
    let state = if status["stopping"] == true { "stopping" } else { "running" };
    let age = status["config_age_ms"].as_u64().unwrap_or_default() / 1000;
    format!(
        "{domain} {host} {state}, revision {} for {age} s, {} in flight, {} tickets",
        status["revision"], status["in_flight"], status["tickets"]
    )
}

/// Returns the lines of the shards that a daemon owns, each followed by those of its upstreams.
fn shard_lines(status: &Value) -> Vec<String> {
    let Some(shards) = status["shards"].as_object() else { return Vec::new() };
    let mut lines = Vec::new();
    for (service, shard) in shards.iter().filter(|(_, shard)| shard["role"] == "owner") {
        lines.push(format!("  owns {service}, {} waiting", shard["waiting"]));
        for upstream in shard["upstreams"].as_array().into_iter().flatten() {
            let state = match (upstream["leaving"] == true, upstream["usable"] == true) {
                (true, _) => " draining",
                (false, false) => " backing off",
                (false, true) => "",
            };
            lines.push(format!(
                "    {} {}/{} slots, {} KV blocks{state}",
                string_value(&upstream["name"]),
                upstream["slots"],
                upstream["slots_of"],
                upstream["pieces"]
            ));
        }
    }
    lines
}
