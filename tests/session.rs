//! Compares complete HTTP responses of a running deployment with expected ones.

mod support;

use expect_test::expect;
use serde_json::json;
use standins::engine::expected_output;
use support::{Caller, CallerResponse, options, start};

/// Formats a response for comparison, with the values that differ between runs masked.
fn masked(response: &CallerResponse) -> String {
    let mut body = response.json();
    for key in ["id", "retry_after_ms", "return_pass"] {
        if let Some(value) = body.get_mut(key) {
            *value = json!("*");
        }
    }
    let mut text = format!("{}\n", response.status);
    if let Some(verdict) = &response.verdict {
        text += &format!("verdict: {verdict}\n");
    }
    if response.replayed {
        text += "replayed\n";
    }
    text + &serde_json::to_string_pretty(&body).expect("JSON")
}

#[test]
fn streamed_completion() {
    let fleet = start(options());
    let response = Caller::default().complete(&fleet.daemons[0], "boot 27.5", 5);
    let (lines, ids): (Vec<_>, Vec<_>) = response
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| match serde_json::from_str::<serde_json::Value>(data) {
            Ok(mut value) => {
                let id = value["id"].take();
                (value.to_string(), id.to_string())
            }
            Err(_) => (data.to_owned(), String::new()),
        })
        .unzip();
    assert!(ids[..6].iter().all(|id| *id == ids[0]), "{ids:?}");
    expect![[r#"
        {"choices":[{"finish_reason":null,"index":0,"text":" 65df"}],"id":null,"model":"fitting-7b","object":"text_completion"}
        {"choices":[{"finish_reason":null,"index":0,"text":" afe7"}],"id":null,"model":"fitting-7b","object":"text_completion"}
        {"choices":[{"finish_reason":null,"index":0,"text":" ecaf"}],"id":null,"model":"fitting-7b","object":"text_completion"}
        {"choices":[{"finish_reason":null,"index":0,"text":" 9369"}],"id":null,"model":"fitting-7b","object":"text_completion"}
        {"choices":[{"finish_reason":null,"index":0,"text":" 24bd"}],"id":null,"model":"fitting-7b","object":"text_completion"}
        {"choices":[{"finish_reason":"stop","index":0,"text":""}],"id":null,"model":"fitting-7b","object":"text_completion"}
        [DONE]"#]].assert_eq(&lines.join("\n"));
    assert_eq!(response.streamed_text(), Some(expected_output("boot 27.5", 5)));
}

#[test]
fn completion_as_one_body() {
    let fleet = start(options());
    let body = support::completion("boot 27.5", 3, false);
    let caller = Caller::default();
    let response = caller.send(&fleet.daemons[1], "POST", "/v1/completions", &[], &body);
    expect![[r#"
        200
        {
          "choices": [
            {
              "finish_reason": "stop",
              "index": 0,
              "text": " 65df afe7 ecaf"
            }
          ],
          "id": "*",
          "model": "fitting-7b",
          "object": "text_completion",
          "usage": {
            "completion_tokens": 3,
            "prompt_tokens": 3,
            "total_tokens": 6
          }
        }"#]]
    .assert_eq(&masked(&response.expect("response")));
}

#[test]
fn plain_call_and_ticketed_call() {
    let fleet = start(options());
    let caller = Caller::default();
    let (first, second) = (&fleet.daemons[0], &fleet.daemons[1]);
    let plain = caller.send(first, "GET", "/services/rental-app/skis?size=170", &[], "");
    expect![[r#"
        200
        verdict: ran
        {
          "call": "GET /skis?size=170",
          "executed": 1
        }"#]]
    .assert_eq(&masked(&plain.expect("response")));
    let ticket = caller.request_ticket(first);
    let booked = caller.request_booking(second, ("Apricotrun-Ticket", &ticket), "K2");
    expect![[r#"
        200
        verdict: ran
        {
          "call": "POST /bookings K2",
          "executed": 1
        }"#]]
    .assert_eq(&masked(&booked.expect("response")));
    let again = caller.request_booking(first, ("Apricotrun-Ticket", &ticket), "K2");
    expect![[r#"
        200
        verdict: ran
        replayed
        {
          "call": "POST /bookings K2",
          "executed": 1
        }"#]]
    .assert_eq(&masked(&again.expect("response")));
    let other = caller.request_booking(first, ("Apricotrun-Ticket", &ticket), "Atomic");
    expect![[r#"
        422
        verdict: not-run
        {
          "error": {
            "code": "bad-ticket",
            "message": "the ticket is malformed, expired or used for another request",
            "type": "apricotrun_refusal"
          },
          "reason": "bad-ticket",
          "status": 422,
          "title": "the ticket is malformed, expired or used for another request",
          "type": "urn:apricotrun:refusal:bad-ticket",
          "verdict": "not-run"
        }"#]]
    .assert_eq(&masked(&other.expect("response")));
}

#[test]
fn refusals() {
    let fleet = start(options());
    let daemon = &fleet.daemons[0];
    let nobody = Caller::with_key("nobody").complete(daemon, "x", 1);
    expect![[r#"
        401
        verdict: not-run
        {
          "error": {
            "code": "unknown-account",
            "message": "the bearer key belongs to no client account",
            "type": "apricotrun_refusal"
          },
          "reason": "unknown-account",
          "status": 401,
          "title": "the bearer key belongs to no client account",
          "type": "urn:apricotrun:refusal:unknown-account",
          "verdict": "not-run"
        }"#]]
    .assert_eq(&masked(&nobody));
    let caller = Caller::default();
    let unbound = caller.send(daemon, "POST", "/services/rental-app/bookings", &[], "K2");
    expect![[r#"
        428
        verdict: not-run
        {
          "error": {
            "code": "needs-ticket",
            "message": "a request that may not be repeated needs an Apricotrun-Ticket or Idempotency-Key header",
            "type": "apricotrun_refusal"
          },
          "reason": "needs-ticket",
          "status": 428,
          "title": "a request that may not be repeated needs an Apricotrun-Ticket or Idempotency-Key header",
          "type": "urn:apricotrun:refusal:needs-ticket",
          "verdict": "not-run"
        }"#]].assert_eq(&masked(&unbound.expect("response")));
    let large = caller.complete(daemon, "x", 1_000_000);
    expect![[r#"
        413
        verdict: not-run
        {
          "error": {
            "code": "too-large",
            "message": "the request needs more engine memory than any upstream has",
            "type": "apricotrun_refusal"
          },
          "reason": "too-large",
          "status": 413,
          "title": "the request needs more engine memory than any upstream has",
          "type": "urn:apricotrun:refusal:too-large",
          "verdict": "not-run"
        }"#]]
    .assert_eq(&masked(&large));
    let unknown = r#"{"model": "none", "prompt": "x"}"#;
    let unknown = caller.send(daemon, "POST", "/v1/completions", &[], unknown);
    expect![[r#"
        404
        verdict: not-run
        {
          "error": {
            "code": "unknown-service",
            "message": "no template serves this model or service",
            "type": "apricotrun_refusal"
          },
          "reason": "unknown-service",
          "status": 404,
          "title": "no template serves this model or service",
          "type": "urn:apricotrun:refusal:unknown-service",
          "verdict": "not-run"
        }"#]]
    .assert_eq(&masked(&unknown.expect("response")));
    let malformed = caller.send(daemon, "POST", "/v1/completions", &[], "{");
    expect![[r#"
        422
        verdict: not-run
        {
          "error": {
            "code": "bad-request",
            "message": "the request is malformed",
            "type": "apricotrun_refusal"
          },
          "reason": "bad-request",
          "status": 422,
          "title": "the request is malformed",
          "type": "urn:apricotrun:refusal:bad-request",
          "verdict": "not-run"
        }"#]]
    .assert_eq(&masked(&malformed.expect("response")));
}
