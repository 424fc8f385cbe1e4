//! Recorded bytes of everything that hosts of two builds exchange: a change of the layout fails here by the
//! name of the message. The bodies are postcard, which does not describe itself, so builds that read each
//! other's bytes as other fields would not notice. See docs/OPERATIONS.md, "Upgrading and rolling back".
//!
//! The files are never regenerated for a build that is in service: a new layout needs a new protocol
//! version and a file of its own.

use apricotrun::coordination::allotments::{AllotmentMessage, LeaseGrant, LeaseRequest};
use apricotrun::coordination::freshness::FreshnessRecord;
use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, ConfigMessage, CrashDigest, CrashReport, GossipMessage,
    GrantMessage, MemberRecord, MemberState, OriginReply, PartHistory, PeerMessage, ReleaseOutcome,
    RequestHistory, ShardMessage, SlotClaim, StreamOrigin,
};
use apricotrun::coordination::roles::PlanRecord;
use apricotrun::coordination::shard::{
    LifeTable, LoadReport, RequestStats, RoomReport, UpstreamNews,
};
use apricotrun::coordination::store::StoreEra;
use apricotrun::coordination::tickets::{
    StoredResponse, TicketHandover, TicketRow, TicketRows, TicketState,
};
use apricotrun::prelude::*;
use apricotrun::protocol::codec::{PROTOCOL_VERSION, PeerFrame, PeerKey};
use apricotrun::protocol::keyring::SharedKey;
use apricotrun::state::fleet::{DocumentName, StoredDocument};
use expect_test::expect_file;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use std::str::FromStr;

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a valid value")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 35], port))
}

fn attempt() -> AttemptId {
    AttemptId { request: RequestId { entry: daemon(), sequence: 300 }, attempt: 2 }
}

fn daemon() -> DaemonId {
    parse("edge-1.1f")
}

fn fingerprint() -> Fingerprint {
    Fingerprint([7; 16])
}

fn claim(phase: ClaimPhase) -> SlotClaim {
    SlotClaim {
        account: parse("desk"),
        attempt: attempt(),
        growth: KvBlocks(3),
        phase,
        kv_blocks: KvBlocks(400),
        prefill: Some(parse("i-pre")),
        runner: parse("i-run"),
        suspect: true,
    }
}

fn member(state: MemberState) -> MemberRecord {
    MemberRecord {
        daemon: daemon(),
        domain: parse("tyrol-a"),
        http: address(8144),
        peer: address(7660),
        state,
        version: 9,
    }
}

fn news() -> Vec<UpstreamNews> {
    vec![UpstreamNews {
        age: MILLIS(250),
        failing: 12,
        incarnation: Incarnation(5),
        name: parse("i-run"),
        report: LoadReport {
            running: 3,
            slowness: SlownessPercent(140),
            slots: Slots(8),
            waiting: 1,
        },
    }]
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        domain: parse("tyrol-a"),
        entry: daemon(),
        service: parse("llm"),
        software: parse("v1.2"),
    }
}

fn refusal(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason).with_retry_after(MILLIS(1_500))
}

/// Encodes messages, and checks that their recorded bytes are decoded to the same.
#[derive(Default)]
struct MessageRecorder {
    lines: String,
}

impl MessageRecorder {
    fn add<T>(&mut self, name: &str, message: &T)
    where
        T: Debug + DeserializeOwned + PartialEq + Serialize,
    {
        let bytes = postcard::to_stdvec(message).expect("an encoded message");
        let decoded: T = postcard::from_bytes(&bytes).expect("a decoded message");
        assert_eq!(&decoded, message, "{name}");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(self.lines, "{name} {hex}").expect("a line");
    }

    fn add_shard(&mut self, name: &str, message: ShardMessage) {
        let (service, domain) = (parse("llm"), parse("tyrol-b"));
        self.add(&format!("shard/{name}"), &PeerMessage::Shard { service, domain, message });
    }
}

