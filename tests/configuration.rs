//! Tests that an accepted change of the configuration is in force everywhere within seconds and is
//! never reverted.

mod support;

use serde_json::Value;
use standins::fleet::{Fleet, FleetOptions};
use standins::store::StoreFaults;
use std::time::Duration;
use support::{Caller, WAIT_TIMEOUT, options, start, wait_until, wait_within};

/// How soon an accepted change must be in force in every reachable failure domain.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

fn two_domains() -> FleetOptions {
    let mut options = options();
    options.domains = vec!["tyrol-a".to_owned(), "tyrol-b".to_owned()];
    options
}

fn status_of(fleet: &Fleet, index: usize) -> Value {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let url = fleet.daemons[index].url("/control/status");
    let response = client.get(url).bearer_auth(standins::fleet::OPERATOR_KEY).send();
    response.and_then(|response| response.json()).unwrap_or(Value::Null)
}

fn revision_of(fleet: &Fleet, index: usize) -> u64 {
    status_of(fleet, index)["revision"].as_u64().unwrap_or_default()
}

fn put_changed_template(fleet: &Fleet, deadline_ms: u64) -> u64 {
    let text = fleet
        .app_template()
        .replace("deadline_ms = 20000", &format!("deadline_ms = {deadline_ms}"));
    fleet.write("changed.toml", &text).expect("file written");
    let output = fleet.ctl(&["--json", "template", "put", "rental-app", "changed.toml"]);
    let result: Value = serde_json::from_str(&output.expect("the edit is accepted")).expect("JSON");
    result["revision"].as_u64().expect("revision")
}

fn all_have_revision(fleet: &Fleet, revision: u64) -> bool {
    (0..fleet.daemons.len()).all(|index| revision_of(fleet, index) >= revision)
}

#[test]
fn change_is_in_force_everywhere_within_the_limit() {
    let fleet = start(two_domains());
    for round in 0..5 {
        let revision = put_changed_template(&fleet, 15_000 + round);
        wait_within("the change is in force", PROPAGATION_LIMIT, || {
            all_have_revision(&fleet, revision)
        });
    }
}

#[test]
fn apply_waits_until_the_change_is_in_force() {
    let fleet = start(two_domains());
    let text = fleet.ctl(&["apply", "--wait", "30", "app.toml"]).expect("in force");
    assert!(text.contains("is in force in tyrol-a, tyrol-b"), "{text}");
    fleet.daemons[2..].iter().for_each(|daemon| daemon.signal("STOP"));
    let output = fleet.try_ctl(&["apply", "--wait", "1", "app.toml"]).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(4));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("tyrol-b: tyrol-b-0 does not answer"), "{error}");
    assert!(error.contains("tyrol-b-1 does not answer"), "{error}");
    fleet.daemons[2..].iter().for_each(|daemon| daemon.signal("CONT"));
    fleet.ctl(&["apply", "--wait", "30", "app.toml"]).expect("in force");
}

/// Makes a daemon drop all traffic to and from the given peers.
fn block_peers(http: std::net::SocketAddr, peers: &[std::net::SocketAddr]) {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let response = client
        .post(format!("http://{http}/control/faults"))
        .bearer_auth(standins::fleet::OPERATOR_KEY)
        .json(&serde_json::json!({ "block": peers }))
        .send();
    assert!(response.expect("response").status().is_success());
}

#[test]
fn restored_store_does_not_revert_the_configuration() {
    let fleet = start(two_domains());
    let copy = fleet.store.snapshot();
    let revision = put_changed_template(&fleet, 12_345);
    wait_until("the change is in force", || all_have_revision(&fleet, revision));
    fleet.store.restore(copy);
    std::thread::sleep(Duration::from_secs(2));
    for index in 0..4 {
        assert_eq!(revision_of(&fleet, index), revision);
    }
    let next = put_changed_template(&fleet, 12_346);
    assert!(next > revision, "{next} must be above {revision}");
    wait_until("the next change is in force", || all_have_revision(&fleet, next));
}

#[test]
fn new_daemon_starts_from_its_peers_while_the_store_is_down() {
    let mut fleet = start(two_domains());
    let revision = revision_of(&fleet, 0);
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    fleet.restart(1).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    assert_eq!(revision_of(&fleet, 1), revision);
    let response = Caller::default().complete(&fleet.daemons[1], "store down", 3);
    assert!(response.streamed_text().is_some(), "{}", response.body);
}

