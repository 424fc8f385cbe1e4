//! Two failures at once, under load: every answer is whole or an honest refusal, bookings run at
//! most once, and no engine memory stays held.

mod support;

use serde_json::json;
use standins::engine::expected_answer;
use standins::fleet::Fleet;
use standins::store::StoreFaults;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::{CallerResponse, held_slots, options, owner_of, start, wait_until};

const DAEMONS: usize = 5;
const TOKENS: u32 = 30;
/// How long failures that end by themselves last.
const FAILURE_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    CutDaemon,
    KillDecode,
    KillEntry,
    KillOwner,
    PauseOwner,
    StallLink,
    StoreDown,
}

/// The daemons that failures may hit; callers use the others.
struct Cast {
    cut: usize,
    entry: usize,
    owner: usize,
}

impl Cast {
    fn of(fleet: &Fleet) -> Self {
        let owner = owner_of(fleet, "fitting-llm");
        Self { cut: (owner + 2) % DAEMONS, entry: (owner + 1) % DAEMONS, owner }
    }

    fn spared(&self) -> Vec<usize> {
        let hit = [self.cut, self.entry, self.owner];
        (0..DAEMONS).filter(|index| !hit.contains(index)).collect()
    }
}

fn begin(fleet: &mut Fleet, cast: &Cast, failure: Failure) {
    match failure {
        Failure::CutDaemon => {
            let peers = |fleet: &Fleet, except: usize| -> Vec<_> {
                let others = fleet.daemons.iter().enumerate().filter(|(i, _)| *i != except);
                others.map(|(_, daemon)| daemon.peer).collect()
            };
            let all = peers(fleet, cast.cut);
            set_blocked(fleet.daemons[cast.cut].http, &all);
        }
        Failure::KillDecode => {
            let decode = fleet.engines.iter().find(|(name, _)| name.contains("decode"));
            decode.expect("a decode worker").1.kill();
        }
        Failure::KillEntry => fleet.daemons[cast.entry].kill(),
        Failure::KillOwner => fleet.daemons[cast.owner].kill(),
        Failure::PauseOwner => fleet.daemons[cast.owner].signal("STOP"),
        Failure::StallLink => {
            support::set_engine_faults(fleet, "decode-2", &json!({ "stall_transfer": true }));
        }
        Failure::StoreDown => {
            fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
        }
    }
}

fn end(fleet: &mut Fleet, cast: &Cast, failure: Failure) {
    match failure {
        Failure::CutDaemon => set_blocked(fleet.daemons[cast.cut].http, &[]),
        Failure::KillDecode => {}
        Failure::KillEntry => fleet.restart(cast.entry).expect("the daemon starts"),
        Failure::KillOwner => fleet.restart(cast.owner).expect("the daemon starts"),
        Failure::PauseOwner => fleet.daemons[cast.owner].signal("CONT"),
        Failure::StallLink => support::set_engine_faults(fleet, "decode-2", &json!({})),
        Failure::StoreDown => fleet.store.set_faults(StoreFaults::default()),
    }
}

fn set_blocked(http: SocketAddr, peers: &[SocketAddr]) {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("a client");
    let answer = client
        .post(format!("http://{http}/control/faults"))
        .bearer_auth(standins::fleet::OPERATOR_KEY)
        .json(&json!({ "block": peers }))
        .send();
    assert!(answer.expect("an answer").status().is_success());
}

/// Expects a whole answer or an honest end; returns whether it was whole.
fn check_answer(answer: &CallerResponse, prompt: &str) -> bool {
    match answer.streamed_text() {
        Some(text) => {
            assert_eq!(text, expected_answer(prompt, TOKENS));
            true
        }
        None => {
            assert!(answer.body.contains("\"verdict\":"), "{} {}", answer.status, answer.body);
            false
        }
    }
}

