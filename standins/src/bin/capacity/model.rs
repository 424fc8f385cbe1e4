//! Extrapolates the cost of each role to the two-year size from the measured results.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

/// The number of daemons in the fleet.
const DAEMONS: f64 = 330.0;
/// The number of failure domains.
const DOMAINS: f64 = 6.0;
/// The number of model services, each with a shard in every failure domain.
const MODELS: f64 = 30.0;
/// The number of prefill and decode workers.
const WORKERS: f64 = 600.0;
/// The number of client accounts.
const ACCOUNTS: f64 = 2_200.0;
/// The number of requests per second in the whole fleet.
const REQUESTS: f64 = 3_000.0;
/// The number of output tokens per second in the whole fleet.
const TOKENS: f64 = 1_400_000.0;
/// The time between two tokens of a response, in seconds.
const INTER_TOKEN_TIME: f64 = 0.034;
/// The time to first token, in seconds.
const FIRST_TOKEN_TIME: f64 = 0.35;
/// The number of configuration changes per day.
const CHANGES_PER_DAY: f64 = 770.0;
/// The number of daemon restarts per day in the whole fleet.
const RESTARTS_PER_DAY: f64 = 320.0;
/// A day, in seconds.
const DAY: f64 = 86_400.0;
/// The period at which an entry daemon sends claim summaries, in seconds.
const SUMMARY_PERIOD: f64 = 5.0;
/// The number of daemons that hold a shard's claims: its owner and backups.
const SHARD_REPLICAS: f64 = 3.0;
/// The number of membership changes of one restart: leaving, dead, joined.
const CHANGES_PER_RESTART: f64 = 3.0;
/// The number of claim updates of one request: granted, transferring, running.
const CLAIM_UPDATES: f64 = 3.0;

/// Returns the first number after a row's name in the measurement file `file`.txt.
fn row_value(folder: &Path, file: &str, name: &str) -> io::Result<f64> {
    let text = fs::read_to_string(folder.join(format!("{file}.txt")))?;
    let found = text.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        (words.next() == Some(name)).then(|| words.next()?.parse().ok()).flatten()
    });
    found.ok_or_else(|| io::Error::other(format!("{file}.txt has no row {name}")))
}

/// Returns the number after a label in the row for a size in the measurement file `file`.txt.
fn labelled_value(folder: &Path, file: &str, size: &str, name: &str) -> io::Result<f64> {
    let text = fs::read_to_string(folder.join(format!("{file}.txt")))?;
    let row = text.lines().find(|line| line.split_whitespace().next() == Some(size));
    let words: Vec<_> = row.unwrap_or_default().split_whitespace().collect();
    let label = words.iter().position(|word| *word == name);
    let found = label.and_then(|label| words.get(label + 1)?.parse().ok());
    found.ok_or_else(|| {
        io::Error::other(format!("{file}.txt has no {name} in the row for size {size}"))
    })
}