fn record_gossip(recorder: &mut MessageRecorder) {
    let (crashes, era, revision) = (CrashDigest(77), StoreEra(2), Revision(41));
    let updates = vec![member(MemberState::Alive)];
    let ping =
        GossipMessage::Ping { nonce: 5, news: news(), crashes, era, revision, updates: vec![] };
    recorder.add("gossip/ping", &ping);
    let freshness = Some(FreshnessRecord { age: MILLIS(400), revision });
    let ack =
        GossipMessage::Ack { nonce: 5, freshness, news: vec![], crashes, era, revision, updates };
    recorder.add("gossip/ack", &ack);
    recorder.add("gossip/ping-req", &GossipMessage::PingReq { nonce: 6, target: address(7660) });
    recorder.add("gossip/join", &GossipMessage::Join(member(MemberState::Leaving)));
    let states = [MemberState::Suspect, MemberState::Dead].map(member);
    recorder.add("gossip/members", &GossipMessage::Members(states.into()));
}

fn record_admission(recorder: &mut MessageRecorder) {
    let request = AdmissionRequest {
        account: parse("desk"),
        attempt: attempt(),
        avoid: vec![parse("i-old")],
        fail_fast: true,
        fingerprint: fingerprint(),
        first_token_within: MILLIS(900),
        max_output: Tokens(70),
        prefilled: false,
        prefix: vec![1, 2 << 40],
        prompt: Tokens(5_200),
        expected_output: Tokens(60),
        returning: true,
        resuming: false,
        suspect: false,
        software: Some(parse("v1.2")),
        urgency: UrgencyRank(4),
        waited: MILLIS(30),
    };
    recorder.add_shard("request-admission", ShardMessage::RequestAdmission(request));
    let grant = GrantMessage {
        claim: claim(ClaimPhase::Prefill),
        prefill_address: Some(address(9000)),
        runner_address: address(9001),
        runner_software: parse("v1.2"),
    };
    recorder.add_shard("grant", ShardMessage::Grant(grant));
    recorder.add_shard("withdraw", ShardMessage::Withdraw(attempt()));
    recorder.add_shard("queued", ShardMessage::Queued(attempt()));
    recorder.add_shard("waiting", ShardMessage::Waiting(attempt()));
    recorder.add_shard("try-domain", ShardMessage::TryDomain(attempt(), parse("tyrol-c")));
    let overloaded = refusal(RefusalReason::Overloaded);
    let domain = Some(parse("tyrol-c"));
    recorder.add_shard("refuse-here", ShardMessage::RefuseHere(attempt(), overloaded, domain));
    recorder.add_shard("first-token-due", ShardMessage::FirstTokenDue(attempt(), MILLIS(350)));
    for reason in REASONS {
        let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
        for verdict in verdicts {
            let refusal = refusal(reason).with_verdict(verdict);
            let name = format!("refuse/{}/{reason:?}", verdict.as_str());
            recorder.add_shard(&name, ShardMessage::Refuse(attempt(), refusal));
        }
    }
}

const REASONS: [RefusalReason; 24] = [
    RefusalReason::UnknownAccount,
    RefusalReason::UnknownService,
    RefusalReason::Forbidden,
    RefusalReason::BadRequest,
    RefusalReason::Overloaded,
    RefusalReason::AccountLimit,
    RefusalReason::TooLarge,
    RefusalReason::NoUpstream,
    RefusalReason::UpstreamFailed,
    RefusalReason::RetriesSpent,
    RefusalReason::CrashesUpstream,
    RefusalReason::DeadlinePassed,
    RefusalReason::NoOwner,
    RefusalReason::NeedsTicket,
    RefusalReason::BadTicket,
    RefusalReason::InProgress,
    RefusalReason::TicketHomeGone,
    RefusalReason::StoreDown,
    RefusalReason::Stopping,
    RefusalReason::NoConfiguration,
    RefusalReason::OriginUnknown,
    RefusalReason::AllotmentSpent,
    RefusalReason::CallerTooSlow,
    RefusalReason::StaleConfiguration,
];

