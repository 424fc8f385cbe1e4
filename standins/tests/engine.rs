//! The stand-in engine fails in the way a real engine does.

use serde_json::json;
use standins::engine::{EngineConfig, start};
use std::thread;
use std::time::Duration;

/// Guards against a crashed engine that still returns a prefill result: the request then went on to
/// a decode worker and crashed that one too, so a single request could crash a third engine.
#[test]
fn crashed_engine_sends_no_response() {
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| (0..8).for_each(|_| crash_engine()));
        }
    });
}

fn crash_engine() {
    let client = reqwest::blocking::Client::builder().timeout(Duration::from_secs(10)).build();
    let client = client.expect("HTTP client");
    let config = EngineConfig { prefill_tokens_per_second: 1e12, ..EngineConfig::default() };
    let engine = start("127.0.0.1:0".parse().expect("an address"), config);
    let url = format!("http://{}", engine.address);
    let faults = client.post(format!("{url}/faults")).json(&json!({ "crash_on": "poison" }));
    faults.send().expect("the faults are set");
    let body = json!({
        "max_tokens": 1,
        "prompt": "poison",
        "kv_transfer_params": { "do_remote_decode": true },
    });
    let request = client.post(format!("{url}/v1/completions")).header("X-Request-Id", "a.1.1.1");
    let response = request.json(&body).send();
    assert!(response.is_err(), "{response:?}");
}
