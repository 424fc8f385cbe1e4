//! Tests of how daemons keep the software version that began a stream.

use apricotrun::coordination::messages::StreamOrigin;
use apricotrun::coordination::software_versions::VersionHistory;
use apricotrun::coordination::stream_origins::{DaemonDomains, OriginBoard, OriginCopy};
use apricotrun::prelude::*;
use std::collections::BTreeMap;

const LIFETIME: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);
/// The most daemons that get a copy of an origin, however many there are.
const MAX_COPIES: usize = 4;

fn daemon(index: usize) -> DaemonId {
    format!("host-{index}.1").parse().expect("a valid id")
}

fn domain(index: usize, domains: usize) -> DomainName {
    format!("zone-{}", index % domains).parse().expect("a valid name")
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a valid version")
}

fn service() -> ServiceName {
    "llm".parse().expect("a valid name")
}

/// Daemons that know each other and exchange origins without loss.
struct BoardHarness {
    boards: BTreeMap<DaemonId, OriginBoard>,
    daemons: DaemonDomains,
    now: Instant,
    sent: usize,
}

impl BoardHarness {
    fn new(count: usize, domains: usize) -> Self {
        let daemons = (0..count).map(|index| (daemon(index), domain(index, domains))).collect();
        let boards = (0..count).map(|index| (daemon(index), OriginBoard::default())).collect();
        let mut harness = Self { boards, daemons, now: Instant::now(), sent: 0 };
        harness.announce_members();
        harness
    }

    fn announce_members(&mut self) {
        let (now, daemons) = (self.now, self.daemons.clone());
        let copies =
            self.boards.values_mut().map(|board| board.change_daemons(now, daemons.clone()));
        let copies: Vec<_> = copies.flatten().collect();
        self.deliver(copies);
    }

    fn deliver(&mut self, copies: Vec<OriginCopy>) {
        for copy in copies {
            self.sent += 1;
            if let Some(board) = self.boards.get_mut(&copy.to) {
                board.learn(self.now, &copy.request, copy.origin, copy.lifetime);
            }
        }
    }

    fn begin(&mut self, entry: &DaemonId, request: &str) {
        let origin = StreamOrigin {
            domain: self.daemons[entry].clone(),
            entry: entry.clone(),
            service: service(),
            software: version("v1"),
        };
        let board = self.boards.get_mut(entry).expect("a running daemon");
        let copies = board.record(self.now, request, origin, LIFETIME);
        assert!(copies.len() <= MAX_COPIES, "{}", copies.len());
        self.deliver(copies);
    }

    fn remove(&mut self, daemons: &[DaemonId]) {
        for daemon in daemons {
            self.boards.remove(daemon);
            self.daemons.remove(daemon);
        }
    }

    /// Returns whether a daemon finds the origin at itself or at those that it asks.
    fn finds(&self, at: &DaemonId, request: &str) -> bool {
        let asked = self.boards[at].daemons_to_ask(request, &self.daemons[at]);
        let mut boards = asked.iter().chain([at]).filter_map(|daemon| self.boards.get(daemon));
        boards.any(|board| board.find(self.now, request).is_some())
    }
}

#[test]
fn every_daemon_finds_a_stream_whose_entry_is_gone() {
    for (count, domains) in [(2, 1), (7, 4), (60, 4), (300, 6)] {
        let mut harness = BoardHarness::new(count, domains);
        for stream in 0..40 {
            let entry = daemon(stream % count);
            let request = format!("r{stream}");
            if !harness.boards.contains_key(&entry) {
                continue;
            }
            harness.begin(&entry, &request);
            let at = harness.daemons.keys().filter(|id| **id != entry);
            assert!(at.clone().all(|at| harness.finds(at, &request)), "{count} daemons");
        }
    }
}

#[test]
fn origin_survives_the_entry_and_another_daemon_that_die_together() {
    for other in [0, 1, 2, 4, 5, 6] {
        let mut harness = BoardHarness::new(7, 4);
        harness.begin(&daemon(3), "r");
        harness.remove(&[daemon(3), daemon(other)]);
        // The others do not know yet that these two are gone.
        let lost: Vec<_> = harness.daemons.keys().filter(|at| !harness.finds(at, "r")).collect();
        assert!(lost.is_empty(), "without host-{other}, {lost:?} do not find the origin");
    }
}

/// Every daemon is replaced, one after the other, while a stream runs.
#[test]
fn origin_survives_a_rolling_restart() {
    let mut harness = BoardHarness::new(7, 4);
    harness.begin(&daemon(0), "r");
    for index in 0..7 {
        harness.remove(&[daemon(index)]);
        harness.announce_members();
        let replacement: DaemonId = format!("host-{index}.2").parse().expect("a valid id");
        harness.daemons.insert(replacement.clone(), domain(index, 4));
        harness.boards.insert(replacement, OriginBoard::default());
        harness.announce_members();
        let lost: Vec<_> = harness.daemons.keys().filter(|at| !harness.finds(at, "r")).collect();
        assert!(lost.is_empty(), "after host-{index}: {lost:?}");
    }
}

