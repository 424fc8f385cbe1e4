//! The `report` subcommand: summarizes the requests in the logs of several daemons.

use crate::chart::{ChartLine, draw};
use crate::config::Config;
use crate::logs::{LogLine, read_files};
use apricotrun::transport::error::{CliError, CliResult};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The arguments of `report`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Log files of the daemons, with one JSON object per line.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The number of seconds that one row of the table over time covers.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=3600))]
    step: u32,
    /// Also draws the request rates over time into this SVG file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// What the logs say about one request.
#[derive(Debug, Default)]
struct RequestRecord {
    /// When it was accepted, in seconds since the Unix epoch.
    accepted: Option<f64>,
    /// The failure domain of the daemon that accepted it.
    domain: Option<String>,
    end: Option<RequestEnd>,
    /// The time from acceptance to the first token, in milliseconds.
    first_token: Option<f64>,
    service: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RequestEnd {
    Answered,
    CallerLeft,
    /// It was refused, or failed before its response was complete; with its verdict and reason.
    NotAnswered(String),
}

/// The counts and latencies of a group of requests.
#[derive(Debug, Default, Serialize)]
struct ReportRow {
    accepted: u32,
    answered: u32,
    caller_left: u32,
    /// The requests that were refused or failed, by verdict and reason.
    ended: BTreeMap<String, u32>,
    /// The median time from acceptance to the first token, in milliseconds.
    first_token_p50_ms: Option<f64>,
    /// The 99th percentile of that time, in milliseconds.
    first_token_p99_ms: Option<f64>,
    #[serde(skip)]
    first_tokens: Vec<f64>,
    /// The requests whose end is not logged: the daemon ended, or the line was suppressed.
    open: u32,
}

impl ReportRow {
    fn add(&mut self, record: &RequestRecord) {
        self.accepted += 1;
        self.first_tokens.extend(record.first_token);
        match &record.end {
            None => self.open += 1,
            Some(RequestEnd::Answered) => self.answered += 1,
            Some(RequestEnd::CallerLeft) => self.caller_left += 1,
            Some(RequestEnd::NotAnswered(how)) => *self.ended.entry(how.clone()).or_default() += 1,
        }
    }

    /// Computes the percentiles, once all requests were added.
    fn finish(&mut self) {
        self.first_tokens.sort_by(f64::total_cmp);
        self.first_token_p50_ms = quantile(&self.first_tokens, 0.5);
        self.first_token_p99_ms = quantile(&self.first_tokens, 0.99);
    }
}

/// The requests of all logs, grouped in three ways.
#[derive(Debug, Default, Serialize)]
struct RunReport {
    domains: BTreeMap<String, ReportRow>,
    /// The number of lines that the daemons suppressed to limit their logs; they are missing from
    /// the counts.
    lines_left_out: f64,
    /// The requests by the start of their time step, in seconds since the first request.
    seconds: BTreeMap<u32, ReportRow>,
    services: BTreeMap<String, ReportRow>,
}

/// Prints the requests by service, failure domain and time.
pub fn run(config: &Config, args: Args) -> CliResult<()> {
    let lines = read_files(&args.files)?;
    let report = build_report(&lines, args.step)?;
    if let Some(path) = &args.svg {
        draw(path, &rate_lines(&report, args.step))?;
    }
    if config.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.map_err(|error| CliError::Remote(error.to_string()))?);
        return Ok(());
    }
    print_rows("service", report.services.iter());
    print_rows("failure domain", report.domains.iter());
    print_rows("from second", report.seconds.iter());
    if report.lines_left_out > 0.0 {
        println!("the daemons suppressed {} log lines", report.lines_left_out);
    }
    Ok(())
}

