//! Tests `apricotctl report` on recorded logs.

mod recorded;

use expect_test::{Expect, expect};
use recorded::run_on_logs;

/// One daemon's log of three requests, of which one is answered, one refused and one still open.
const LOG: &str = r#"{"timestamp":"2026-09-12T05:06:50.000000+00:00","level":"INFO","message":"daemon: started","kvs":{"domain":"tyrol-a","host":"a"}}
{"timestamp":"2026-09-12T05:06:52.000000+00:00","level":"INFO","message":"entry: accepted","kvs":{"request":"r1","service":"llm"}}
{"timestamp":"2026-09-12T05:06:52.137000+00:00","level":"INFO","message":"entry: first token","kvs":{"request":"r1","age_ms":137}}
{"timestamp":"2026-09-12T05:06:55.000000+00:00","level":"INFO","message":"entry: answered","kvs":{"request":"r1","took_ms":3000}}
thread 'main' is not a log line
{"timestamp":"2026-09-12T05:06:58.000000+00:00","level":"INFO","message":"entry: accepted","kvs":{"request":"r2","service":"llm"}}
{"timestamp":"2026-09-12T05:06:58.700000+00:00","level":"INFO","message":"entry: not answered","kvs":{"request":"r2","reason":"Overloaded","verdict":"not-run","status":429}}
{"timestamp":"2026-09-12T05:06:58.800000+00:00","level":"INFO","message":"entry: accepted","kvs":{"request":"r3","service":"app"}}
{"timestamp":"2026-09-12T05:06:59.000000+00:00","level":"INFO","message":"log: lines were left out","kvs":{"kind":"Accepted","left_out":3}}
"#;

/// Runs `apricotctl report` on the log or an empty file and compares its output.
fn report(args: &[&str], expected: Expect) {
    let args: Vec<_> = ["report"].iter().chain(args).copied().collect();
    expected.assert_eq(&run_on_logs(&[("a.log", LOG), ("empty.log", "")], &args));
}

#[test]
fn requests_are_summarized_by_service_domain_and_time() {
    report(
        &["a.log"],
        expect![[r#"
        service              accepted answered   left   open  first p50 ms  first p99 ms  ended
        app                         1        0      0      1             -             -
        llm                         2        1      0      0           137           137  not-run Overloaded: 1
        failure domain       accepted answered   left   open  first p50 ms  first p99 ms  ended
        tyrol-a                     3        1      0      1           137           137  not-run Overloaded: 1
        from second          accepted answered   left   open  first p50 ms  first p99 ms  ended
        0                           1        1      0      0           137           137
        5                           2        0      0      1             -             -  not-run Overloaded: 1
        the daemons suppressed 3 log lines
    "#]],
    );
}

#[test]
fn logs_without_requests_are_an_error() {
    report(
        &["empty.log"],
        expect![[r#"
        apricotctl: no request was accepted in these logs
    "#]],
    );
}

#[test]
fn request_rates_are_drawn() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("rates.svg");
    let path = path.to_str().expect("UTF-8 path");
    run_on_logs(&[("a.log", LOG)], &["report", "a.log", "--svg", path]);
    let chart = std::fs::read_to_string(path).expect("chart file");
    for part in ["<svg", "accepted", "answered", "refused or failed", "requests per second"] {
        assert!(chart.contains(part), "{part} is missing");
    }
}

#[test]
fn unwritable_chart_file_is_an_error() {
    report(
        &["a.log", "--svg", "missing/rates.svg"],
        expect![[r#"
            apricotctl: missing/rates.svg: backend error: Drawing backend error: No such file or directory (os error 2)
        "#]],
    );
}