#[test]
fn members_that_come_and_go_move_only_the_origins_that_they_keep() {
    let mut harness = BoardHarness::new(300, 6);
    for stream in 0..100 {
        harness.begin(&daemon(stream), &format!("r{stream}"));
    }
    harness.sent = 0;
    let joined: DaemonId = "host-new.1".parse().expect("a valid id");
    harness.daemons.insert(joined.clone(), domain(0, 6));
    harness.boards.insert(joined, OriginBoard::default());
    harness.announce_members();
    assert!(harness.sent <= 100, "{} messages for one of 301 daemons", harness.sent);
}

#[test]
fn origins_expire() {
    let mut harness = BoardHarness::new(2, 1);
    harness.begin(&daemon(0), "r");
    harness.now += LIFETIME;
    assert!(!harness.finds(&daemon(1), "r"));
    harness.begin(&daemon(0), "s");
    assert_eq!(harness.boards[&daemon(0)].len(), 1);
}

#[test]
fn version_is_the_only_one_once_no_stream_of_another_can_be_left() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    let (v1, v2) = (version("v1"), version("v2"));
    history.observe(now, &service(), [&v1].into_iter());
    assert_eq!(history.sole_version(now, &service(), LIFETIME), None, "not read yet");
    history.set_readable(now, true);
    let sole = |history: &VersionHistory, at| history.sole_version(at, &service(), LIFETIME);
    assert_eq!(sole(&history, now), None, "streams may be older than this daemon");
    assert_eq!(sole(&history, now + LIFETIME), Some(v1.clone()));
    let now = now + LIFETIME;
    history.observe(now, &service(), [&v1, &v2].into_iter());
    assert_eq!(sole(&history, now), None);
    history.observe(now + SECOND, &service(), [&v2].into_iter());
    assert_eq!(sole(&history, now + LIFETIME), None, "streams of v1 may be left");
    assert_eq!(sole(&history, now + SECOND + LIFETIME), Some(v2));
}

/// Callers whose take-up is refused must not be told to come back before any daemon knows more.
#[test]
fn time_until_the_version_is_known_covers_everything_that_is_missing() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    let (v1, v2) = (version("v1"), version("v2"));
    let time =
        |history: &VersionHistory, at| history.time_to_sole_version(at, &service(), LIFETIME);
    history.observe(now, &service(), [&v1].into_iter());
    assert_eq!(time(&history, now), LIFETIME, "the records have not been read");
    history.set_readable(now, true);
    assert_eq!(time(&history, now + SECOND), LIFETIME - SECOND);
    history.observe(now + SECOND, &service(), [&v1, &v2].into_iter());
    assert_eq!(time(&history, now + SECOND * 5), LIFETIME, "two versions serve");
    history.observe(now + SECOND * 6, &service(), [&v2].into_iter());
    let left = time(&history, now + SECOND * 10);
    assert_eq!(left, LIFETIME - SECOND * 4, "streams of v1 may be left");
    let known = |at| history.sole_version(at, &service(), LIFETIME);
    assert_eq!(known(now + SECOND * 10 + left), Some(v2));
}

#[test]
fn version_is_not_known_while_records_cannot_be_read() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    history.mark_first_start();
    history.observe(now, &service(), [&version("v1")].into_iter());
    history.set_readable(now, true);
    let sole = |history: &VersionHistory, at| history.sole_version(at, &service(), LIFETIME);
    assert_eq!(sole(&history, now), Some(version("v1")), "the deployment has just started");
    history.set_readable(now, false);
    assert_eq!(sole(&history, now + LIFETIME * 2), None);
    history.set_readable(now + LIFETIME * 2, true);
    assert_eq!(sole(&history, now + LIFETIME * 2), None, "versions may have come and gone");
    assert_eq!(sole(&history, now + LIFETIME * 3), Some(version("v1")));
}

/// Guards against a list of upstreams that is older than the stream that it is asked about.
#[test]
fn versions_are_known_since_the_call_that_brought_them() {
    let now = Instant::now();
    let at = |seconds| BootTime(Duration::from_secs(seconds));
    let mut history = VersionHistory::default();
    history.record_read(at(10));
    assert!(!history.is_read_since(at(10)), "not readable yet");
    history.set_readable(now, true);
    assert!(history.is_read_since(at(10)) && !history.is_read_since(at(11)));
    history.record_read(at(9));
    assert!(history.is_read_since(at(10)), "calls may end in another order");
    history.set_readable(now, false);
    assert!(!history.is_read_since(at(10)));
}

#[test]
fn version_that_went_counts_until_its_streams_have_ended() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    let only = |history: &VersionHistory, at| {
        history.has_seen_only(at, &service(), LIFETIME, &version("v1"))
    };
    assert!(only(&history, now), "nothing is known against it");
    history.observe(now, &service(), [version("v1"), version("v2")].iter());
    assert!(!only(&history, now));
    history.observe(now, &service(), [version("v1")].iter());
    assert!(!only(&history, now + LIFETIME - SECOND));
    assert!(only(&history, now + LIFETIME));
}
