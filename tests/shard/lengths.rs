//! What the ledger learns of the lengths of answers while short ones finish first.

use crate::bench::{Bench, MILLI, SECOND, ask_of, attempt, granted};
use apricotrun::coordination::messages::{
    AdmissionRequest, GrantMessage, ReleaseOutcome, ShardMessage,
};
use apricotrun::coordination::roles::RequestShape;
use apricotrun::coordination::shard::{LifeTable, RequestSample};
use apricotrun::prelude::*;

/// How many requests must have been granted before their shape is known.
const SAMPLES: u64 = 96;
/// The time for one token.
const TOKEN_TIME: Duration = Duration::from_millis(1);
/// What callers expect of every answer, in tokens.
const HINT: u32 = 3_000;

/// A shard whose engine has room for all asks of a test.
fn roomy_bench() -> Bench {
    let mut bench = Bench::owner(&["a"]);
    bench.configure(|template| {
        template.inter_token_target = TOKEN_TIME;
        template.block_tokens = Tokens(100);
        template.token_time = Some(TOKEN_TIME);
        for upstream in &mut template.upstreams {
            upstream.kv_blocks = Some(KvBlocks(100_000));
            upstream.slots = Slots(1_000);
        }
    });
    bench
}

fn grant(bench: &mut Bench, sequence: u64) -> GrantMessage {
    let ask = AdmissionRequest { expected_output: Tokens(HINT), ..ask_of("a", sequence, "desk") };
    let granted = granted(&bench.say("a", ShardMessage::RequestAdmission(ask))).remove(0);
    bench.run(&granted);
    granted
}

fn finish(bench: &mut Bench, sequence: u64, tokens: u32) {
    let attempt = attempt("a", sequence);
    bench.say("a", ShardMessage::Progress(attempt.clone(), Tokens(tokens)));
    bench.say("a", ShardMessage::Release(attempt, ReleaseOutcome::Finished));
}

fn shape(bench: &Bench) -> Option<RequestShape> {
    bench.ledger.shape(bench.clock.now())
}

/// Within 3 s only one answer in four has finished, each after 300 tokens.
fn begin_busily(bench: &mut Bench) {
    for sequence in 1..=600 {
        grant(bench, sequence);
        bench.pass(MILLI * 5);
        let begun_before = sequence.saturating_sub(60);
        if begun_before % 4 == 2 {
            finish(bench, begun_before, 300);
        }
    }
}

/// tariq-roads-grown quiet-1, seed 500705450246: the plan of roles was made 3 s into the day, when only
/// short answers had finished; with runs of 2.3 s in place of 3.2 s it kept prefill workers that were
/// needed for decode.
#[test]
fn short_answers_that_finish_first_do_not_shorten_the_expected_run() {
    let mut bench = roomy_bench();
    begin_busily(&mut bench);
    assert_eq!(shape(&bench), None, "most runs have not been followed to their end");
    for sequence in 541..=600 {
        if sequence % 4 == 2 {
            finish(&mut bench, sequence, 300);
        }
    }
    for sequence in (1..=600).filter(|sequence| sequence % 4 != 2) {
        finish(&mut bench, sequence, HINT);
        bench.pass(MILLI * 6);
    }
    let run = shape(&bench).expect("all have ended").run;
    assert!((run - 2.4).abs() < 0.2, "{run} s");
}

/// The same load: answers are still expected to get as long as their callers guess.
#[test]
fn short_answers_that_finish_first_do_not_shorten_the_expected_answer() {
    let mut bench = roomy_bench();
    let before = grant(&mut bench, 1_000).claim.growth;
    begin_busily(&mut bench);
    assert_eq!(grant(&mut bench, 1_001).claim.growth, before);
}

#[test]
fn lengths_of_answers_count_once_all_before_them_have_ended() {
    let mut bench = roomy_bench();
    let before = grant(&mut bench, 1).claim.growth;
    for sequence in 2..=SAMPLES {
        grant(&mut bench, sequence);
    }
    bench.pass(TOKEN_TIME * (HINT / 16));
    for sequence in (2..=SAMPLES).rev() {
        finish(&mut bench, sequence, HINT / 16);
    }
    assert_eq!(grant(&mut bench, 1_000).claim.growth, before, "the first one still runs");
    bench.say("a", ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Cancelled));
    assert!(grant(&mut bench, 1_001).claim.growth < before, "now their lengths are known");
}

#[test]
fn shape_is_known_sooner_with_what_other_domains_have_seen() {
    let mut bench = roomy_bench();
    for sequence in 1..=SAMPLES / 4 {
        grant(&mut bench, sequence);
    }
    assert_eq!(shape(&bench), None);
    let mut runs = LifeTable::default();
    (0..SAMPLES * 3 / 4).for_each(|_| runs.add_ended(SECOND * 4));
    let sample = RequestSample {
        output_hint: Tokens(5_000),
        prompt: Tokens(3_000),
        requests: SAMPLES as u32 * 3 / 4,
        runs,
    };
    let other = "tyrol-b".parse().expect("a name");
    bench.say("b", ShardMessage::Sample(other, sample));
    let shape = shape(&bench).expect("enough was granted");
    assert!((shape.run - 4.1).abs() < 0.1, "{} s", shape.run);
    assert!((shape.prefill - 0.25).abs() < 0.01, "{} s", shape.prefill);
}