fn build_report(lines: &[LogLine], step: u32) -> CliResult<RunReport> {
    let domains = domains_by_file(lines);
    let mut records: BTreeMap<&str, RequestRecord> = BTreeMap::new();
    for line in lines {
        let Some(request) = line.text("request") else { continue };
        read_line(line, &domains, records.entry(request).or_default());
    }
    let accepted = records.values().filter(|record| record.accepted.is_some());
    let first = accepted.clone().filter_map(|record| record.accepted).reduce(f64::min);
    let Some(first) = first else {
        return Err(CliError::Remote("no request was accepted in these logs".to_owned()));
    };
    let mut report = RunReport::default();
    for record in accepted {
        let second = record.accepted.map_or(0, |at| (at - first) as u32 / step * step);
        let unknown = || "unknown".to_owned();
        let service = record.service.clone().unwrap_or_else(unknown);
        let domain = record.domain.clone().unwrap_or_else(unknown);
        report.services.entry(service).or_default().add(record);
        report.domains.entry(domain).or_default().add(record);
        report.seconds.entry(second).or_default().add(record);
    }
    let suppressed = lines.iter().filter(|line| line.message == "log: lines were left out");
    report.lines_left_out = suppressed.filter_map(|line| line.number("left_out")).sum();
    report.services.values_mut().for_each(ReportRow::finish);
    report.domains.values_mut().for_each(ReportRow::finish);
    report.seconds.values_mut().for_each(ReportRow::finish);
    Ok(report)
}

/// Returns the rate of accepted requests over time, and the rates of those of them that were
/// answered and that were not.
fn rate_lines(report: &RunReport, step: u32) -> Vec<ChartLine> {
    let line = |name, count: fn(&ReportRow) -> u32| {
        let rate = |row| f64::from(count(row)) / f64::from(step);
        let points = report.seconds.iter().map(|(second, row)| (f64::from(*second), rate(row)));
        ChartLine { name, points: points.collect() }
    };
    vec![
        line("accepted", |row| row.accepted),
        line("answered", |row| row.answered),
        line("refused or failed", |row| row.ended.values().sum()),
    ]
}

/// Returns the failure domain of the daemon that wrote each file.
fn domains_by_file(lines: &[LogLine]) -> BTreeMap<&str, &str> {
    let starts = lines.iter().filter(|line| line.message == "daemon: started");
    starts.filter_map(|line| Some((line.file.as_str(), line.text("domain")?))).collect()
}

/// Adds what a log line says to the record of its request.
fn read_line(line: &LogLine, domains: &BTreeMap<&str, &str>, record: &mut RequestRecord) {
    match line.message.as_str() {
        "entry: accepted" => {
            record.accepted = Some(line.at);
            record.domain = domains.get(line.file.as_str()).map(|domain| (*domain).to_owned());
            record.service = line.text("service").map(str::to_owned);
        }
        "entry: first token" => record.first_token = line.number("age_ms"),
        "entry: answered" => record.end = Some(RequestEnd::Answered),
        "entry: the caller left" => record.end = Some(RequestEnd::CallerLeft),
        "entry: not answered" => {
            let verdict = line.text("verdict").unwrap_or("unknown");
            let reason = line.text("reason").unwrap_or("unknown");
            record.end = Some(RequestEnd::NotAnswered(format!("{verdict} {reason}")));
        }
        _ => {}
    }
}

/// Returns the value at a fraction (0 to 1) of a sorted list.
fn quantile(sorted: &[f64], fraction: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * fraction).round() as usize).copied()
}

fn print_rows<'a, K: std::fmt::Display + 'a>(
    title: &str,
    rows: impl Iterator<Item = (&'a K, &'a ReportRow)>,
) {
    let columns = "accepted answered   left   open  first p50 ms  first p99 ms  ended";
    println!("{title:<20} {columns}");
    for (name, row) in rows {
        let shown = |time: Option<f64>| time.map_or("-".to_owned(), |time| format!("{time:.0}"));
        let ended: Vec<_> =
            row.ended.iter().map(|(how, count)| format!("{how}: {count}")).collect();
        let line = format!(
            "{name:<20} {:>8} {:>8} {:>6} {:>6} {:>13} {:>13}  {}",
            row.accepted,
            row.answered,
            row.caller_left,
            row.open,
            shown(row.first_token_p50_ms),
            shown(row.first_token_p99_ms),
            ended.join(", ")
        );
        println!("{}", line.trim_end());
    }
}