fn record_claims(recorder: &mut MessageRecorder) {
    for phase in [ClaimPhase::Transfer, ClaimPhase::Run] {
        recorder.add_shard(&format!("claim/{phase:?}"), ShardMessage::Claim(claim(phase)));
    }
    recorder.add_shard("progress", ShardMessage::Progress(attempt(), Tokens(33)));
    for outcome in [
        ReleaseOutcome::Finished,
        ReleaseOutcome::Cancelled,
        ReleaseOutcome::Unconfirmed,
        ReleaseOutcome::PrefillLost,
        ReleaseOutcome::RunnerLost,
        ReleaseOutcome::RunnerFull,
        ReleaseOutcome::PrefillFailed,
        ReleaseOutcome::RunnerFailed,
        ReleaseOutcome::Withheld,
        ReleaseOutcome::PrefillFull,
    ] {
        let release = ShardMessage::Release(attempt(), outcome);
        recorder.add_shard(&format!("release/{outcome:?}"), release);
    }
    recorder.add_shard("summary", ShardMessage::Summary { count: 4, digest: 99 });
    recorder.add_shard("pull", ShardMessage::Pull);
    let list = ShardMessage::ClaimList(vec![claim(ClaimPhase::Run)]);
    recorder.add_shard("claim-list", list);
    let mut runs = LifeTable::default();
    runs.add_ended(MILLIS(1_200));
    let (output_hint, prompt) = (Tokens(64), Tokens(4_000));
    let stats = RequestStats { output_hint, prompt, requests: 12, runs };
    recorder.add_shard("stats", ShardMessage::Stats(parse("tyrol-a"), stats));
    let room = RoomReport { starts: 3, spare: 1 };
    recorder.add_shard("room", ShardMessage::Room(parse("tyrol-a"), room));
    let leaving = ShardMessage::Leaving(parse("i-run"), Incarnation(5));
    recorder.add_shard("leaving", leaving);
}

fn record_allotments(recorder: &mut MessageRecorder) {
    let ask = LeaseRequest {
        least: 1.5,
        need: 40.0,
        overdraft: 0.25,
        rate: 12.5,
        reserve: 3.0,
        sequence: 7,
        used: 2.0,
    };
    let wait = Some(MILLIS(700));
    let grant =
        LeaseGrant { coast_limit: 4.0, holders: 3, sequence: 7, tight: true, tokens: 36.0, wait };
    for (name, message) in [
        ("ask", AllotmentMessage::Ask(ask)),
        ("grant", AllotmentMessage::Grant(grant)),
        ("return", AllotmentMessage::Return { tokens: 5.0, ends: true }),
    ] {
        let message = PeerMessage::Allotment { account: parse("desk"), message };
        recorder.add(&format!("allotment/{name}"), &message);
    }
}

fn record_crashes(recorder: &mut MessageRecorder) {
    let report = CrashReport {
        fingerprint: fingerprint(),
        attempt: attempt(),
        parts: vec![PromptPart(11)],
        upstream: parse("i-run"),
        weight: 2,
    };
    recorder.add("crash", &PeerMessage::Crash(report));
    recorder.add("sound-parts", &PeerMessage::SoundParts(vec![PromptPart(12)]));
    let part = PartHistory {
        part: PromptPart(11),
        crashes: vec![(parse("i-run"), MILLIS(90))],
        depth: 1,
        sound: Some(MILLIS(600)),
    };
    let request = RequestHistory {
        fingerprint: fingerprint(),
        attempts: vec![(attempt(), 2)],
        last_crash: MILLIS(90),
    };
    let history = PeerMessage::CrashHistory { parts: vec![part], requests: vec![request] };
    recorder.add("crash-history", &history);
}

