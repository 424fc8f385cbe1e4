//! Pairs of simultaneous failures under load: every response is complete or states a verdict,
//! bookings run at most once, and no slot of an engine stays held.

mod support;

use serde_json::json;
use standins::engine::expected_output;
use standins::fleet::Fleet;
use standins::store::StoreFaults;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::{CallerResponse, held_slots, options, owner_of, start, wait_until};

const DAEMONS: usize = 5;
const TOKENS: u32 = 30;
/// How long both failures last before they are ended.
const FAILURE_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    IsolateDaemon,
    KillDecode,
    KillEntry,
    KillOwner,
    PauseOwner,
    StallLink,
    StoreDown,
}

/// The daemons that failures may hit, by index; callers use the others.
struct FailureTargets {
    isolated: usize,
    entry: usize,
    owner: usize,
}

impl FailureTargets {
    fn of(fleet: &Fleet) -> Self {
        let owner = owner_of(fleet, "fitting-llm");
        Self { isolated: (owner + 2) % DAEMONS, entry: (owner + 1) % DAEMONS, owner }
    }

    /// Returns the daemons that no failure hits.
    fn unaffected(&self) -> Vec<usize> {
        let targets = [self.isolated, self.entry, self.owner];
        (0..DAEMONS).filter(|index| !targets.contains(index)).collect()
    }
}

fn inject_failure(fleet: &mut Fleet, targets: &FailureTargets, failure: Failure) {
    match failure {
        Failure::IsolateDaemon => {
            let peers = |fleet: &Fleet, except: usize| -> Vec<_> {
                let others = fleet.daemons.iter().enumerate().filter(|(i, _)| *i != except);
                others.map(|(_, daemon)| daemon.peer).collect()
            };
            let all = peers(fleet, targets.isolated);
            set_blocked(fleet.daemons[targets.isolated].http, &all);
        }
        Failure::KillDecode => {
            let decode = fleet.engines.iter().find(|(name, _)| name.contains("decode"));
            decode.expect("a decode worker").1.kill();
        }
        Failure::KillEntry => fleet.daemons[targets.entry].kill(),
        Failure::KillOwner => fleet.daemons[targets.owner].kill(),
        Failure::PauseOwner => fleet.daemons[targets.owner].signal("STOP"),
        Failure::StallLink => {
            support::set_engine_faults(fleet, "decode-2", &json!({ "stall_transfer": true }));
        }
        Failure::StoreDown => {
            fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
        }
    }
}

fn end_failure(fleet: &mut Fleet, targets: &FailureTargets, failure: Failure) {
    match failure {
        Failure::IsolateDaemon => set_blocked(fleet.daemons[targets.isolated].http, &[]),
        Failure::KillDecode => {}
        Failure::KillEntry => fleet.restart(targets.entry).expect("the daemon starts"),
        Failure::KillOwner => fleet.restart(targets.owner).expect("the daemon starts"),
        Failure::PauseOwner => fleet.daemons[targets.owner].signal("CONT"),
        Failure::StallLink => support::set_engine_faults(fleet, "decode-2", &json!({})),
        Failure::StoreDown => fleet.store.set_faults(StoreFaults::default()),
    }
}

/// Makes a daemon drop the messages from and to these peers; an empty list ends that.
fn set_blocked(http: SocketAddr, peers: &[SocketAddr]) {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let response = client
        .post(format!("http://{http}/control/faults"))
        .bearer_auth(standins::fleet::OPERATOR_KEY)
        .json(&json!({ "block": peers }))
        .send();
    assert!(response.expect("response").status().is_success());
}

/// Checks that a response is complete and correct, or states a verdict; returns whether it is complete.
fn check_response(response: &CallerResponse, prompt: &str) -> bool {
    match response.streamed_text() {
        Some(text) => {
            assert_eq!(text, expected_output(prompt, TOKENS));
            true
        }
        None => {
            assert!(
                response.body.contains("\"verdict\":"),
                "{} {}",
                response.status,
                response.body
            );
            false
        }
    }
}

/// Requests completions until `stop` is set and returns how many were complete.
fn complete_until(stop: &AtomicBool, address: SocketAddr, caller: usize) -> usize {
    let mut completed = 0;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("caller {caller} request {count}");
        let response = support::complete_at(address, &prompt, TOKENS);
        completed += usize::from(check_response(&response, &prompt));
        count += 1;
    }
    completed
}

