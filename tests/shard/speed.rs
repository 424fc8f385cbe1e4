//! Tests of prompts at prefill workers of unequal speed.

use crate::harness::{MILLI, SECOND, ShardHarness, admission_request, granted};
use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, GrantMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use apricotrun::prelude::*;
use std::collections::BTreeMap;

/// The time for one prompt of 1,000 tokens at a worker of usual speed.
const PROMPT_TIME: Duration = Duration::from_millis(100);

/// Returns the owner of this many prefill workers and of ample room to decode.
fn owner(uses_speed: bool, workers: usize) -> ShardHarness {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        template.leaving_cost = uses_speed.then_some(PROMPT_TIME);
        template.local_prefill = true;
        template.token_time = Some(MILLI);
        let (prefill, decode) = (template.upstreams[0].clone(), template.upstreams[1].clone());
        let named = |name: String, spec: &UpstreamSpec| UpstreamSpec {
            kv_blocks: Some(KvBlocks(10_000)),
            name: name.parse().expect("a valid name"),
            slots: Slots(200),
            ..spec.clone()
        };
        template.upstreams = (0..workers)
            .map(|index| named(format!("p{index}"), &prefill))
            .chain([named("d0".to_owned(), &decode)])
            .collect();
    });
    harness
}

/// Sends prompts at a steady rate to workers with these factors of slowness, each of which computes one
/// at a time; `first` numbers them. Returns how long each prompt took, and how many each worker computed.
fn play(
    harness: &mut ShardHarness,
    slowness: &[f64],
    (first, prompts): (u64, u64),
    period: Duration,
) -> (Vec<Duration>, BTreeMap<String, usize>) {
    let start = harness.clock.now();
    let mut now = start;
    let mut busy_until = vec![start; slowness.len()];
    let mut ends: BTreeMap<(Instant, u64), GrantMessage> = BTreeMap::new();
    let (mut times, mut counts) = (Vec::new(), BTreeMap::new());
    // After the last prompt the workers finish those that they have.
    for sequence in 0..=prompts {
        let is_last = sequence == prompts;
        let rest = if is_last { SECOND * 30 } else { Duration::ZERO };
        let due = start + period * sequence as u32 + rest;
        while let Some(((at, _), _)) = ends.first_key_value().filter(|((at, _), _)| *at <= due) {
            let at = *at;
            harness.clock.advance(at.saturating_duration_since(now));
            now = now.max(at);
            let (_, grant) = ends.pop_first().expect("a prompt");
            let attempt = grant.claim.attempt.clone();
            let claim = SlotClaim { phase: ClaimPhase::Transfer, ..grant.claim };
            harness.deliver("a", ShardMessage::Claim(claim));
            harness.deliver("a", ShardMessage::Release(attempt, ReleaseOutcome::Finished));
        }
        harness.clock.advance(due.saturating_duration_since(now));
        now = now.max(due);
        if is_last {
            break;
        }
        let request = AdmissionRequest {
            first_token_within: SECOND * 5,
            ..admission_request("a", 1_000 + first + sequence, "desk")
        };
        let grants = granted(&harness.deliver("a", ShardMessage::RequestAdmission(request)));
        let Some(grant) = grants.into_iter().next() else { panic!("no room for {sequence}") };
        let Some(prefill) = grant.claim.prefill.clone() else {
            // The decode worker computes the prompt at half the speed.
            times.push(PROMPT_TIME * 2);
            let attempt = grant.claim.attempt;
            harness.deliver("a", ShardMessage::Release(attempt, ReleaseOutcome::Finished));
            *counts.entry("decode".to_owned()).or_insert(0) += 1;
            continue;
        };
        let index: usize = prefill.as_str()[1..].parse().expect("an index");
        let end = busy_until[index].max(now) + PROMPT_TIME.mul_f64(slowness[index]);
        busy_until[index] = end;
        times.push(end - now);
        *counts.entry(prefill.to_string()).or_insert(0) += 1;
        ends.insert((end, sequence), grant);
    }
    (times, counts)
}

fn late(times: &[Duration]) -> f64 {
    let late = times.iter().filter(|time| **time > PROMPT_TIME * 5 / 2).count();
    late as f64 / times.len() as f64
}