fn record_tickets(recorder: &mut MessageRecorder) {
    let response = StoredResponse {
        body: Some(b"done".to_vec()),
        content_type: "text/plain".to_owned(),
        status: 200,
    };
    let states = [TicketState::Running, TicketState::Completed(response), TicketState::MayHaveRun];
    let rows = states.into_iter().zip(1..).map(|(state, number)| {
        (number, TicketRow { expires: 1_800_000_000, fingerprint: fingerprint(), state })
    });
    let rows = TicketRows { expires: 1_800_000_100, rows: rows.collect() };
    let tables = BTreeMap::from([(daemon(), rows)]);
    let handover = TicketHandover { from: daemon(), tables };
    recorder.add("tickets", &PeerMessage::Tickets(handover));
    recorder.add("tickets-accepted", &PeerMessage::TicketsAccepted(daemon()));
    let (from, successor) = (daemon(), parse("edge-1.2f"));
    recorder.add("ticket-successor", &PeerMessage::TicketSuccessor { from, successor });
}

fn record_others(recorder: &mut MessageRecorder) {
    let text = "text".to_owned();
    let documents = BTreeMap::from([
        (
            DocumentName::Account(parse("desk")),
            StoredDocument { revision: Revision(3), text: text.clone() },
        ),
        (DocumentName::Template(parse("llm")), StoredDocument { revision: Revision(4), text }),
    ]);
    let (since, revision) = (Revision(2), Revision(4));
    for (name, message) in [
        ("have", ConfigMessage::Have(revision)),
        ("want", ConfigMessage::Want(since)),
        ("delta", ConfigMessage::Delta { since, revision, documents }),
    ] {
        recorder.add(&format!("config/{name}"), &PeerMessage::Config(message));
    }
    let limit = PeerMessage::UpstreamLimit {
        incarnation: Incarnation(5),
        rate: Some(RequestRate(5_100)),
        upstream: parse("i-run"),
    };
    recorder.add("upstream-limit", &limit);
    let request = || "4e6a12fac943bba8".to_owned();
    let kept = PeerMessage::StreamOrigin {
        lifetime: MILLIS(30_000),
        origin: origin(),
        request: request(),
    };
    recorder.add("stream-origin", &kept);
    let question = PeerMessage::FindOrigin {
        lookup: 8,
        request: request(),
        service: parse("llm"),
        window: MILLIS(30_000),
    };
    recorder.add("find-origin", &question);
    let reply = OriginReply { known: Some(origin()), sole_version: Some(parse("v1.2")) };
    recorder.add("found-origin", &PeerMessage::FoundOrigin { lookup: 8, reply });
    let frame = PeerFrame {
        from: daemon(),
        to: parse("edge-2"),
        message: PeerMessage::Config(ConfigMessage::Have(revision)),
    };
    recorder.add("frame", &frame);
}

#[test]
fn messages_between_hosts_have_their_recorded_layout() {
    let mut recorder = MessageRecorder::default();
    record_gossip(&mut recorder);
    record_admission(&mut recorder);
    record_claims(&mut recorder);
    record_allotments(&mut recorder);
    record_crashes(&mut recorder);
    record_tickets(&mut recorder);
    record_others(&mut recorder);
    assert_eq!(PROTOCOL_VERSION, 5, "a new version has a file of its own");
    expect_file!["recorded/messages-5.txt"].assert_eq(&recorder.lines);
}

/// What one build writes to the platform's store, another one reads.
#[test]
fn records_in_the_store_have_their_recorded_layout() {
    let plan = r#"{"begun":true,"holder":"edge-1","plan":{"workers":{"f0":[1000,"decode"]}}}"#;
    let record = PlanRecord::decode(plan.as_bytes()).expect("a plan");
    assert!(record.begun && record.holder == parse("edge-1"));
    assert_eq!(record.plan.workers[&parse("f0")], (Incarnation(1000), UpstreamRole::Decode));
    assert_eq!(record.encode(), Ok(plan.as_bytes().to_vec()));
    let key = format!("3:{}", "0a".repeat(32));
    let shared = SharedKey { era: StoreEra(3), key: PeerKey::new([10; 32]) };
    assert_eq!(key.parse(), Ok(shared.clone()));
    assert_eq!(shared.to_string(), key);
}
