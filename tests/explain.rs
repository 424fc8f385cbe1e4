//! Tests `apricotctl explain` on recorded logs.

mod recorded;

use expect_test::{Expect, expect};
use recorded::run_on_logs;

/// The logs of two daemons. Request `cut1` fails together with its worker, `full1` is refused for
/// overload, and `book1` fails at a worker that goes on.
const ENTRY_LOG: &str = r#"{"timestamp":"2026-09-12T05:06:52.044000+00:00","level":"INFO","message":"entry: accepted","kvs":{"request":"cut1","route":"note","prompt":6495}}
{"timestamp":"2026-09-12T05:06:52.045000+00:00","level":"INFO","message":"entry: granted","kvs":{"request":"cut1","runner":"w7","prefill":"w2"}}
{"timestamp":"2026-09-12T05:06:52.181000+00:00","level":"INFO","message":"entry: first token","kvs":{"request":"cut1","age_ms":137}}
thread 'main' is not a log line
{"timestamp":"2026-09-12T05:06:57.512000+00:00","level":"INFO","message":"entry: not answered","kvs":{"request":"cut1","reason":"UpstreamFailed","verdict":"may-have-run","status":502}}
{"timestamp":"2026-09-12T05:06:57.601000+00:00","level":"INFO","message":"entry: accepted","kvs":{"request":"full1","route":"note"}}
{"timestamp":"2026-09-12T05:06:58.327000+00:00","level":"INFO","message":"entry: not answered","kvs":{"request":"full1","reason":"Overloaded","verdict":"not-run","status":429,"come_back_ms":3000}}
{"timestamp":"2026-09-12T05:06:58.500000+00:00","level":"INFO","message":"entry: granted","kvs":{"request":"book1","runner":"w9","prefill":""}}
{"timestamp":"2026-09-12T05:06:58.501000+00:00","level":"INFO","message":"entry: an upstream failed","kvs":{"request":"book1","runner":"w9","loss":"Broken"}}
{"timestamp":"2026-09-12T05:06:58.502000+00:00","level":"INFO","message":"entry: not answered","kvs":{"request":"book1","reason":"UpstreamFailed","verdict":"may-have-run","status":502}}
"#;
const OTHER_LOG: &str = r#"{"timestamp":"2026-09-12T05:06:59.659000+00:00","level":"INFO","message":"upstream: is gone","kvs":{"upstream":"w7"}}
{"timestamp":"2026-09-12T05:08:59.659000+00:00","level":"INFO","message":"upstream: is gone","kvs":{"upstream":"w9"}}
"#;

/// Runs `apricotctl explain` on both logs and compares its output.
fn explain(request: &str, options: &[&str], expected: Expect) {
    let files = [("a.log", ENTRY_LOG), ("b.log", OTHER_LOG)];
    let args: Vec<_> =
        options.iter().chain(&["explain", request, "b.log", "a.log"]).copied().collect();
    expected.assert_eq(&run_on_logs(&files, &args));
}

#[test]
fn failed_stream_is_attributed_to_its_lost_worker() {
    explain(
        "cut1",
        &[],
        expect![[r#"
           +0.000 a.log          entry: accepted prompt=6495 route="note"
           +0.001 a.log          entry: granted prefill="w2" runner="w7"
           +0.137 a.log          entry: first token age_ms=137
           +5.468 a.log          entry: not answered reason="UpstreamFailed" status=502 verdict="may-have-run"
           +7.615 b.log          upstream: is gone upstream="w7"
        may have run: UpstreamFailed at w7, which is gone
    "#]],
    );
}

#[test]
fn refusal_is_attributed_to_overload() {
    explain(
        "full1",
        &[],
        expect![[r#"
           +0.000 a.log          entry: accepted route="note"
           +0.726 a.log          entry: not answered come_back_ms=3000 reason="Overloaded" status=429 verdict="not-run"
        not run: there was no room that would have kept its target
    "#]],
    );
}

#[test]
fn request_without_a_response_names_its_worker() {
    explain(
        "book1",
        &[],
        expect![[r#"
           +0.000 a.log          entry: granted prefill="" runner="w9"
           +0.001 a.log          entry: an upstream failed loss="Broken" runner="w9"
           +0.002 a.log          entry: not answered reason="UpstreamFailed" status=502 verdict="may-have-run"
        may have run: UpstreamFailed at w9, which still lives as far as the logs say
    "#]],
    );
}

#[test]
fn unknown_request_is_an_error() {
    explain(
        "nobody",
        &[],
        expect![[r#"
        apricotctl: no log line about request nobody: no daemon of these logs received it, or its daemon ended before it logged the request
    "#]],
    );
}