/// Sends each booking once to every address until `stop` is set; returns the bodies with their
/// verdicts.
fn book_until(stop: &AtomicBool, addresses: &[SocketAddr]) -> Vec<(String, Vec<String>)> {
    let mut bookings = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let ticket = support::request_ticket_at(addresses[0]);
        let body = format!("booking {}", bookings.len());
        let verdicts = addresses.iter().map(|address| {
            let response = support::request_booking_at(*address, &ticket, &body);
            response.verdict.unwrap_or_else(|| panic!("no verdict: {}", response.body))
        });
        let verdicts = verdicts.collect();
        bookings.push((body, verdicts));
        thread::sleep(Duration::from_millis(20));
    }
    bookings
}

/// Counts the executions of a booking at all plain upstreams.
fn count_executions(fleet: &Fleet, body: &str) -> u64 {
    let call = format!("POST /bookings {body}");
    let counts = fleet.plain.values().map(|upstream| upstream.service.executed());
    counts.map(|executed| executed.get(&call).copied().unwrap_or(0)).sum()
}

/// Checks that a booking ran at most once and that its verdicts agree with the number of runs.
fn check_booking(fleet: &Fleet, body: &str, verdicts: &[String]) {
    let runs = count_executions(fleet, body);
    assert!(runs <= 1, "{body} ran {runs} times: {verdicts:?}");
    if verdicts.iter().any(|verdict| verdict == "ran") {
        assert_eq!(runs, 1, "{body}: {verdicts:?}");
    }
    if verdicts.iter().all(|verdict| verdict == "not-run") {
        assert_eq!(runs, 0, "{body}: {verdicts:?}");
    }
}

fn run_pair(first: Failure, second: Failure) {
    let mut options = options();
    options.daemons = DAEMONS;
    options.decode = 3;
    options.deadline_ms = 15_000;
    let mut fleet = start(options);
    support::set_engine_faults(&fleet, "", &json!({ "keep_after_disconnect": true }));
    let targets = FailureTargets::of(&fleet);
    let addresses: Vec<_> =
        targets.unaffected().iter().map(|index| fleet.daemons[*index].http).collect();
    let entry_address = fleet.daemons[targets.entry].http;
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&stop);
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (stop, address) = (&stop, addresses[caller % addresses.len()]);
                scope.spawn(move || complete_until(stop, address, caller))
            })
            .collect();
        let booker = scope.spawn(|| book_until(&stop, &addresses));
        // The daemon that handles this request may be killed, so its outcome is not checked.
        scope.spawn(|| {
            let prompt = "request of an entry that may die";
            let _ = std::panic::catch_unwind(|| support::complete_at(entry_address, prompt, 400));
        });
        thread::sleep(Duration::from_millis(700));
        inject_failure(&mut fleet, &targets, first);
        inject_failure(&mut fleet, &targets, second);
        thread::sleep(FAILURE_TIME);
        end_failure(&mut fleet, &targets, first);
        end_failure(&mut fleet, &targets, second);
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("responses are complete or state a verdict") > 0);
        }
        for (body, verdicts) in booker.join().expect("bookings have verdicts") {
            check_booking(&fleet, &body, &verdicts);
        }
    });
    wait_until("no slot of an engine stays held", || held_slots(&fleet) == 0);
}

macro_rules! pair_tests {
    ($($name:ident: $first:ident, $second:ident;)*) => {
        $(
            #[test]
            fn $name() {
                run_pair(Failure::$first, Failure::$second);
            }
        )*
    };
}

pair_tests! {
    daemon_isolated_and_decode_killed: IsolateDaemon, KillDecode;
    daemon_isolated_and_entry_killed: IsolateDaemon, KillEntry;
    daemon_isolated_and_owner_killed: IsolateDaemon, KillOwner;
    daemon_isolated_and_owner_paused: IsolateDaemon, PauseOwner;
    daemon_isolated_and_store_down: IsolateDaemon, StoreDown;
    decode_and_entry_killed: KillDecode, KillEntry;
    decode_killed_and_link_stalled: KillDecode, StallLink;
    decode_and_owner_killed: KillDecode, KillOwner;
    decode_killed_and_owner_paused: KillDecode, PauseOwner;
    entry_and_owner_killed: KillEntry, KillOwner;
    entry_killed_and_owner_paused: KillEntry, PauseOwner;
    entry_killed_and_store_down: KillEntry, StoreDown;
    link_stalled_and_owner_killed: StallLink, KillOwner;
    link_stalled_and_owner_paused: StallLink, PauseOwner;
    owner_killed_and_store_down: KillOwner, StoreDown;
    owner_paused_and_store_down: PauseOwner, StoreDown;
}
