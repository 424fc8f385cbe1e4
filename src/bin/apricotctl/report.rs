//! Sums up what the logs of several daemons say of a run.

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
    /// Log files of the daemons, one JSON object a line.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// How many seconds one row of the course of the run covers.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=3600))]
    step: u32,
    /// Also draws the course of the run into this SVG file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// What the logs say of one request.
#[derive(Debug, Default)]
struct RequestTrail {
    accepted: Option<f64>,
    domain: Option<String>,
    end: Option<RequestEnd>,
    first_token: Option<f64>,
    service: Option<String>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RequestEnd {
    Answered,
    CallerLeft,
    /// It was refused or cut, for this reason.
    Ended(String),
}

/// Requests with something in common.
#[derive(Debug, Default, Serialize)]
struct ReportRow {
    accepted: u32,
    answered: u32,
    caller_left: u32,
    /// By verdict and reason.
    ended: BTreeMap<String, u32>,
    /// Half of the first tokens came within this time, in milliseconds.
    first_token_p50_ms: Option<f64>,
    first_token_p99_ms: Option<f64>,
    #[serde(skip)]
    first_tokens: Vec<f64>,
    /// No end is logged: the daemon ended, or the line was left out.
    open: u32,
}

impl ReportRow {
    fn add(&mut self, trail: &RequestTrail) {
        self.accepted += 1;
        self.first_tokens.extend(trail.first_token);
        match &trail.end {
            None => self.open += 1,
            Some(RequestEnd::Answered) => self.answered += 1,
            Some(RequestEnd::CallerLeft) => self.caller_left += 1,
            Some(RequestEnd::Ended(how)) => *self.ended.entry(how.clone()).or_default() += 1,
        }
    }

    fn finish(&mut self) {
        self.first_tokens.sort_by(f64::total_cmp);
        self.first_token_p50_ms = quantile(&self.first_tokens, 0.5);
        self.first_token_p99_ms = quantile(&self.first_tokens, 0.99);
    }
}

/// A whole run.
#[derive(Debug, Default, Serialize)]
struct RunReport {
    domains: BTreeMap<String, ReportRow>,
    /// Lines that the daemons left out to bound their logs; the counts lack these.
    lines_left_out: f64,
    /// By second since the first request.
    seconds: BTreeMap<u32, ReportRow>,
    services: BTreeMap<String, ReportRow>,
}

/// Prints requests by service, failure domain and time.
pub fn run(config: &Config, args: Args) -> CliResult<()> {
    let lines = read_files(&args.files)?;
    let report = build_report(&lines, args.step)?;
    if let Some(path) = &args.svg {
        draw(path, &course_of(&report, args.step))?;
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
        println!("{} log lines were left out by the daemons", report.lines_left_out);
    }
    Ok(())
}

fn build_report(lines: &[LogLine], step: u32) -> CliResult<RunReport> {
    let domains = domains_of(lines);
    let mut trails: BTreeMap<&str, RequestTrail> = BTreeMap::new();
    for line in lines {
        let Some(request) = line.text("request") else { continue };
        read_line(line, &domains, trails.entry(request).or_default());
    }
    let accepted = trails.values().filter(|trail| trail.accepted.is_some());
    let began = accepted.clone().filter_map(|trail| trail.accepted).reduce(f64::min);
    let Some(began) = began else {
        return Err(CliError::Remote("no request was accepted in these logs".to_owned()));
    };
    let mut report = RunReport::default();
    for trail in accepted {
        let second = trail.accepted.map_or(0, |at| (at - began) as u32 / step * step);
        let unknown = || "unknown".to_owned();
        let service = trail.service.clone().unwrap_or_else(unknown);
        let domain = trail.domain.clone().unwrap_or_else(unknown);
        report.services.entry(service).or_default().add(trail);
        report.domains.entry(domain).or_default().add(trail);
        report.seconds.entry(second).or_default().add(trail);
    }
    let left_out = lines.iter().filter(|line| line.message == "log: lines were left out");
    report.lines_left_out = left_out.filter_map(|line| line.number("left_out")).sum();
    report.services.values_mut().for_each(ReportRow::finish);
    report.domains.values_mut().for_each(ReportRow::finish);
    report.seconds.values_mut().for_each(ReportRow::finish);
    Ok(report)
}

/// Returns how requests began in each step of the run, and how those came out.
fn course_of(report: &RunReport, step: u32) -> Vec<ChartLine> {
    let line = |name, count: fn(&ReportRow) -> u32| {
        let rate = |row| f64::from(count(row)) / f64::from(step);
        let points = report.seconds.iter().map(|(second, row)| (f64::from(*second), rate(row)));
        ChartLine { name, points: points.collect() }
    };
    vec![
        line("accepted", |row| row.accepted),
        line("answered", |row| row.answered),
        line("refused or cut", |row| row.ended.values().sum()),
    ]
}

/// Returns the failure domain of the daemon that wrote each file.
fn domains_of(lines: &[LogLine]) -> BTreeMap<&str, &str> {
    let starts = lines.iter().filter(|line| line.message == "daemon: started");
    starts.filter_map(|line| Some((line.file.as_str(), line.text("domain")?))).collect()
}

fn read_line(line: &LogLine, domains: &BTreeMap<&str, &str>, trail: &mut RequestTrail) {
    match line.message.as_str() {
        "entry: accepted" => {
            trail.accepted = Some(line.at);
            trail.domain = domains.get(line.file.as_str()).map(|domain| (*domain).to_owned());
            trail.service = line.text("service").map(str::to_owned);
        }
        "entry: first token" => trail.first_token = line.number("age_ms"),
        "entry: answered" => trail.end = Some(RequestEnd::Answered),
        "entry: the caller left" => trail.end = Some(RequestEnd::CallerLeft),
        "entry: not answered" => {
            let verdict = line.text("verdict").unwrap_or("unknown");
            let reason = line.text("reason").unwrap_or("unknown");
            trail.end = Some(RequestEnd::Ended(format!("{verdict} {reason}")));
        }
        _ => {}
    }
}

fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * part).round() as usize).copied()
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
