//! Seeded property test: random interleavings of requests, lost and delayed messages, crashes,
//! pauses and two simultaneous owners, with three entry daemons and three workers. Invariants are
//! checked after each step.
//!
//! `APRICOTRUN_SEARCH_CASES=100000 cargo test --release --test search` runs more cases.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{DECODE_WORKERS, ENTRIES, OWNERS, Simulation};

const DEFAULT_CASES: u32 = 400;
const SEED: [u8; 32] = *b"apricotrun's search, fixed in CI";

/// One step of the simulation. Unnamed numbers select among the links, runs, requests or cancels
/// that exist at that point, or among the kinds of failures and role assignments.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Request { entry: usize, retryable: bool },
    Deliver(usize),
    BreakLink(usize),
    Prefilled(usize),
    Token(usize),
    DuplicateToken(usize),
    ForeignToken(usize),
    End(usize),
    FailRun(usize, u8),
    Cancel(usize),
    DisconnectCaller(usize),
    AdvanceTime,
    KillEntry(usize),
    ToggleDraining { owner: usize, worker: usize },
    AssignRoles(u8),
}

fn operation() -> impl Strategy<Value = Operation> {
    let pick = 0usize..64;
    prop_oneof![
        4 => (0..ENTRIES, any::<bool>())
            .prop_map(|(entry, retryable)| Operation::Request { entry, retryable }),
        24 => pick.clone().prop_map(Operation::Deliver),
        1 => pick.clone().prop_map(Operation::BreakLink),
        6 => pick.clone().prop_map(Operation::Prefilled),
        10 => pick.clone().prop_map(Operation::Token),
        1 => pick.clone().prop_map(Operation::DuplicateToken),
        1 => pick.clone().prop_map(Operation::ForeignToken),
        4 => pick.clone().prop_map(Operation::End),
        3 => (pick.clone(), 0u8..8).prop_map(|(run, failure)| Operation::FailRun(run, failure)),
        4 => pick.clone().prop_map(Operation::Cancel),
        1 => pick.clone().prop_map(Operation::DisconnectCaller),
        6 => Just(Operation::AdvanceTime),
        1 => (0..ENTRIES).prop_map(Operation::KillEntry),
        1 => (0..OWNERS, 0..DECODE_WORKERS)
            .prop_map(|(owner, worker)| Operation::ToggleDraining { owner, worker }),
        1 => (0u8..3).prop_map(Operation::AssignRoles),
    ]
}

#[test]
fn no_interleaving_violates_an_invariant() {
    let cases = std::env::var("APRICOTRUN_SEARCH_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(DEFAULT_CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let operations = proptest::collection::vec(operation(), 1..300);
    let result = runner.run(&operations, |operations| {
        let mut simulation = Simulation::new();
        operations.iter().for_each(|operation| simulation.step(operation));
        simulation.settle();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
