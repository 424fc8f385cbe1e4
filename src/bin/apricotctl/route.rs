//! The `route` subcommand: explains where a request would go now, without sending it.

use crate::config::{Config, string_value};
use apricotrun::prelude::*;
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::{Value, json};

/// The arguments of `route`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The service that the request is for.
    service: ServiceName,
    /// The client account that sends it.
    #[arg(long)]
    account: AccountName,
    /// The failure domain whose owner is asked; all of them by default.
    #[arg(long)]
    domain: Option<DomainName>,
    /// The length of the prompt, in tokens.
    #[arg(long, default_value_t = 1)]
    prompt_tokens: u32,
    /// The longest output that the request allows, in tokens.
    #[arg(long, default_value_t = 1)]
    output_tokens: u32,
}

/// Asks the owners of the service's shards what they would do with the request.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    let Args { service, account, domain, prompt_tokens, output_tokens } = args;
    let path = format!(
        "route?service={service}&account={account}&prompt_tokens={prompt_tokens}\
         &output_tokens={output_tokens}"
    );
    let domain = domain.map(|domain| domain.to_string());
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for (host, member) in config.daemons()?.ask_all(&path).await? {
        if domain.as_ref().is_some_and(|domain| *domain != member.domain) {
            continue;
        }
        match member.status {
            Ok(Value::Null) => {}
            Ok(preview) => {
                lines.push(format!("{} {host} {}", member.domain, decision_text(&preview)));
                lines.extend(candidate_lines(&preview));
                rows.push(json!({ "host": host, "domain": member.domain, "preview": preview }));
            }
            Err(error) => {
                lines.push(format!("{} {host} does not answer: {error}", member.domain));
                rows.push(json!({ "host": host, "domain": member.domain, "error": error }));
            }
        }
    }
    if rows.is_empty() {
        return Err(CliError::Remote(format!("no daemon owns upstreams of {service}")));
    }
    config.print(&rows, &lines.join("\n"))
}

fn decision_text(preview: &Value) -> String {
    let waiting = &preview["waiting"];
    match preview["decision"].as_str() {
        Some("grant") => {
            let runner = string_value(&preview["runner"]);
            match preview["prefill"].as_str() {
                Some(prefill) => {
                    format!("would run it at {runner}, with the prompt from {prefill}")
                }
                None => format!("would run it at {runner}"),
            }
        }
        Some("wait") => format!(
            "would let it wait with {waiting} others, for some {} ms of {} ms at most",
            preview["expected_ms"], preview["longest_ms"]
        ),
        _ => {
            let reason = string_value(&preview["reason"]);
            match preview["expected_ms"].as_u64() {
                Some(wait) => format!(
                    "would refuse it ({reason}): with {waiting} others ahead it would wait {wait} ms"
                ),
                None => format!("would refuse it ({reason})"),
            }
        }
    }
}

/// Returns a line for each upstream that was compared, with why it takes nothing.
fn candidate_lines(preview: &Value) -> Vec<String> {
    let candidates = preview["candidates"].as_array().into_iter().flatten();
    let line = |candidate: &Value| {
        let state = match (
            candidate["usable"] == true,
            candidate["accepts"] == true,
            candidate["has_room"] == true,
        ) {
            (false, _, _) => "draining or backing off",
            (true, false, _) => "not for this request",
            (true, true, false) => "full",
            (true, true, true) => "has room",
        };
        let (name, role) = (string_value(&candidate["name"]), string_value(&candidate["role"]));
        format!("  {name} ({role}) {}/{} slots, {state}", candidate["slots"], candidate["slots_of"])
    };
    candidates.map(line).collect()
}