/// Returns the table with the messages, bytes, CPU time and memory of each role, followed by the
/// load on the store and the number of requests in flight.
///
/// # Errors
///
/// Returns an error if a measurement file in `folder` cannot be read or lacks a value.
pub fn roles(folder: &Path) -> io::Result<String> {
    let bytes = |name| row_value(folder, "bytes", name);
    let time = |name| row_value(folder, "times", name);
    let memory = |name| row_value(folder, "memory", name);
    let per_domain = DAEMONS / DOMAINS;
    let shards = MODELS * DOMAINS;
    let requests = REQUESTS / DAEMONS;
    let request_time = FIRST_TOKEN_TIME + TOKENS / REQUESTS * INTER_TOKEN_TIME;
    let claims = requests * request_time;
    let shard_requests = REQUESTS / shards;
    let owned = shards / DAEMONS;
    let replicas = owned * SHARD_REPLICAS;
    let codec = time("codec_claim_both_ways")?;
    let mut rows: BTreeMap<&str, [f64; 4]> = BTreeMap::new();

    let messages = 2.0 + (CLAIM_UPDATES + 1.0) * (SHARD_REPLICAS - 1.0);
    let request_bytes = bytes("ask")?
        + bytes("grant")?
        + (SHARD_REPLICAS - 1.0) * (CLAIM_UPDATES * bytes("claim")? + bytes("release")?);
    let entry_cpu = requests * messages * codec / 1e7;
    rows.insert(
        "entry, request path",
        [
            requests * messages,
            requests * request_bytes,
            entry_cpu,
            claims * memory("claim_at_entry")? / 1e6,
        ],
    );

    let relay_us = requests * row_value(folder, "relay", "us_a_request")?
        + TOKENS / DAEMONS * row_value(folder, "relay", "us_a_token")?;
    rows.insert("entry, relay, request path", [0.0, 0.0, relay_us / 1e4, 0.0]);

    let owner_time = time("owner_16_workers_1000_waiting")?;
    let owner_requests = owned * shard_requests;
    let owner_cpu = owner_requests * (owner_time + messages * codec) / 1e7;
    let owner_memory = replicas * shard_requests * request_time * memory("claim_at_owner")?
        + owned * 1_000.0 * memory("waiting_at_owner")?;
    rows.insert(
        "shard owner, request path",
        [owner_requests * messages, owner_requests * request_bytes, owner_cpu, owner_memory / 1e6],
    );

    let summaries = MODELS * (SHARD_REPLICAS - 1.0) / SUMMARY_PERIOD;
    let received = replicas * per_domain / SUMMARY_PERIOD;
    let summary = bytes("summary")?;
    rows.insert(
        "claims kept in agreement",
        [
            summaries + received,
            (summaries + received) * summary,
            (summaries + received) * codec / 1e7,
            0.0,
        ],
    );

    let gossip = labelled_value(folder, "members", "330", "sent_bytes_per_s")?;
    rows.insert(
        "member",
        [16.0, 2.0 * gossip, 16.0 * codec / 1e7, DAEMONS * memory("member")? / 1e6],
    );

    let membership = RESTARTS_PER_DAY * CHANGES_PER_RESTART / DAY;
    rows.insert(
        "member changes",
        [
            membership * MODELS * SHARD_REPLICAS,
            membership * MODELS * SHARD_REPLICAS * summary,
            membership * MODELS * SHARD_REPLICAS * codec / 1e7,
            0.0,
        ],
    );

    // The cost of an idle daemon is the intercept of the line fitted to the measured deployments.
    let idle_core = row_value(folder, "fleets", "fit_core_percent")?;
    let idle_memory = row_value(folder, "fleets", "fit_memory_mb")?;
    rows.insert("daemon at rest", [0.0, 0.0, idle_core, idle_memory]);

    let changes = CHANGES_PER_DAY / DAY;
    let change_bytes =
        2.0 * bytes("config_have")? + bytes("config_delta_1")? + bytes("config_have")?;
    let restart_bytes = RESTARTS_PER_DAY / DAY / DAEMONS * bytes("config_delta_2200")?;
    let build = time("config_build_2200_accounts")?;
    rows.insert(
        "configuration",
        [
            changes * 4.0,
            changes * change_bytes + 2.0 * restart_bytes,
            changes * (build + 4.0 * codec) / 1e7,
            2.0 * ACCOUNTS * memory("account_in_configuration")? / 1e6,
        ],
    );

    let mut text =
        String::from("role                        messages/s     bytes/s   core %   memory MB\n");
    let mut control = [0.0; 4];
    for (name, row) in &rows {
        text += &format_row(name, row);
        if !name.contains("request path") {
            control.iter_mut().zip(row).for_each(|(sum, value)| *sum += value);
        }
    }
    text += &format_row("control, sum", &control);
    text += "budget, control                             8192     4.90        32.0\n";

    let watchers = 2.0 * DOMAINS;
    text += &format!(
        "\nstore, steady: {:.2} reads a second of changes, {:.2} of waiting watches, {:.3} writes\n",
        changes * watchers * 2.0,
        watchers / 30.0,
        changes * 2.0
    );
    text += &format!(
        "store, the minute after an outage: {watchers:.0} watchers with pauses of 2.5 to 7.5 s: at most {:.1} reads a second\n",
        watchers / 2.5
    );
    text += &format!(
        "store, a failure domain of {per_domain:.0} daemons restarted at once: its 2 watchers read head, 4 parts of the snapshot and at most 16 documents: {:.0} reads in all\n",
        2.0 * (1.0 + 4.0 + 16.0)
    );
    text += &format!(
        "in flight: {:.0} requests, {claims:.0} an entry; {shards:.0} shards of {:.1} workers, {owned:.2} owned by a daemon\n",
        REQUESTS * request_time,
        WORKERS / shards
    );
    Ok(text)
}

/// Formats a row of the table.
fn format_row(name: &str, [messages, bytes, core, memory]: &[f64; 4]) -> String {
    format!("{name:26} {messages:11.2} {bytes:11.0} {core:8.3} {memory:11.2}\n")
}