fn complete_until(over: &AtomicBool, address: SocketAddr, caller: usize) -> usize {
    let mut whole = 0;
    let mut count = 0;
    while !over.load(Ordering::Relaxed) {
        let prompt = format!("caller {caller} request {count}");
        let answer = support::complete_at(address, &prompt, TOKENS);
        whole += usize::from(check_answer(&answer, &prompt));
        count += 1;
    }
    whole
}

/// Sends every booking twice, to two entries, and returns the bodies with their last verdicts.
fn book_until(over: &AtomicBool, addresses: &[SocketAddr]) -> Vec<(String, Vec<String>)> {
    let mut bookings = Vec::new();
    while !over.load(Ordering::Relaxed) {
        let ticket = support::ticket_at(addresses[0]);
        let body = format!("booking {}", bookings.len());
        let verdicts = addresses.iter().map(|address| {
            let answer = support::book_at(*address, &ticket, &body);
            answer.verdict.unwrap_or_else(|| panic!("no verdict: {}", answer.body))
        });
        let verdicts = verdicts.collect();
        bookings.push((body, verdicts));
        thread::sleep(Duration::from_millis(20));
    }
    bookings
}

fn executions(fleet: &Fleet, body: &str) -> u64 {
    let call = format!("POST /bookings {body}");
    let counts = fleet.plain.values().map(|upstream| upstream.service.executed());
    counts.map(|executed| executed.get(&call).copied().unwrap_or(0)).sum()
}

fn check_booking(fleet: &Fleet, body: &str, verdicts: &[String]) {
    let runs = executions(fleet, body);
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
    let cast = Cast::of(&fleet);
    let spared: Vec<_> = cast.spared().iter().map(|index| fleet.daemons[*index].http).collect();
    let doomed = fleet.daemons[cast.entry].http;
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&over);
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (over, address) = (&over, spared[caller % spared.len()]);
                scope.spawn(move || complete_until(over, address, caller))
            })
            .collect();
        let booker = scope.spawn(|| book_until(&over, &spared));
        // Requests of an entry that may die; their callers may see anything.
        scope.spawn(|| {
            let prompt = "request of an entry that may die";
            let _ = std::panic::catch_unwind(|| support::complete_at(doomed, prompt, 400));
        });
        thread::sleep(Duration::from_millis(700));
        begin(&mut fleet, &cast, first);
        begin(&mut fleet, &cast, second);
        thread::sleep(FAILURE_TIME);
        end(&mut fleet, &cast, first);
        end(&mut fleet, &cast, second);
        thread::sleep(Duration::from_secs(2));
        over.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("answers are whole or honest") > 0);
        }
        for (body, verdicts) in booker.join().expect("bookings have verdicts") {
            check_booking(&fleet, &body, &verdicts);
        }
    });
    wait_until("no engine memory stays held", || held_slots(&fleet) == 0);
}

macro_rules! pairs {
    ($($name:ident: $first:ident, $second:ident;)*) => {
        $(
            #[test]
            fn $name() {
                run_pair(Failure::$first, Failure::$second);
            }
        )*
    };
}

pairs! {
    cut_and_decode_lost: CutDaemon, KillDecode;
    cut_and_entry_killed: CutDaemon, KillEntry;
    cut_and_owner_killed: CutDaemon, KillOwner;
    cut_and_owner_paused: CutDaemon, PauseOwner;
    cut_and_store_down: CutDaemon, StoreDown;
    decode_lost_and_entry_killed: KillDecode, KillEntry;
    decode_lost_and_link_stalled: KillDecode, StallLink;
    decode_lost_and_owner_killed: KillDecode, KillOwner;
    decode_lost_and_owner_paused: KillDecode, PauseOwner;
    entry_and_owner_killed: KillEntry, KillOwner;
    entry_killed_and_owner_paused: KillEntry, PauseOwner;
    entry_killed_and_store_down: KillEntry, StoreDown;
    link_stalled_and_owner_killed: StallLink, KillOwner;
    link_stalled_and_owner_paused: StallLink, PauseOwner;
    owner_killed_and_store_down: KillOwner, StoreDown;
    owner_paused_and_store_down: PauseOwner, StoreDown;
}
