//! Tests of the forecasts until when a request may start: more requests than decode room.

use crate::harness::{MILLI, SECOND, ShardHarness, admission_request, granted, refused};
use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, GrantMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use apricotrun::coordination::shard::{ShardAction, StartForecast};
use apricotrun::prelude::*;
use std::collections::BTreeMap;

/// The first-token target of each request.
const TARGET: Duration = Duration::from_millis(900);
/// How long a run holds its slot.
const HOLD: Duration = Duration::from_secs(1);
/// The slots of all decode workers.
const SLOTS: u32 = 48;
/// The interval at which the deployment acts.
const STEP: Duration = Duration::from_millis(5);

/// An owner of four decode workers, beside prefill workers that are never short.
fn owner(uses_forecasts: bool) -> ShardHarness {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        template.leaving_cost = uses_forecasts.then_some(MILLI * 100);
        template.token_time = Some(MILLI);
        let named = |name: String, spec: &UpstreamSpec, slots| UpstreamSpec {
            kv_blocks: Some(KvBlocks(100_000)),
            name: name.parse().expect("a valid name"),
            slots: Slots(slots),
            ..spec.clone()
        };
        let (prefill, decode) = (template.upstreams[0].clone(), template.upstreams[1].clone());
        template.upstreams = (0..20)
            .map(|index| named(format!("p{index}"), &prefill, 200))
            .chain((0..4).map(|index| named(format!("d{index}"), &decode, SLOTS / 4)))
            .collect();
    });
    harness
}

/// Returns by how much longer than at an idle worker a prompt takes: a fifth of them waits behind others.
fn excess(sequence: u64) -> Duration {
    MILLI * [10, 30, 45, 130, 240][sequence as usize % 5]
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcomes {
    late: u32,
    on_time: u32,
    /// How long each refused request had waited.
    refused: Vec<Duration>,
}

/// Sends requests at `rate` a second for six seconds. The first second is not counted.
fn play(harness: &mut ShardHarness, rate: f64) -> Outcomes {
    let start = harness.clock.now();
    let mut outcomes = Outcomes::default();
    let mut arrivals: BTreeMap<u64, Instant> = BTreeMap::new();
    // The first token of each run, and then its end.
    let mut due: BTreeMap<(Instant, u64), (GrantMessage, bool)> = BTreeMap::new();
    let mut sent = 0;
    while harness.clock.now() < start + SECOND * 6 {
        let now = harness.clock.now();
        let mut actions = Vec::new();
        while let Some(entry) = due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, sequence), (grant, has_begun)) = entry.remove_entry();
            let attempt = grant.claim.attempt.clone();
            if has_begun {
                let end = ShardMessage::Release(attempt, ReleaseOutcome::Finished);
                actions.extend(harness.deliver("a", end));
                continue;
            }
            let claim = SlotClaim { phase: ClaimPhase::Run, ..grant.claim.clone() };
            actions.extend(harness.deliver("a", ShardMessage::Claim(claim)));
            actions.extend(harness.deliver("a", ShardMessage::Progress(attempt, Tokens(1))));
            due.insert((now + HOLD, sequence), (grant, true));
            let arrived = arrivals[&sequence];
            if arrived >= start + SECOND {
                match now <= arrived + TARGET {
                    true => outcomes.on_time += 1,
                    false => outcomes.late += 1,
                }
            }
        }
        while (sent as f64) < (now - start).as_secs_f64() * rate {
            arrivals.insert(sent, now);
            let request = AdmissionRequest {
                first_token_within: TARGET,
                ..admission_request("a", sent, "desk")
            };
            actions.extend(harness.deliver("a", ShardMessage::RequestAdmission(request)));
            sent += 1;
        }
        actions.extend(harness.advance(STEP));
        record(&actions, &arrivals, harness.clock.now(), start, &mut outcomes);
        for grant in granted(&actions) {
            let sequence = grant.claim.attempt.request.sequence;
            let first_token = harness.clock.now() + MILLI * 100 + excess(sequence);
            due.insert((first_token, sequence), (grant, false));
        }
    }
    outcomes
}

fn record(
    actions: &[ShardAction],
    arrivals: &BTreeMap<u64, Instant>,
    now: Instant,
    start: Instant,
    outcomes: &mut Outcomes,
) {
    for action in actions {
        let ShardAction::Send(_, ShardMessage::Refuse(attempt, _)) = action else { continue };
        let arrived = arrivals[&attempt.request.sequence];
        if arrived >= start + SECOND {
            outcomes.refused.push(now - arrived);
        }
    }
    assert!(refused(actions).iter().all(|refusal| refusal.retry_after.is_some()));
}

/// A fifth more requests than there is room for. Room must go to those that can still be on time: the
/// margin leaves out the slowest fifth.
#[test]
fn room_goes_to_requests_that_can_still_be_on_time() {
    let rate = f64::from(SLOTS) / HOLD.as_secs_f64() * 1.2;
    let before = play(&mut owner(false), rate);
    let now = play(&mut owner(true), rate);
    let late = |outcomes: &Outcomes| {
        f64::from(outcomes.late) / f64::from(outcomes.late + outcomes.on_time)
    };
    assert!(late(&now) <= 0.2, "{} are late", late(&now));
    assert!(late(&before) > 0.2, "{} are late without the forecasts", late(&before));
    assert!(now.on_time > before.on_time, "{} before, {} now", before.on_time, now.on_time);
}

/// While there is room, forecasts must refuse nobody.
#[test]
fn nobody_is_refused_while_there_is_room() {
    let outcomes = play(&mut owner(true), f64::from(SLOTS) / HOLD.as_secs_f64() * 0.8);
    assert_eq!((outcomes.late, outcomes.refused.len()), (0, 0));
}

/// A worker that stalls must not take the time to wait from all requests.
#[test]
fn margin_is_bounded_and_returns() {
    let mut forecast = StartForecast::default();
    (0..1_000).for_each(|_| forecast.record_first_token(SECOND * 10));
    assert!(forecast.time_to_wait(MILLI * 800) >= MILLI * 400);
    (0..200).for_each(|_| forecast.record_first_token(Duration::ZERO));
    assert!(forecast.time_to_wait(MILLI * 800) >= MILLI * 780);
}
