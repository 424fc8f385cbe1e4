//! Waits until a revision is in force in every failure domain.

use crate::config::{Config, MemberAnswer};
use apricotrun::prelude::Revision;
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How often the daemons are asked.
const PERIOD: Duration = Duration::from_millis(30);

/// Waits, and names the failure domains that lag and why when the time is over.
pub async fn wait_for(config: &Config, revision: Revision, within: Duration) -> CliResult<()> {
    let daemons = config.daemons()?;
    let started = Instant::now();
    loop {
        let lags = lags_by_domain(daemons.all_status().await?, revision);
        let domains: Vec<_> = lags.keys().cloned().collect();
        let pending: Vec<_> = lags.into_iter().filter(|(_, why)| !why.is_empty()).collect();
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

/// Returns why each failure domain lags; nothing for one that has the revision in force. A
/// daemon that is dead does not count beside others that have it.
fn lags_by_domain(
    answers: BTreeMap<String, MemberAnswer>,
    revision: Revision,
) -> BTreeMap<String, Vec<String>> {
    let mut lags: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut dead: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut served = BTreeSet::new();
    for (host, member) in answers {
        let reasons = lags.entry(member.domain.clone()).or_default();
        match member.answer {
            Ok(status) => {
                served.insert(member.domain);
                reasons.extend(lag_of(&host, &status, revision));
            }
            Err(error) => {
                let reason = format!("{host} does not answer: {error}");
                match member.dead {
                    true => dead.entry(member.domain).or_default().push(reason),
                    false => reasons.push(reason),
                }
            }
        }
    }
    for (domain, reasons) in dead {
        if !served.contains(&domain) {
            lags.entry(domain).or_default().extend(reasons);
        }
    }
    lags
}

fn lag_of(host: &str, status: &serde_json::Value, wanted: Revision) -> Option<String> {
    let revision = status["revision"].as_u64().unwrap_or_default();
    if revision >= wanted.0 {
        return None;
    }
    let age = status["config_age_ms"].as_u64().unwrap_or_default();
    Some(format!("{host} has revision {revision}, taken {age} ms ago"))
}
