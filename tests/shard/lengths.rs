//! Estimates of output lengths and run durations while short outputs finish first.

use crate::harness::{MILLI, SECOND, ShardHarness, admission_request, attempt, granted};
use apricotrun::coordination::messages::{
    AdmissionRequest, GrantMessage, ReleaseOutcome, ShardMessage,
};
use apricotrun::coordination::roles::RequestShape;
use apricotrun::coordination::shard::{LifeTable, RequestStats};
use apricotrun::prelude::*;

/// The number of requests that must have been granted before their average demand is known.
const SAMPLES: u64 = 96;
/// The time to produce one token.
const TOKEN_TIME: Duration = Duration::from_millis(1);
/// The output length that callers expect of every request, in tokens.
const HINT: u32 = 3_000;

/// Returns a shard with capacity for all requests of a test.
fn unlimited_harness() -> ShardHarness {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        template.inter_token_target = TOKEN_TIME;
        template.block_tokens = Tokens(100);
        template.token_time = Some(TOKEN_TIME);
        for upstream in &mut template.upstreams {
            upstream.kv_blocks = Some(KvBlocks(100_000));
            upstream.slots = Slots(1_000);
        }
    });
    harness
}

fn grant(harness: &mut ShardHarness, sequence: u64) -> GrantMessage {
    let request = AdmissionRequest {
        expected_output: Tokens(HINT),
        ..admission_request("a", sequence, "desk")
    };
    let granted = granted(&harness.deliver("a", ShardMessage::RequestAdmission(request))).remove(0);
    harness.start_run(&granted);
    granted
}

fn finish(harness: &mut ShardHarness, sequence: u64, tokens: u32) {
    let attempt = attempt("a", sequence);
    harness.deliver("a", ShardMessage::Progress(attempt.clone(), Tokens(tokens)));
    harness.deliver("a", ShardMessage::Release(attempt, ReleaseOutcome::Finished));
}

fn shape(harness: &ShardHarness) -> Option<RequestShape> {
    harness.ledger.shape(harness.clock.now())
}

/// Grants 600 requests within 3 s, of which only one in four has finished, each after 300 tokens.
fn grant_under_load(harness: &mut ShardHarness) {
    for sequence in 1..=600 {
        grant(harness, sequence);
        harness.advance(MILLI * 5);
        let started_before = sequence.saturating_sub(60);
        if started_before % 4 == 2 {
            finish(harness, started_before, 300);
        }
    }
}

/// A role plan was made 3 s after the start, when only short outputs had finished. The runs were
/// taken to last 2.3 s instead of 3.2 s, so the plan kept prefill workers that were needed for
/// decode (seen in tariq-roads-grown quiet-1, seed 500705450246).
#[test]
fn short_outputs_that_finish_first_do_not_shorten_the_expected_run() {
    let mut harness = unlimited_harness();
    grant_under_load(&mut harness);
    assert_eq!(shape(&harness), None, "most runs have not been observed to their end");
    for sequence in 541..=600 {
        if sequence % 4 == 2 {
            finish(&mut harness, sequence, 300);
        }
    }
    for sequence in (1..=600).filter(|sequence| sequence % 4 != 2) {
        finish(&mut harness, sequence, HINT);
        harness.advance(MILLI * 6);
    }
    let run = shape(&harness).expect("all have ended").run;
    assert!((run - 2.4).abs() < 0.2, "{run} s");
}

/// Under the same load, the expected output length stays what the callers expect.
#[test]
fn short_outputs_that_finish_first_do_not_shorten_the_expected_output() {
    let mut harness = unlimited_harness();
    let before = grant(&mut harness, 1_000).claim.growth;
    grant_under_load(&mut harness);
    assert_eq!(grant(&mut harness, 1_001).claim.growth, before);
}

#[test]
fn output_lengths_count_once_all_earlier_requests_have_ended() {
    let mut harness = unlimited_harness();
    let before = grant(&mut harness, 1).claim.growth;
    for sequence in 2..=SAMPLES {
        grant(&mut harness, sequence);
    }
    harness.advance(TOKEN_TIME * (HINT / 16));
    for sequence in (2..=SAMPLES).rev() {
        finish(&mut harness, sequence, HINT / 16);
    }
    assert_eq!(grant(&mut harness, 1_000).claim.growth, before, "the first one still runs");
    harness.deliver("a", ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Cancelled));
    assert!(grant(&mut harness, 1_001).claim.growth < before, "now their lengths are known");
}

#[test]
fn shape_is_known_sooner_with_samples_of_other_domains() {
    let mut harness = unlimited_harness();
    for sequence in 1..=SAMPLES / 4 {
        grant(&mut harness, sequence);
    }
    assert_eq!(shape(&harness), None);
    let mut runs = LifeTable::default();
    (0..SAMPLES * 3 / 4).for_each(|_| runs.add_ended(SECOND * 4));
    let stats = RequestStats {
        output_hint: Tokens(5_000),
        prompt: Tokens(3_000),
        requests: SAMPLES as u32 * 3 / 4,
        runs,
    };
    let other = "tyrol-b".parse().expect("valid name");
    harness.deliver("b", ShardMessage::Stats(other, stats));
    let shape = shape(&harness).expect("enough was granted");
    assert!((shape.run - 4.1).abs() < 0.1, "{} s", shape.run);
    assert!((shape.prefill - 0.25).abs() < 0.01, "{} s", shape.prefill);
}
