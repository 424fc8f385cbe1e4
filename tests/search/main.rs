//! A seeded search: random interleavings of requests, lost and late messages, deaths, pauses and
//! two owners at once over three entries and three workers, checked after each step.
//!
//! `APRICOTRUN_SEARCH_CASES=100000 cargo test --release --test search` searches longer.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{DECODERS, ENTRIES, OWNERS, World};

const DEFAULT_CASES: u32 = 400;
const SEED: [u8; 32] = *b"apricotrun's search, fixed in CI";

/// One thing that can happen; the numbers choose among what is there.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Request { entry: usize, retryable: bool },
    Deliver(usize),
    BreakLink(usize),
    Prefilled(usize),
    Token(usize),
    TokenTwice(usize),
    ForeignToken(usize),
    End(usize),
    LoseRun(usize, u8),
    Cancel(usize),
    LeaveCaller(usize),
    Pass,
    KillEntry(usize),
    Leave { owner: usize, worker: usize },
    Owners(u8),
}

fn op() -> impl Strategy<Value = Op> {
    let pick = 0usize..64;
    prop_oneof![
        4 => (0..ENTRIES, any::<bool>())
            .prop_map(|(entry, retryable)| Op::Request { entry, retryable }),
        24 => pick.clone().prop_map(Op::Deliver),
        1 => pick.clone().prop_map(Op::BreakLink),
        6 => pick.clone().prop_map(Op::Prefilled),
        10 => pick.clone().prop_map(Op::Token),
        1 => pick.clone().prop_map(Op::TokenTwice),
        1 => pick.clone().prop_map(Op::ForeignToken),
        4 => pick.clone().prop_map(Op::End),
        3 => (pick.clone(), 0u8..8).prop_map(|(run, loss)| Op::LoseRun(run, loss)),
        4 => pick.clone().prop_map(Op::Cancel),
        1 => pick.clone().prop_map(Op::LeaveCaller),
        6 => Just(Op::Pass),
        1 => (0..ENTRIES).prop_map(Op::KillEntry),
        1 => (0..OWNERS, 0..DECODERS).prop_map(|(owner, worker)| Op::Leave { owner, worker }),
        1 => (0u8..3).prop_map(Op::Owners),
    ]
}

#[test]
fn no_interleaving_violates_an_invariant() {
    let cases = std::env::var("APRICOTRUN_SEARCH_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(DEFAULT_CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..300);
    let result = runner.run(&ops, |ops| {
        let mut world = World::new();
        ops.iter().for_each(|op| world.step(op));
        world.settle();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
