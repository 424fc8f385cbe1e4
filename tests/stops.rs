//! Tests that draining upstreams get no new work, and that planned stops interrupt no request.

mod support;

use serde_json::json;
use standins::engine::expected_output;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::{
    Caller, WAIT_TIMEOUT, engine_reports, options, set_engine_faults, start, wait_until,
};

/// How long after a drain an upstream may still get new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

#[test]
fn draining_upstream_gets_no_new_work() {
    let fleet = start(options());
    let name = "tyrol-a-decode-1";
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&stop);
        for caller in 0..4 {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    let prompt = format!("{caller} {count}");
                    let daemon = &fleet.daemons[caller % 2];
                    let response = Caller::default().complete(daemon, &prompt, 10);
                    assert!(response.streamed_text().is_some(), "{}", response.body);
                    count += 1;
                }
            });
        }
        let started = || engine_reports(&fleet, name)[0].started;
        wait_until("the upstream gets requests", || started() > 5);
        fleet.ctl(&["drain", "upstream", "fitting-llm", name]).expect("accepted");
        let accepted = Instant::now();
        thread::sleep(DRAIN_LIMIT);
        let baseline = started();
        thread::sleep(Duration::from_secs(1));
        assert_eq!(
            started(),
            baseline,
            "no request may start {:?} after the drain",
            accepted.elapsed()
        );
        fleet.ctl(&["undrain", "upstream", "fitting-llm", name]).expect("accepted");
        wait_until("the upstream gets requests again", || started() > baseline);
        stop.store(true, Ordering::Relaxed);
    });
}

#[test]
fn planned_stop_finishes_streams_longer_than_rockets_shutdown_periods() {
    let mut fleet = start(options());
    // 1,600 tokens of 5 ms take 8 s, longer than Rocket's grace and mercy periods together.
    let tokens = 1600;
    let address = fleet.daemons[0].http;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|index| {
                let prompt = format!("stop {index}");
                scope.spawn(move || (support::complete_at(address, &prompt, tokens), prompt))
            })
            .collect();
        wait_until("all requests run", || support::held_slots(&fleet) == 3);
        fleet.daemons[0].signal("TERM");
        for caller in callers {
            let (response, prompt) = caller.join().expect("caller thread finishes");
            let expected = Some(expected_output(&prompt, tokens));
            assert_eq!(response.streamed_text(), expected, "{}", response.status);
        }
    });
    assert_eq!(fleet.daemons[0].wait(WAIT_TIMEOUT), Some(true), "the daemon exits successfully");
}

#[test]
fn rolling_restart_under_load_loses_no_request() {
    let mut options = options();
    options.daemons = 3;
    let mut fleet = start(options);
    set_engine_faults(&fleet, "", &json!({ "keep_after_disconnect": true }));
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.http).collect();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&stop);
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (stop, addresses) = (&stop, &addresses);
                scope.spawn(move || {
                    let mut served = 0;
                    let mut round = caller;
                    while !stop.load(Ordering::Relaxed) {
                        round += 1;
                        let address = addresses[round % addresses.len()];
                        // Like the platform's load balancer, skip daemons that are not ready.
                        if !is_ready(address) {
                            continue;
                        }
                        let prompt = format!("caller {caller} request {round}");
                        let response = support::complete_at(address, &prompt, 20);
                        let expected = Some(expected_output(&prompt, 20));
                        assert_eq!(response.streamed_text(), expected, "{}", response.body);
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        for index in 0..3 {
            fleet.daemons[index].signal("TERM");
            assert_eq!(fleet.daemons[index].wait(WAIT_TIMEOUT), Some(true));
            fleet.restart(index).expect("daemon starts");
            fleet.wait_ready().expect("daemon is ready");
            thread::sleep(Duration::from_millis(500));
        }
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("all responses complete") > 10);
        }
    });
    wait_until("all slots are released", || support::held_slots(&fleet) == 0);
}

/// Returns whether a daemon reports that it is ready.
fn is_ready(address: std::net::SocketAddr) -> bool {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let response = client.get(format!("http://{address}/ready")).send();
    response.is_ok_and(|response| response.status().is_success())
}
