//! Measures the CPU time of scheduling decisions, of the codec and of configuration builds.

use crate::bytes::{claim, daemon, key, queueable_request};
use crate::plot::{Series, draw};
use apricotrun::coordination::messages::{
    ClaimPhase, ConfigMessage, PeerMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use apricotrun::coordination::shard::{ShardEvent, ShardLedger, ShardRole};
use apricotrun::prelude::*;
use apricotrun::protocol::codec::{FrameContext, PeerFrame};
use apricotrun::state::fleet::{AccountQuota, DocumentName, StoredDocument};
use standins::fixtures::upstream;
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::path::Path;
use std::sync::Arc;

/// The number of rounds of each measurement, of which the fastest counts.
const ROUNDS: usize = 5;

/// Returns the nanoseconds per unit of work in the fastest round. `work` returns the number of
/// units that it has done.
fn fastest_round_ns(mut work: impl FnMut() -> usize) -> f64 {
    let time = |work: &mut dyn FnMut() -> usize| {
        let started = Instant::now();
        let count = work();
        started.elapsed().as_secs_f64() * 1e9 / count as f64
    };
    (0..ROUNDS).map(|_| time(&mut work)).fold(f64::INFINITY, f64::min)
}

/// Returns a template in which every fourth worker is a prefill worker and the others are decode
/// workers.
pub fn template(workers: usize) -> ServiceTemplate {
    let domain = "region-1-a".parse().expect("a valid name");
    let spec = |index: usize| {
        let prefill = index.is_multiple_of(4);
        let role = if prefill { UpstreamRole::Prefill } else { UpstreamRole::Decode };
        UpstreamSpec {
            address: "10.1.2.3:8000".parse().expect("a valid address"),
            kv_blocks: Some(KvBlocks(60)),
            ..upstream(&format!("model-07-worker-{index}"), &domain, role, 20)
        }
    };
    ServiceTemplate {
        inter_token_target: Duration::from_millis(34),
        deadline: Duration::from_secs(600),
        first_token_target: Duration::from_secs(600),
        link_tokens_per_second: TokenRate(1e6),
        prefill_tokens_per_second: TokenRate(1e6),
        ..standins::fixtures::template("model-07", (0..workers).map(spec).collect())
    }
}

/// Returns the ledger of a shard's owner with these numbers of workers and accounts.
pub fn owner_ledger(now: Instant, workers: usize, accounts: usize) -> ShardLedger {
    let mut ledger = ShardLedger::new("region-1-a".parse().expect("a valid name"));
    let quota = AccountQuota { ceiling: 1.0, max_waiting: 1_000_000, share: 0.01 };
    let names = (0..accounts).map(|index| format!("account-{index:04}"));
    let quotas = names.map(|name| (name.parse().expect("a valid name"), quota)).collect();
    ledger.handle(now, ShardEvent::Configure(Arc::new(template(workers)), quotas));
    let live = BTreeSet::from([daemon()]);
    let local = BTreeSet::new();
    ledger.handle(now, ShardEvent::Members { live, local, role: ShardRole::Owner });
    ledger.handle(now + Duration::from_secs(1), ShardEvent::Tick);
    ledger
}

/// Lets the ledger handle a message and returns the claim that it grants in response, if any.
fn handle_message(
    ledger: &mut ShardLedger,
    now: Instant,
    message: ShardMessage,
) -> Option<SlotClaim> {
    let actions = ledger.handle(now, ShardEvent::Message(daemon(), message));
    actions.into_iter().find_map(|action| match action {
        apricotrun::coordination::shard::ShardAction::Send(_, ShardMessage::Grant(grant)) => {
            Some(grant.claim)
        }
        _ => None,
    })
}

/// Returns the nanoseconds that one request takes at a shard's owner while `waiting` others are
/// queued: its admission request, two claim updates, its release, and the grant to the next request
/// in the queue.
fn owner_request_ns(workers: usize, waiting: usize) -> f64 {
    const REQUESTS: usize = 2_000;
    let now = Instant::now() + Duration::from_secs(2);
    let mut ledger = owner_ledger(now - Duration::from_secs(2), workers, 100);
    let mut running = Vec::new();
    let mut sequence = 0;
    let next_request = |sequence: &mut u64| {
        *sequence += 1;
        ShardMessage::RequestAdmission(queueable_request(
            *sequence,
            &format!("account-{:04}", *sequence % 100),
        ))
    };
    // Fill all slots, then the queue.
    loop {
        let message = next_request(&mut sequence);
        let Some(claim) = handle_message(&mut ledger, now, message) else { break };
        let claim = SlotClaim { phase: ClaimPhase::Run, ..claim };
        handle_message(&mut ledger, now, ShardMessage::Claim(claim.clone()));
        running.push(claim.attempt);
    }
    for _ in 1..waiting {
        let message = next_request(&mut sequence);
        handle_message(&mut ledger, now, message);
    }
    fastest_round_ns(|| {
        for _ in 0..REQUESTS {
            let message = next_request(&mut sequence);
            handle_message(&mut ledger, now, message);
            let done = running.remove(0);
            let release = ShardMessage::Release(done, ReleaseOutcome::Finished);
            let granted =
                handle_message(&mut ledger, now, release).expect("the freed slot is granted");
            for phase in [ClaimPhase::Transfer, ClaimPhase::Run] {
                handle_message(
                    &mut ledger,
                    now,
                    ShardMessage::Claim(SlotClaim { phase, ..granted.clone() }),
                );
            }
            running.push(granted.attempt);
        }
        REQUESTS
    })
}

/// Returns the nanoseconds to encode and decode a message once.
fn codec_ns(message: &PeerMessage) -> f64 {
    const MESSAGES: usize = 20_000;
    let to: HostName = "region-1-a-018".parse().expect("a valid name");
    let frame = PeerFrame { from: daemon(), message: message.clone(), to };
    fastest_round_ns(|| {
        let (mut sender, mut receiver) = (FrameContext::new([0; 16]), FrameContext::new([0; 16]));
        for _ in 0..MESSAGES {
            let bytes = sender.encode(&key(), &frame).expect("a valid frame");
            black_box(receiver.decode([&key()], &bytes).expect("a valid frame"));
        }
        MESSAGES
    })
}

/// Returns the nanoseconds to build the configuration of this number of accounts.
fn config_build_ns(accounts: usize) -> f64 {
    let documents = documents(accounts);
    fastest_round_ns(|| {
        let config = FleetConfig::build(Revision(1), documents.clone());
        black_box(config.expect("a valid configuration"));
        1
    })
}

/// Returns the configuration documents of this number of accounts.
pub fn documents(accounts: usize) -> BTreeMap<DocumentName, StoredDocument> {
    let document = |index: usize| {
        let name = format!("account/account-{index:04}").parse().expect("a valid name");
        let text = crate::bytes::account_text(index);
        (name, StoredDocument { revision: Revision(1), text })
    };
    (0..accounts).map(document).collect()
}

/// Runs the measurements, draws the owner's times into `folder`, and returns a table with the name
/// and nanoseconds of each operation.
pub fn measure(folder: &Path) -> String {
    let mut rows = Vec::new();
    let mut plotted = Vec::new();
    for workers in [4, 16, 64] {
        let mut points = Vec::new();
        for waiting in [10, 100, 1_000, 10_000] {
            let time = owner_request_ns(workers, waiting);
            rows.push((format!("owner_{workers}_workers_{waiting}_waiting"), time));
            points.push((waiting as f64, time / 1_000.0));
        }
        plotted.push(Series { name: format!("{workers} workers"), points });
    }
    draw(
        &folder.join("owner.svg"),
        "One request at a shard's owner",
        "waiting requests",
        "microseconds",
        &plotted,
    );
    let shard = PeerMessage::Shard {
        domain: "region-1-a".parse().expect("a valid name"),
        message: ShardMessage::Claim(claim(1_000_000)),
        service: "model-07".parse().expect("a valid name"),
    };
    rows.push(("codec_claim_both_ways".to_owned(), codec_ns(&shard)));
    let have = PeerMessage::Config(ConfigMessage::Have(Revision(1)));
    rows.push(("codec_have_both_ways".to_owned(), codec_ns(&have)));
    for accounts in [100, 500, 1_000, 2_200] {
        rows.push((format!("config_build_{accounts}_accounts"), config_build_ns(accounts)));
    }
    rows.iter().map(|(name, time)| format!("{name:36} {time:.0}\n")).collect()
}
