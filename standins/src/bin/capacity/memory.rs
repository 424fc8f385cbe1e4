//! Measures the heap memory of a daemon's tables, as counted by the global allocator.

use crate::ALLOCATOR;
use crate::bytes::{claim, daemon, queueable_request};
use crate::times::{documents, owner_ledger};
use apricotrun::coordination::claims::ClaimSet;
use apricotrun::coordination::messages::ShardMessage;
use apricotrun::coordination::shard::ShardEvent;
use apricotrun::coordination::tickets::{StoredResponse, TicketResult, TicketTable};
use apricotrun::prelude::*;
use standins::network::MemberNetwork;
use std::time::SystemTime;

/// Builds a table of `count` entries and returns its bytes per entry.
fn bytes_per_entry<T>(count: usize, build: impl FnOnce() -> T) -> f64 {
    let before = ALLOCATOR.current_usage();
    let table = build();
    let after = ALLOCATOR.current_usage();
    drop(table);
    after.saturating_sub(before) as f64 / count as f64
}

fn claims_at_entry(count: usize) -> f64 {
    bytes_per_entry(count, || {
        let mut claims = ClaimSet::default();
        for sequence in 0..count {
            claims.insert(claim(sequence as u64));
        }
        claims
    })
}

fn claims_at_owner(count: usize) -> f64 {
    let now = Instant::now();
    bytes_per_entry(count, || {
        let mut ledger = owner_ledger(now, 16, 1);
        for sequence in 0..count {
            let message = ShardMessage::Claim(claim(sequence as u64));
            ledger.handle(now, ShardEvent::Message(daemon(), message));
        }
        ledger
    })
}

/// Returns the bytes per request in the queue of a shard's owner. The first requests fill the slots
/// and are not counted.
fn waiting_at_owner(count: usize) -> f64 {
    let now = Instant::now();
    let mut ledger = owner_ledger(now, 4, 1);
    let mut sequence = 0;
    let mut fill = |ledger: &mut apricotrun::coordination::shard::ShardLedger, count: usize| {
        for _ in 0..count {
            sequence += 1;
            let message =
                ShardMessage::RequestAdmission(queueable_request(sequence, "account-0000"));
            ledger.handle(now, ShardEvent::Message(daemon(), message));
        }
    };
    fill(&mut ledger, 100);
    let before = ALLOCATOR.current_usage();
    fill(&mut ledger, count);
    (ALLOCATOR.current_usage() - before) as f64 / count as f64
}

fn tickets(count: usize) -> f64 {
    bytes_per_entry(count, || {
        let mut table = TicketTable::new(daemon());
        let wall = SystemTime::now();
        for number in 0..count {
            let ticket = table.issue(wall, Duration::from_secs(600));
            table.begin(wall, &ticket, Fingerprint::of(&[&number.to_le_bytes()]));
            let body = Some(vec![0; 200]);
            let content_type = "application/json".to_owned();
            let response = StoredResponse { body, content_type, status: 200 };
            table.finish(&ticket, TicketResult::Completed(response));
        }
        table
    })
}

fn accounts(count: usize) -> f64 {
    bytes_per_entry(count, || {
        FleetConfig::build(Revision(1), documents(count)).expect("a valid configuration")
    })
}

/// Returns the bytes per entry of the member tables in a network of `count` members.
fn members(count: usize) -> f64 {
    bytes_per_entry(count * count, || {
        let mut network = MemberNetwork::new(count, 6, 0.0);
        network.run(Duration::from_secs(10));
        network
    })
}

/// Runs the measurements and returns a table with the name and bytes per entry of each table.
pub fn measure() -> String {
    let rows = [
        ("claim_at_entry", claims_at_entry(10_000)),
        ("claim_at_owner", claims_at_owner(10_000)),
        ("waiting_at_owner", waiting_at_owner(10_000)),
        ("ticket_with_200_byte_answer", tickets(10_000)),
        ("account_in_configuration", accounts(2_200)),
        ("member", members(64)),
    ];
    rows.iter().map(|(name, bytes)| format!("{name:28} {bytes:.0}\n")).collect()
}
