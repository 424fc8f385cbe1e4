//! Leaving upstreams get no new work, and planned stops cut off no request.

mod support;

use serde_json::json;
use standins::engine::expected_answer;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::{
    Caller, WAIT_TIMEOUT, engine_reports, options, set_engine_faults, start, wait_until,
};

/// The time after which a leaving upstream gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

#[test]
fn leaving_upstream_gets_no_new_work() {
    let fleet = start(options());
    let name = "tyrol-a-decode-1";
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&over);
        for caller in 0..4 {
            let (fleet, over) = (&fleet, &over);
            scope.spawn(move || {
                let mut count = 0;
                while !over.load(Ordering::Relaxed) {
                    let prompt = format!("{caller} {count}");
                    let daemon = &fleet.daemons[caller % 2];
                    let answer = Caller::default().complete(daemon, &prompt, 10);
                    assert!(answer.streamed_text().is_some(), "{}", answer.body);
                    count += 1;
                }
            });
        }
        let started = || engine_reports(&fleet, name)[0].started;
        wait_until("the upstream gets work", || started() > 5);
        fleet.ctl(&["drain", "upstream", "fitting-llm", name]).expect("accepted");
        let accepted = Instant::now();
        thread::sleep(LEAVING_BOUND);
        let settled = started();
        thread::sleep(Duration::from_secs(1));
        assert_eq!(started(), settled, "no start {:?} after the drain", accepted.elapsed());
        fleet.ctl(&["undrain", "upstream", "fitting-llm", name]).expect("accepted");
        wait_until("the upstream gets work again", || started() > settled);
        over.store(true, Ordering::Relaxed);
    });
}

#[test]
fn planned_stop_finishes_streams_longer_than_the_servers_grace() {
    let mut fleet = start(options());
    // 1,600 tokens of 5 ms last 8 s, longer than the HTTP library's grace and mercy together.
    let tokens = 1600;
    let address = fleet.daemons[0].http;
    thread::scope(|scope| {
        let answers: Vec<_> = (0..3)
            .map(|index| {
                let prompt = format!("stop {index}");
                scope.spawn(move || (support::complete_at(address, &prompt, tokens), prompt))
            })
            .collect();
        wait_until("all run", || support::held_slots(&fleet) == 3);
        fleet.daemons[0].signal("TERM");
        for answer in answers {
            let (answer, prompt) = answer.join().expect("an answer");
            let expected = Some(expected_answer(&prompt, tokens));
            assert_eq!(answer.streamed_text(), expected, "{}", answer.status);
        }
    });
    assert_eq!(fleet.daemons[0].wait(WAIT_TIMEOUT), Some(true), "the daemon ends cleanly");
}

#[test]
fn daemons_replaced_one_by_one_under_load_lose_nothing() {
    let mut options = options();
    options.daemons = 3;
    let mut fleet = start(options);
    set_engine_faults(&fleet, "", &json!({ "keep_after_disconnect": true }));
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.http).collect();
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&over);
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (over, addresses) = (&over, &addresses);
                scope.spawn(move || {
                    let mut served = 0;
                    let mut turn = caller;
                    while !over.load(Ordering::Relaxed) {
                        turn += 1;
                        let address = addresses[turn % addresses.len()];
                        // As the platform's balancer does, pass over who is not ready.
                        if !is_ready(address) {
                            continue;
                        }
                        let prompt = format!("caller {caller} turn {turn}");
                        let answer = support::complete_at(address, &prompt, 20);
                        let expected = Some(expected_answer(&prompt, 20));
                        assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        for index in 0..3 {
            fleet.daemons[index].signal("TERM");
            assert_eq!(fleet.daemons[index].wait(WAIT_TIMEOUT), Some(true));
            fleet.restart(index).expect("the daemon starts");
            fleet.wait_ready().expect("the daemon is ready");
            thread::sleep(Duration::from_millis(500));
        }
        over.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("no answer was lost") > 10);
        }
    });
    wait_until("all slots are free", || support::held_slots(&fleet) == 0);
}

fn is_ready(address: std::net::SocketAddr) -> bool {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("a client");
    let answer = client.get(format!("http://{address}/ready")).send();
    answer.is_ok_and(|answer| answer.status().is_success())
}
