//! Tests both programs from the command line: settings, errors, exit codes and output.

mod support;

use expect_test::expect;
use serde_json::Value;
use standins::fleet::{Fleet, binaries_folder};
use std::fs;
use std::process::{Command, Output};
use support::{options, start, wait_until};

const SETTINGS: &str = r#"host = "tyrol-a-1"
domain = "tyrol-a"
http = "127.0.0.1:8100"
peer = "127.0.0.1:8101"
store = "127.0.0.1:8500"
peer_key = "6b657920666f7220617072696365747420746573747320616e6420747269616c"
operator_key = "operators-only"
"#;

/// Runs `apricotrund check` on a settings text and returns its exit code and standard error.
fn check(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    fs::write(folder.path().join("host.toml"), text).expect("file written");
    let output = Command::new(binaries_folder().join("apricotrund"))
        .args(["check", "--config", "host.toml"])
        .current_dir(folder.path())
        .output()
        .expect("program starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn valid_settings_pass() {
    assert_eq!(check(SETTINGS), (Some(0), String::new()));
}

#[test]
fn unknown_key_is_named_with_the_allowed_ones() {
    let (code, error) = check(&format!("{SETTINGS}sedes = []\n"));
    assert_eq!(code, Some(2));
    assert!(error.contains("host.toml"), "{error}");
    assert!(error.contains("unknown field `sedes`"), "{error}");
    assert!(error.contains("`seeds`"), "{error}");
}

#[test]
fn invalid_value_is_shown_with_the_allowed_values() {
    let (code, error) = check(&SETTINGS.replace("tyrol-a-1", "tyrol a 1"));
    assert_eq!(code, Some(2));
    expect![[r#"
        apricotrund: host.toml: TOML parse error at line 1, column 8
          |
        1 | host = "tyrol a 1"
          |        ^^^^^^^^^^^
        host "tyrol a 1" is invalid: 1 to 64 letters, digits, '-' or '_' are allowed

    "#]]
    .assert_eq(&error);
    let (_, error) = check(&SETTINGS.replace("127.0.0.1:8100", "localhost"));
    assert!(error.contains("http = \"localhost\""), "{error}");
    let (_, error) = check(&format!("{SETTINGS}body_limit_bytes = 5\n"));
    expect![[r#"
        apricotrund: host.toml: body_limit_bytes = 5: 1024 to 67108864 are allowed
    "#]]
    .assert_eq(&error);
    let (_, error) = check(&SETTINGS.replace("6b65", "zz"));
    assert!(error.contains("64 hexadecimal digits are allowed"), "{error}");
}

#[test]
fn missing_file_and_key_are_named() {
    let output = Command::new(binaries_folder().join("apricotrund"))
        .args(["check", "--config", "/nowhere/host.toml"])
        .output()
        .expect("program starts");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_of(&output).contains("/nowhere/host.toml"), "{}", stderr_of(&output));
    let (_, error) = check(&SETTINGS.replace("domain = \"tyrol-a\"\n", ""));
    assert!(error.contains("missing field `domain`"), "{error}");
}

#[test]
fn missing_option_names_its_environment_variable() {
    let output = Command::new(binaries_folder().join("apricotctl"))
        .args(["template", "list"])
        .env_remove("APRICOTRUN_STORE")
        .output()
        .expect("program starts");
    assert_eq!(output.status.code(), Some(1));
    let error = "apricotctl: --store is missing; give it or set APRICOTRUN_STORE\n";
    assert_eq!(stderr_of(&output), error);
}

#[test]
fn unreachable_store_has_its_own_exit_code() {
    let output = Command::new(binaries_folder().join("apricotctl"))
        .args(["--store", "127.0.0.1:9", "template", "list"])
        .output()
        .expect("program starts");
    assert_eq!(output.status.code(), Some(5), "{}", stderr_of(&output));
}

/// Runs `apricotctl --json` and returns the parsed output.
fn json(fleet: &Fleet, args: &[&str]) -> Value {
    let args: Vec<_> = std::iter::once("--json").chain(args.iter().copied()).collect();
    serde_json::from_str(&fleet.ctl(&args).expect("success")).expect("JSON")
}

#[test]
fn documents_are_listed_changed_compared_and_removed() {
    let fleet = start(options());
    let list = json(&fleet, &["account", "list"]);
    assert_eq!(list.as_array().map(Vec::len), Some(2), "{list}");
    let text = standins::fleet::account_document("desk", "desk-key").replace("0.5", "0.25");
    fleet.write("desk2.toml", &text).expect("file written");
    let before = json(&fleet, &["account", "get", "desk"])["revision"].to_string();
    let after = json(&fleet, &["account", "put", "desk", "desk2.toml"])["revision"].to_string();
    let history = json(&fleet, &["account", "history", "desk"]);
    assert_eq!(history.as_array().map(Vec::len), Some(2), "{history}");
    let diff = fleet.ctl(&["account", "diff", "desk", &before, &after]).expect("success");
    expect![[r#"
        - share = 0.5
        + share = 0.25
        - share = 0.5
        + share = 0.25
    "#]]
    .assert_eq(&diff);
    fleet.ctl(&["account", "remove", "field"]).expect("success");
    let output = fleet.try_ctl(&["account", "get", "field"]).expect("apricotctl runs");
    assert!(stderr_of(&output).contains("account/field was removed at revision"), "{output:?}");
    let caller = support::Caller::with_key(standins::fleet::FIELD_KEY);
    wait_until("the removed account is unknown", || {
        caller.complete(&fleet.daemons[0], "x", 1).status == 401
    });
}

#[test]
fn unknown_document_stale_base_and_invalid_name_have_their_exit_codes() {
    let fleet = start(options());
    let output = fleet.try_ctl(&["template", "get", "nothing"]).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_of(&output).contains("template/nothing does not exist"));
    let put = ["template", "put", "rental-app", "app.toml", "--base", "999"];
    let output = fleet.try_ctl(&put).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(3), "{}", stderr_of(&output));
    let output = fleet.try_ctl(&["template", "get", "not a name"]).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(2), "{}", stderr_of(&output));
}

#[test]
fn status_shows_owners_slots_and_revisions() {
    let fleet = start(options());
    let status = json(&fleet, &["status"]);
    let rows = status.as_array().expect("a JSON array");
    assert_eq!(rows.len(), 2);
    for row in rows {
        assert_eq!(row["domain"], "tyrol-a");
        assert!(row["revision"].as_u64() > Some(0), "{row}");
    }
    let text = fleet.ctl(&["status"]).expect("success");
    assert!(text.contains("owns fitting-llm, 0 waiting"), "{text}");
    assert!(text.contains("tyrol-a-decode-1 0/20 slots, 0 KV blocks"), "{text}");
}

/// Asks where a request would go, then sends it, and compares with where it ran.
#[test]
fn route_names_the_upstream_that_a_request_then_gets() {
    let fleet = start(options());
    let args = ["route", "fitting-llm", "--account", "desk", "--prompt-tokens", "100"];
    let rows = json(&fleet, &args);
    let rows = rows.as_array().expect("a JSON array");
    assert_eq!(rows.len(), 1, "one daemon owns the shard: {rows:?}");
    assert_eq!(rows[0]["preview"]["decision"], "grant", "{rows:?}");
    let runner = rows[0]["preview"]["runner"].as_str().expect("an upstream").to_owned();
    let text = fleet.ctl(&args).expect("success");
    assert!(text.contains(&format!("would run it at {runner}")), "{text}");
    assert!(text.contains("0/20 slots, has room"), "{text}");
    let served = |fleet: &Fleet| {
        let reports = support::engine_reports(fleet, &runner);
        reports.iter().map(|report| report.started).sum::<u64>()
    };
    let before = served(&fleet);
    let caller = support::Caller::default();
    assert_eq!(caller.complete(&fleet.daemons[0], "x", 1).status, 200);
    assert_eq!(served(&fleet), before + 1, "the request ran at {runner}");
    let output =
        fleet.try_ctl(&["route", "nothing", "--account", "desk"]).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(1), "{}", stderr_of(&output));
}

#[test]
fn drain_preserves_the_rest_of_the_template() {
    let fleet = start(options());
    let text = fleet.llm_template() + "\n[[adapter]]\nname = \"ski\"\npath = \"/weights/ski\"\n";
    fleet.write("with_adapter.toml", &text).expect("file written");
    fleet.ctl(&["apply", "with_adapter.toml"]).expect("success");
    fleet.ctl(&["drain", "upstream", "fitting-llm", "tyrol-a-decode-1"]).expect("success");
    let text = fleet.ctl(&["template", "get", "fitting-llm"]).expect("success");
    assert!(text.contains("leaving = true"), "{text}");
    assert!(text.contains("[[adapter]]"), "{text}");
    assert!(text.contains("first_token_target_ms = 2000"), "{text}");
}

#[test]
fn drained_host_stops() {
    let mut fleet = start(options());
    fleet.ctl(&["drain", "host", "tyrol-a-1"]).expect("success");
    assert_eq!(fleet.daemons[1].wait(support::WAIT_TIMEOUT), Some(true));
    let output = fleet.try_ctl(&["drain", "host", "nobody"]).expect("apricotctl runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_of(&output).contains("is not a member"), "{}", stderr_of(&output));
}
