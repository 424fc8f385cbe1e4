//! The stand-in engine fails as a real one would.

use serde_json::json;
use standins::engine::{EngineConfig, start};
use std::thread;
use std::time::Duration;

/// A crashed engine that still answered let one request end a third engine: the prefill that should
/// have been lost came back and the decode worker crashed too.
#[test]
fn crashed_engine_answers_nothing() {
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| (0..8).for_each(|_| crash_one()));
        }
    });
}

fn crash_one() {
    let client = reqwest::blocking::Client::builder().timeout(Duration::from_secs(10)).build();
    let client = client.expect("a client");
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
    let answer = client.post(format!("{url}/v1/completions")).header("X-Request-Id", "a.1.1.1");
    let answer = answer.json(&body).send();
    assert!(answer.is_err(), "{answer:?}");
}
