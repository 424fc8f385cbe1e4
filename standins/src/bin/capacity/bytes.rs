//! Measures the encoded sizes of messages between daemons.

use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, ConfigMessage, CrashDigest, GossipMessage, GrantMessage,
    MemberRecord, MemberState, PeerMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use apricotrun::coordination::store::StoreEra;
use apricotrun::prelude::*;
use apricotrun::protocol::codec::{FrameContext, PeerFrame, PeerKey, encode_datagram};
use apricotrun::state::fleet::StoredDocument;
use std::collections::BTreeMap;

/// The size of the length prefix of a frame, in bytes.
const FRAME_LENGTH_BYTES: usize = 4;

/// Returns the peer key that the measurements use.
pub fn key() -> PeerKey {
    "a".repeat(64).parse().expect("a valid key")
}

/// Returns a daemon's id of the length that is usual in a deployment.
pub fn daemon() -> DaemonId {
    "region-1-a-017.19a2b3c4d5e".parse().expect("a valid id")
}

/// Returns the id of a first attempt of [`daemon`].
pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId { request: RequestId { entry: daemon(), sequence }, attempt: 1 }
}

/// Returns the claim of [`attempt`] in the run phase.
pub fn claim(sequence: u64) -> SlotClaim {
    SlotClaim {
        account: "account-1234".parse().expect("a valid name"),
        attempt: attempt(sequence),
        growth: KvBlocks(0),
        phase: ClaimPhase::Run,
        kv_blocks: KvBlocks(3),
        prefill: Some("model-07-prefill-1".parse().expect("a valid name")),
        runner: "model-07-decode-3".parse().expect("a valid name"),
        suspect: false,
    }
}

/// Returns an admission request with a target for the first token that is so far off that the owner
/// queues the request instead of refusing it.
pub fn queueable_request(sequence: u64, account: &str) -> AdmissionRequest {
    AdmissionRequest {
        first_token_within: Duration::from_secs(86_400),
        ..admission_request(sequence, account)
    }
}

/// Returns an admission request of an account with a typical prompt and output length.
pub fn admission_request(sequence: u64, account: &str) -> AdmissionRequest {
    AdmissionRequest {
        account: account.parse().expect("a valid name"),
        fail_fast: false,
        fingerprint: Fingerprint::of(&[&sequence.to_le_bytes()]),
        max_output: Tokens(u32::MAX),
        expected_output: Tokens(467),
        attempt: attempt(sequence),
        avoid: Vec::new(),
        first_token_within: Duration::from_millis(350),
        prefilled: false,
        prefix: vec![u64::MAX; 2],
        prompt: Tokens(3_000),
        resuming: false,
        returning: false,
        suspect: false,
        software: None,
        urgency: UrgencyRank::default(),
        waited: Duration::ZERO,
    }
}

fn member_record() -> MemberRecord {
    MemberRecord {
        daemon: daemon(),
        domain: "region-1-a".parse().expect("a valid name"),
        http: "10.1.2.3:8100".parse().expect("a valid address"),
        peer: "10.1.2.3:8101".parse().expect("a valid address"),
        state: MemberState::Alive,
        version: 1,
    }
}

/// Returns the size of a shard message on its connection, in bytes.
pub fn shard_bytes(message: ShardMessage) -> usize {
    frame_bytes(PeerMessage::Shard {
        domain: "region-1-a".parse().expect("a valid name"),
        message,
        service: "model-07".parse().expect("a valid name"),
    })
}

/// Returns the size of a message as a frame with its length prefix, in bytes.
fn frame_bytes(message: PeerMessage) -> usize {
    let to = "region-1-a-018".parse().expect("a valid name");
    let frame = PeerFrame { from: daemon(), message, to };
    let bytes = FrameContext::new([0; 16]).encode(&key(), &frame).expect("a valid frame");
    bytes.len() + FRAME_LENGTH_BYTES
}

/// Returns the size of a ping datagram with this number of member records, in bytes.
fn datagram_bytes(updates: usize) -> usize {
    let updates = vec![member_record(); updates];
    let ping = GossipMessage::Ping {
        crashes: CrashDigest(u64::MAX),
        news: Vec::new(),
        nonce: u64::MAX,
        era: StoreEra(9),
        revision: Revision(281_050),
        updates,
    };
    encode_datagram(&key(), &ping).expect("a valid datagram").len()
}

/// Returns the configuration document of one account.
pub fn account_text(index: usize) -> String {
    format!(
        "account = \"account-{index:04}\"\nkey_digest = \"{}\"\n\n[services.model-{:02}]\n\
         share = 0.01\n",
        apricotrun::state::fleet::key_digest(&index.to_string()),
        index % 30
    )
}

/// Returns the size of a configuration update that contains this number of accounts, in bytes.
fn delta_bytes(accounts: usize) -> usize {
    let document = |index: usize| {
        let name = format!("account/account-{index:04}").parse().expect("a valid name");
        let revision = Revision(281_050);
        (name, StoredDocument { revision, text: account_text(index) })
    };
    let documents: BTreeMap<_, _> = (0..accounts).map(document).collect();
    let (since, revision) = (Revision(281_049), Revision(281_050));
    frame_bytes(PeerMessage::Config(ConfigMessage::Delta { documents, revision, since }))
}

/// Runs the measurements and returns a table with the name and size in bytes of each message.
pub fn measure() -> String {
    let grant = GrantMessage {
        claim: claim(1_000_000),
        prefill_address: Some("10.1.2.3:8000".parse().expect("a valid address")),
        runner_address: "10.1.2.4:8000".parse().expect("a valid address"),
        runner_software: SoftwareVersion::default(),
    };
    let list =
        |count: u64| ShardMessage::ClaimList((0..count).map(|i| claim(i + 1_000_000)).collect());
    let outcome = ReleaseOutcome::Finished;
    let rows = [
        (
            "ask",
            shard_bytes(ShardMessage::RequestAdmission(admission_request(
                1_000_000,
                "account-1234",
            ))),
        ),
        ("grant", shard_bytes(ShardMessage::Grant(grant))),
        ("claim", shard_bytes(ShardMessage::Claim(claim(1_000_000)))),
        ("release", shard_bytes(ShardMessage::Release(attempt(1_000_000), outcome))),
        ("summary", shard_bytes(ShardMessage::Summary { count: 50, digest: u64::MAX })),
        ("claim_list_0", shard_bytes(list(0))),
        ("claim_list_100", shard_bytes(list(100))),
        ("config_have", frame_bytes(PeerMessage::Config(ConfigMessage::Have(Revision(281_050))))),
        ("config_delta_1", delta_bytes(1)),
        ("config_delta_100", delta_bytes(100)),
        ("config_delta_2200", delta_bytes(2_200)),
        ("ping_0_news", datagram_bytes(1)),
        ("ping_6_news", datagram_bytes(7)),
    ];
    rows.iter().map(|(name, bytes)| format!("{name:20} {bytes}\n")).collect()
}
