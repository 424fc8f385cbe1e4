//! Waits until a revision is in force in every failure domain.

use crate::config::{Config, MemberStatus};
use apricotrun::prelude::Revision;
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The interval between two polls of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Waits until a revision is in force in every failure domain and prints those domains. On a
/// timeout, returns an error that names each failure domain still pending, with reasons.
pub async fn wait_for(config: &Config, revision: Revision, timeout: Duration) -> CliResult<()> {
    let daemons = config.daemons()?;
    let started = Instant::now();
    loop {
        let reasons_by_domain = pending_by_domain(daemons.all_status().await?, revision);
        let domains: Vec<_> = reasons_by_domain.keys().cloned().collect();
        let pending: Vec<_> =
            reasons_by_domain.into_iter().filter(|(_, why)| !why.is_empty()).collect();
        if pending.is_empty() {
            let ms = started.elapsed().as_millis() as u64;
            let result = json!({ "revision": revision, "domains": domains, "waited_ms": ms });
            let text = format!("revision {revision} is in force in {}", domains.join(", "));
            return config.print(&result, &text);
        }
        if started.elapsed() >= timeout {
            let lines =
                pending.iter().map(|(domain, why)| format!("  {domain}: {}", why.join("; ")));
            let lines: Vec<_> = lines.collect();
            return Err(CliError::Pending(format!(
                "revision {revision} is accepted but not yet in force in:\n{}\n\
                 It will come into force there without further action; see apricotctl status.",
                lines.join("\n")
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns for each failure domain why the revision is not in force there yet, with no reasons if
/// it is. A dead daemon counts only where no other daemon of its failure domain responds.
fn pending_by_domain(
    members: BTreeMap<String, MemberStatus>,
    revision: Revision,
) -> BTreeMap<String, Vec<String>> {
    let mut reasons_by_domain: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut dead: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut responsive = BTreeSet::new();
    for (host, member) in members {
        let reasons = reasons_by_domain.entry(member.domain.clone()).or_default();
        match member.status {
            Ok(status) => {
                responsive.insert(member.domain);
                reasons.extend(pending_reason(&host, &status, revision));
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
        if !responsive.contains(&domain) {
            reasons_by_domain.entry(domain).or_default().extend(reasons);
        }
    }
    reasons_by_domain
}

/// Returns why one daemon does not have the revision yet.
fn pending_reason(host: &str, status: &serde_json::Value, wanted: Revision) -> Option<String> {
    let revision = status["revision"].as_u64().unwrap_or_default();
    if revision >= wanted.0 {
        return None;
    }
    let age = status["config_age_ms"].as_u64().unwrap_or_default();
    Some(format!("{host} has revision {revision}, applied {age} ms ago"))
}
