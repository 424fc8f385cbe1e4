//! The `explain` subcommand: shows what the logs of several daemons say about one request.

use crate::config::Config;
use crate::logs::{LogLine, read_files};
use apricotrun::transport::error::{CliError, CliResult};
use serde::Serialize;
use std::path::PathBuf;

/// How many seconds before and after a request log lines about its upstreams may explain its
/// outcome.
const UPSTREAM_WINDOW_SECONDS: f64 = 10.0;

/// The arguments of `explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The request's id, as the daemons log it.
    request: String,
    /// Log files of the daemons, with one JSON object per line.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// What the logs say about one request.
#[derive(Debug, Serialize)]
struct Explanation {
    /// Why the request ended as it did, as one sentence.
    cause: String,
    /// The log lines about the request, in the order of their times.
    trail: Vec<LogLine>,
    /// The log lines of about the same time about the upstreams that the request ran at.
    upstreams: Vec<LogLine>,
}

/// Prints the log lines that concern a request and the cause of its outcome.
pub fn run(config: &Config, args: Args) -> CliResult<()> {
    let lines = read_files(&args.files)?;
    let explanation = explain(&args.request, &lines)?;
    if config.json {
        let text = serde_json::to_string_pretty(&explanation);
        println!("{}", text.map_err(|error| CliError::Remote(error.to_string()))?);
        return Ok(());
    }
    let first = explanation.trail[0].at;
    let mut shown: Vec<_> = explanation.trail.iter().chain(&explanation.upstreams).collect();
    shown.sort_by(|left, right| left.at.total_cmp(&right.at));
    for line in shown {
        print_line(first, line);
    }
    println!("{}", explanation.cause);
    Ok(())
}

fn explain(request: &str, lines: &[LogLine]) -> CliResult<Explanation> {
    let matching = lines.iter().filter(|line| line.text("request") == Some(request));
    let trail: Vec<_> = matching.cloned().collect();
    let (Some(first), Some(last)) = (trail.first(), trail.last()) else {
        return Err(CliError::Remote(format!(
            "no log line about request {request}: no daemon of these logs received it, or its \
             daemon ended before it logged the request"
        )));
    };
    let (from, to) = (first.at - UPSTREAM_WINDOW_SECONDS, last.at + UPSTREAM_WINDOW_SECONDS);
    let runners: Vec<_> = trail.iter().filter_map(|line| line.text("runner")).collect();
    let upstreams = lines.iter().filter(|line| {
        let named = line.text("upstream").is_some_and(|upstream| runners.contains(&upstream));
        named && (from..=to).contains(&line.at)
    });
    let upstreams: Vec<_> = upstreams.cloned().collect();
    Ok(Explanation { cause: cause_of(&trail, &upstreams), trail, upstreams })
}

/// Returns why a request ended as it did, from its log lines and those about its upstreams.
fn cause_of(trail: &[LogLine], upstreams: &[LogLine]) -> String {
    let runner = trail.iter().rev().find_map(|line| line.text("runner")).unwrap_or("none");
    let gone = upstreams
        .iter()
        .any(|line| line.message == "upstream: is gone" && line.text("upstream") == Some(runner));
    let state = if gone { "is gone" } else { "still lives as far as the logs say" };
    let Some(end) = trail.iter().rev().find(|line| line.is_end()) else {
        return format!("no end is logged: its daemon ended, or still runs it at {runner}");
    };
    let reason = end.text("reason").unwrap_or_default();
    match (end.message.as_str(), end.text("verdict")) {
        ("entry: answered", _) => format!("answered; run by {runner}"),
        ("entry: the caller left", _) => {
            format!("the caller left, or its connection went silent; run by {runner}")
        }
        (_, Some("not-run")) if reason == "Overloaded" => {
            "not run: there was no room that would have kept its target".to_owned()
        }
        (_, Some("not-run")) => format!("not run: {reason}"),
        _ => format!("may have run: {reason} at {runner}, which {state}"),
    }
}

/// Prints a log line with its time in seconds after `first`, without the request's id.
fn print_line(first: f64, line: &LogLine) {
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields: Vec<_> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    println!("{:+9.3} {:<14} {} {}", line.at - first, line.file, line.message, fields.join(" "));
}
