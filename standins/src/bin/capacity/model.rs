//! What each role costs at the two-year size, from the measured slopes.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

const DAEMONS: f64 = 330.0;
const DOMAINS: f64 = 6.0;
const MODELS: f64 = 30.0;
const WORKERS: f64 = 600.0;
const ACCOUNTS: f64 = 2_200.0;
const REQUESTS: f64 = 3_000.0;
const TOKENS: f64 = 1_400_000.0;
const BETWEEN_TOKENS: f64 = 0.034;
const FIRST_TOKEN: f64 = 0.35;
const CHANGES_A_DAY: f64 = 770.0;
const RESTARTS_A_DAY: f64 = 320.0;
const DAY: f64 = 86_400.0;
/// How often an entry sends summaries, in seconds.
const SUMMARY_PERIOD: f64 = 5.0;
/// The daemons that know the claims of a shard.
const HOLDERS: f64 = 3.0;
/// How many members' changes a restart brings: leaving, dead, joined.
const CHANGES_A_RESTART: f64 = 3.0;
/// The claim updates of a request: granted, transferring, running.
const CLAIM_UPDATES: f64 = 3.0;

/// Reads the first number behind a name in a measured table.
fn value(folder: &Path, file: &str, name: &str) -> io::Result<f64> {
    let text = fs::read_to_string(folder.join(format!("{file}.txt")))?;
    let found = text.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        (words.next() == Some(name)).then(|| words.next()?.parse().ok()).flatten()
    });
    found.ok_or_else(|| io::Error::other(format!("{file}.txt has no {name}")))
}

/// Reads a named figure of a row that starts with a size.
fn point(folder: &Path, file: &str, size: &str, name: &str) -> io::Result<f64> {
    let text = fs::read_to_string(folder.join(format!("{file}.txt")))?;
    let row = text.lines().find(|line| line.split_whitespace().next() == Some(size));
    let words: Vec<_> = row.unwrap_or_default().split_whitespace().collect();
    let place = words.iter().position(|word| *word == name);
    let found = place.and_then(|place| words.get(place + 1)?.parse().ok());
    found.ok_or_else(|| io::Error::other(format!("{file}.txt has no {name} at {size}")))
}

/// Works out the table of roles.
pub fn roles(folder: &Path) -> io::Result<String> {
    let bytes = |name| value(folder, "bytes", name);
    let time = |name| value(folder, "times", name);
    let memory = |name| value(folder, "memory", name);
    let per_domain = DAEMONS / DOMAINS;
    let shards = MODELS * DOMAINS;
    let requests = REQUESTS / DAEMONS;
    let hold = FIRST_TOKEN + TOKENS / REQUESTS * BETWEEN_TOKENS;
    let claims = requests * hold;
    let shard_requests = REQUESTS / shards;
    let owned = shards / DAEMONS;
    let held = owned * HOLDERS;
    let codec = time("codec_claim_both_ways")?;
    let mut rows: BTreeMap<&str, [f64; 4]> = BTreeMap::new();

    let messages = 2.0 + (CLAIM_UPDATES + 1.0) * (HOLDERS - 1.0);
    let request_bytes = bytes("ask")?
        + bytes("grant")?
        + (HOLDERS - 1.0) * (CLAIM_UPDATES * bytes("claim")? + bytes("release")?);
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

    let relay_us = requests * value(folder, "relay", "us_a_request")?
        + TOKENS / DAEMONS * value(folder, "relay", "us_a_token")?;
    rows.insert("entry, relay, request path", [0.0, 0.0, relay_us / 1e4, 0.0]);

    let owner_time = time("owner_16_workers_1000_waiting")?;
    let owner_requests = owned * shard_requests;
    let owner_cpu = owner_requests * (owner_time + messages * codec) / 1e7;
    let owner_memory = held * shard_requests * hold * memory("claim_at_owner")?
        + owned * 1_000.0 * memory("waiting_at_owner")?;
    rows.insert(
        "shard owner, request path",
        [owner_requests * messages, owner_requests * request_bytes, owner_cpu, owner_memory / 1e6],
    );

    let summaries = MODELS * (HOLDERS - 1.0) / SUMMARY_PERIOD;
    let received = held * per_domain / SUMMARY_PERIOD;
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

    let gossip = point(folder, "members", "330", "sent_bytes_per_s")?;
    rows.insert(
        "member",
        [16.0, 2.0 * gossip, 16.0 * codec / 1e7, DAEMONS * memory("member")? / 1e6],
    );

    let membership = RESTARTS_A_DAY * CHANGES_A_RESTART / DAY;
    rows.insert(
        "member changes",
        [
            membership * MODELS * HOLDERS,
            membership * MODELS * HOLDERS * summary,
            membership * MODELS * HOLDERS * codec / 1e7,
            0.0,
        ],
    );

    // What a daemon costs that does nothing, as the line through the sizes of real deployments.
    let core = value(folder, "fleets", "fit_core_percent")?;
    let rest = value(folder, "fleets", "fit_memory_mb")?;
    rows.insert("daemon at rest", [0.0, 0.0, core, rest]);

    let changes = CHANGES_A_DAY / DAY;
    let have = 2.0 * bytes("config_have")? + bytes("config_delta_1")? + bytes("config_have")?;
    let restart = RESTARTS_A_DAY / DAY / DAEMONS * bytes("config_delta_2200")?;
    let build = time("config_build_2200_accounts")?;
    rows.insert(
        "configuration",
        [
            changes * 4.0,
            changes * have + 2.0 * restart,
            changes * (build + 4.0 * codec) / 1e7,
            2.0 * ACCOUNTS * memory("account_in_configuration")? / 1e6,
        ],
    );

    let mut text =
        String::from("role                        messages/s     bytes/s   core %   memory MB\n");
    let mut control = [0.0; 4];
    for (name, row) in &rows {
        text += &line(name, row);
        if !name.contains("request path") {
            control.iter_mut().zip(row).for_each(|(sum, value)| *sum += value);
        }
    }
    text += &line("control, sum", &control);
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
        REQUESTS * hold,
        WORKERS / shards
    );
    Ok(text)
}

fn line(name: &str, [messages, bytes, core, memory]: &[f64; 4]) -> String {
    format!("{name:26} {messages:11.2} {bytes:11.0} {core:8.3} {memory:11.2}\n")
}