/// One worker in four takes twice as long. Prompts must not queue there while fast ones are sooner.
#[test]
fn prompts_go_where_they_are_computed_first() {
    let slowness = [2.2, 0.85, 0.85, 0.85];
    // Some nine tenths of what the four can compute.
    let period = MILLI * 28;
    let (before, _) = play(&mut owner(false, 4), &slowness, (0, 400), period);
    let (times, counts) = play(&mut owner(true, 4), &slowness, (0, 400), period);
    let (late_before, late_now) = (late(&before), late(&times));
    assert!(late_now < 0.02, "{late_now} are late, {counts:?}");
    assert!(late_before > 2.0 * late_now, "{late_before} without the speed, {late_now} with it");
    assert!(counts["p0"] > 0, "a slow worker is still used: {counts:?}");
}

/// Workers of one speed must share the prompts as before.
#[test]
fn workers_of_the_same_speed_share_the_prompts() {
    let (_, counts) = play(&mut owner(true, 4), &[1.0; 4], (0, 400), MILLI * 27);
    assert!((0..4).all(|index| counts[&format!("p{index}")] >= 60), "{counts:?}");
}

/// A worker that was slow for a while must not be left out for good: it shows no other speed without
/// prompts.
#[test]
fn worker_that_recovers_gets_prompts_again() {
    let mut harness = owner(true, 2);
    // Half a minute without prompts follows.
    let (_, slow) = play(&mut harness, &[4.0, 1.0], (0, 100), MILLI * 80);
    let (_, again) = play(&mut harness, &[1.0, 1.0], (100, 2), MILLI);
    assert!(slow["p0"] * 3 < slow["p1"], "{slow:?}");
    assert_eq!(again.get("p0"), Some(&1), "the second of two prompts goes there: {again:?}");
}

/// Returns how many requests of a burst each of four decode workers gets, beside one prefill worker.
fn place_burst(uses_speed: bool, requests: u64) -> BTreeMap<String, u64> {
    let mut harness = owner(uses_speed, 1);
    harness.configure(|template| {
        template.leaving_cost = uses_speed.then_some(PROMPT_TIME);
        template.local_prefill = true;
        template.token_time = Some(MILLI);
        let decode = UpstreamSpec {
            kv_blocks: Some(KvBlocks(10_000)),
            slots: Slots(requests as u32),
            ..template.upstreams[1].clone()
        };
        let named = |index| UpstreamSpec {
            name: format!("d{index}").parse().expect("a valid name"),
            ..decode.clone()
        };
        template.upstreams.truncate(1);
        template.upstreams[0].slots = Slots(requests as u32);
        template.upstreams.extend((0..4).map(named));
    });
    let mut counts = BTreeMap::new();
    for sequence in 0..requests {
        let actions = harness.request_admission("a", sequence);
        let grant = granted(&actions).pop().expect("room for all");
        *counts.entry(grant.claim.runner.to_string()).or_insert(0) += 1;
    }
    counts
}

/// Prefill workers are busy after the first prompts of a burst. The decode workers must share the rest
/// of its prompts; 21 of 24 were computed by the one that had no transfer.
#[test]
fn decode_workers_share_the_prompts_of_a_burst() {
    let counts = place_burst(true, 24);
    let most = counts.values().max();
    assert!(most.is_some_and(|most| *most <= 7), "{counts:?}");
    // Elsewhere nothing changes.
    let before = place_burst(false, 24);
    assert!(before.values().any(|count| *count > 12), "{before:?}");
}

/// A decode worker that has computed its prompts must be as good as one that had none.
#[test]
fn computed_prompts_no_longer_count_against_a_decode_worker() {
    let mut harness = owner(true, 0);
    harness.configure(|template| {
        template.leaving_cost = Some(PROMPT_TIME);
        template.local_prefill = true;
        template.token_time = Some(MILLI);
        for spec in &mut template.upstreams {
            (spec.kv_blocks, spec.slots) = (Some(KvBlocks(10_000)), Slots(8));
        }
        template.upstreams.remove(0);
    });
    let runner = |harness: &mut ShardHarness, sequence| {
        let actions = harness.request_admission("a", sequence);
        granted(&actions).pop().expect("room for it").claim
    };
    let (first, second) = (runner(&mut harness, 1), runner(&mut harness, 2));
    assert_ne!(first.runner, second.runner);
    harness.deliver("a", ShardMessage::Progress(first.attempt, Tokens(1)));
    let third = runner(&mut harness, 3);
    assert_eq!(third.runner, first.runner, "the other one still computes a prompt");
}
