//! Shows who is alive, who owns what, slots and revisions.

use crate::config::{Config, text_of};
use apricotrun::transport::error::CliResult;
use serde_json::{Value, json};

/// The arguments of `status`.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Asks every daemon and prints what they say.
pub async fn run(config: &Config, _args: Args) -> CliResult<()> {
    let answers = config.daemons()?.all_status().await?;
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for (host, member) in answers {
        let domain = member.domain;
        match member.answer {
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

fn daemon_line(host: &str, domain: &str, status: &Value) -> String {
    let state = if status["stopping"] == true { "stopping" } else { "running" };
    let age = status["config_age_ms"].as_u64().unwrap_or_default() / 1000;
    format!(
        "{domain} {host} {state}, revision {} for {age} s, {} in flight, {} tickets",
        status["revision"], status["in_flight"], status["tickets"]
    )
}

fn shard_lines(status: &Value) -> Vec<String> {
    let Some(shards) = status["shards"].as_object() else { return Vec::new() };
    let mut lines = Vec::new();
    for (service, shard) in shards.iter().filter(|(_, shard)| shard["role"] == "owner") {
        lines.push(format!("  owns {service}, {} waiting", shard["waiting"]));
        for upstream in shard["upstreams"].as_array().into_iter().flatten() {
            let state = match (upstream["leaving"] == true, upstream["usable"] == true) {
                (true, _) => " leaving",
                (false, false) => " resting",
                (false, true) => "",
            };
            lines.push(format!(
                "    {} {}/{} slots, {} pieces{state}",
                text_of(&upstream["name"]),
                upstream["slots"],
                upstream["slots_of"],
                upstream["pieces"]
            ));
        }
    }
    lines
}