#[test]
fn partitioned_failure_domain_keeps_serving_and_catches_up() {
    let fleet = start(two_domains());
    let peers = |range: std::ops::Range<usize>| -> Vec<_> {
        fleet.daemons[range].iter().map(|daemon| daemon.peer).collect()
    };
    for index in 0..2 {
        block_peers(fleet.daemons[index].http, &peers(2..4));
    }
    for index in 2..4 {
        block_peers(fleet.daemons[index].http, &peers(0..2));
    }
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    wait_until("each side notices the partition", || {
        (0..4).all(|index| {
            let status = status_of(&fleet, index);
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().filter(|member| member["state"] == "Dead").count() == 2
        })
    });
    for daemon in &fleet.daemons {
        let response = Caller::default().complete(daemon, "cut off", 3);
        assert!(response.streamed_text().is_some(), "{} {}", daemon.host, response.body);
    }
    fleet.store.set_faults(StoreFaults::default());
    for daemon in &fleet.daemons {
        block_peers(daemon.http, &[]);
    }
    wait_until("the members know each other again", || {
        (0..4).all(|index| {
            let status = status_of(&fleet, index);
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().filter(|member| member["state"] == "Alive").count() == 4
        })
    });
    let revision = put_changed_template(&fleet, 11_111);
    wait_until("a change reaches both sides", || all_have_revision(&fleet, revision));
}

#[test]
fn lost_response_to_a_write_is_resolved_by_reading_back() {
    let fleet = start(options());
    for lost in 1..=2 {
        fleet.store.set_faults(StoreFaults { lose_answers: lost, ..StoreFaults::default() });
        let before = revision_of(&fleet, 0);
        let revision = put_changed_template(&fleet, 13_000 + u64::from(lost));
        assert!(revision > before);
        let history = fleet.ctl(&["template", "history", "rental-app"]).expect("success");
        let hits = history.lines().filter(|line| line.starts_with(&format!("{revision} "))).count();
        assert_eq!(hits, 1, "{history}");
    }
}

#[test]
fn of_two_concurrent_edits_one_fails_with_the_difference() {
    let fleet = start(options());
    let output = fleet.ctl(&["--json", "template", "get", "rental-app"]).expect("success");
    let document: Value = serde_json::from_str(&output).expect("JSON");
    let base = document["revision"].to_string();
    for (file, deadline) in [("one.toml", "17001"), ("two.toml", "17002")] {
        let text = fleet.app_template().replace("20000", deadline);
        fleet.write(file, &text).expect("file written");
    }
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let edits = ["one.toml", "two.toml"].map(|file| {
            let (fleet, base) = (&fleet, &base);
            scope.spawn(move || {
                fleet.try_ctl(&["template", "put", "rental-app", file, "--base", base])
            })
        });
        edits
            .map(|edit| edit.join().expect("edit thread finishes").expect("apricotctl runs"))
            .into_iter()
            .collect()
    });
    let mut codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)]);
    let loser = outputs.iter().find(|output| !output.status.success()).expect("one edit fails");
    let error = String::from_utf8_lossy(&loser.stderr).into_owned();
    assert!(error.contains("- deadline_ms = 1700"), "{error}");
    assert!(error.contains("+ deadline_ms = 1700"), "{error}");
}

#[test]
fn invalid_document_is_refused_and_changes_nothing() {
    let fleet = start(options());
    let before = revision_of(&fleet, 0);
    fleet.write("bad.toml", "service = \"rental-app\"\nslots = 3\n").expect("file written");
    let output =
        fleet.try_ctl(&["template", "put", "rental-app", "bad.toml"]).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("unknown field `slots`"), "{error}");
    assert_eq!(revision_of(&fleet, 0), before);
}

#[test]
fn control_interface_requires_the_operator_key() {
    let fleet = start(options());
    let client = reqwest::blocking::Client::builder().no_proxy().timeout(WAIT_TIMEOUT).build();
    let client = client.expect("HTTP client");
    let response = client.get(fleet.daemons[0].url("/control/status")).bearer_auth("guess").send();
    assert_eq!(response.expect("response").status().as_u16(), 401);
}
