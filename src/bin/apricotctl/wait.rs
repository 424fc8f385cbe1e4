//! Waits until a revision is in force in every failure domain.

use crate::config::Config;
use apricotrun::prelude::Revision;
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How often the daemons are asked.
const PERIOD: Duration = Duration::from_millis(100);

/// Waits, and names the failure domains that lag and why when the time is over.
pub async fn wait_for(config: &Config, revision: Revision, within: Duration) -> CliResult<()> {
    let daemons = config.daemons()?;
    let started = Instant::now();
    loop {
        let answers = daemons.all_status().await?;
        let mut pending: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (host, (domain, answer)) in answers {
            let why = match answer {
                Err(error) => Some(format!("{host} does not answer: {error}")),
                Ok(status) => lag_of(&host, &status, revision),
            };
            pending.entry(domain).or_default().extend(why);
        }
        let domains: Vec<_> = pending.keys().cloned().collect();
        pending.retain(|_, why| !why.is_empty());
        if pending.is_empty() {
            let ms = started.elapsed().as_millis() as u64;
            let answer = json!({ "revision": revision, "domains": domains, "waited_ms": ms });
            let text = format!("revision {revision} is in force in {}", domains.join(", "));
            return config.print(&answer, &text);
        }
        if started.elapsed() >= within {
            let lines =
                pending.iter().map(|(domain, why)| format!("  {domain}: {}", why.join("; ")));
            let lines: Vec<_> = lines.collect();
            return Err(CliError::Pending(format!(
                "revision {revision} is accepted and not yet in force in:\n{}\n\
                 It comes into force there by itself; run apricotctl status to look again.",
                lines.join("\n")
            )));
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn lag_of(host: &str, status: &serde_json::Value, wanted: Revision) -> Option<String> {
    let revision = status["revision"].as_u64().unwrap_or_default();
    if revision >= wanted.0 {
        return None;
    }
    let age = status["config_age_ms"].as_u64().unwrap_or_default();
    Some(format!("{host} has revision {revision}, taken {age} ms ago"))
}
