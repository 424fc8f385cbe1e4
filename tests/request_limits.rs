//! Tests of how daemons share the requests that an upstream takes from all of them together.

use apricotrun::coordination::ownership::{limit_key, rank_daemons};
use apricotrun::coordination::request_limits::{LimitBoard, LimitNews};
use apricotrun::prelude::*;
use std::collections::VecDeque;

const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);
const INCARNATION: Incarnation = Incarnation(7);

fn upstream() -> UpstreamName {
    "u0".parse().expect("a valid name")
}

fn rate(per_second: f64) -> Option<RequestRate> {
    Some(RequestRate::from_per_second(per_second))
}

/// Daemons that all know a limit.
struct BoardHarness {
    boards: Vec<LimitBoard>,
    now: Instant,
}

impl BoardHarness {
    fn new(daemons: usize, limit: f64) -> Self {
        let now = Instant::now();
        let boards = (0..daemons).map(|_| LimitBoard::default()).collect();
        let mut harness = Self { boards, now };
        harness.announce(limit);
        harness.divide(daemons);
        harness
    }

    fn announce(&mut self, limit: f64) {
        for board in &mut self.boards {
            board.learn(self.now, &upstream(), INCARNATION, rate(limit));
        }
    }

    /// Lets each daemon compute its share from a view of the first `members` daemons.
    fn divide(&mut self, members: usize) {
        let daemons: Vec<DaemonId> =
            (0..members).map(|index| format!("h{index}.1").parse().expect("a valid id")).collect();
        let key = limit_key(&upstream());
        let ranked = rank_daemons(&key, daemons.iter());
        for (index, board) in self.boards.iter_mut().enumerate() {
            let rank = daemons.get(index).and_then(|me| ranked.iter().position(|at| *at == me));
            board.divide(self.now, members, |_| rank);
        }
    }

    /// Sends as much as all daemons may for a time; returns the requests of the busiest window and
    /// of the whole time.
    fn send_all(&mut self, time: Duration) -> (usize, usize) {
        let (mut sent, mut busiest, mut total) = (VecDeque::new(), 0, 0);
        let end = self.now + time;
        while self.now < end {
            for board in &mut self.boards {
                while board.take(self.now, &upstream(), INCARNATION) {
                    sent.push_back(self.now);
                    total += 1;
                }
            }
            while sent.front().is_some_and(|at| self.now - *at > WINDOW) {
                sent.pop_front();
            }
            busiest = busiest.max(sent.len());
            self.now += STEP;
        }
        (busiest, total)
    }
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Whatever the number of daemons, and also if all of them have been idle and are then asked for
/// more than the limit at the same moment.
#[test]
fn daemons_together_stay_within_the_limit_and_use_most_of_it() {
    for daemons in [1, 7, 300] {
        for limit in [0.3, 2.0, 5.1, 40.0] {
            let mut harness = BoardHarness::new(daemons, limit);
            harness.now += SECOND * 30;
            let (busiest, total) = harness.send_all(SECOND * 24);
            assert!(busiest <= allowed(limit), "{busiest} at {limit}/s from {daemons} daemons");
            let used = total as f64 / (limit * 24.0);
            assert!(used > 0.8, "{used} of {limit}/s from {daemons} daemons");
        }
    }
}

#[test]
fn daemons_that_come_and_go_do_not_raise_the_limit() {
    let mut harness = BoardHarness::new(9, 5.1);
    for members in [7, 9, 8, 6, 9] {
        harness.divide(members);
        let (busiest, _) = harness.send_all(SECOND * 6);
        assert!(busiest <= allowed(5.1), "{busiest} from {members} daemons");
        harness.announce(5.1);
    }
}

#[test]
fn limit_is_announced_when_it_is_new_changes_ends_or_was_announced_long_ago() {
    let mut board = LimitBoard::default();
    let start = Instant::now();
    let mut record = |at: u32, sent: u32, limit| {
        let (now, sent) = (start + SECOND * at, start + SECOND * sent);
        board.record(now, sent, &upstream(), INCARNATION, limit)
    };
    assert_eq!(record(0, 0, None), LimitNews::Known);
    assert_eq!(record(1, 1, rate(5.0)), LimitNews::Announce);
    assert_eq!(record(2, 2, rate(5.2)), LimitNews::Known);
    assert_eq!(record(3, 3, rate(6.0)), LimitNews::Announce);
    assert_eq!(record(4, 2, None), LimitNews::Known, "sent before the limit was heard of again");
    assert_eq!(record(24, 24, rate(6.0)), LimitNews::Announce);
    assert_eq!(record(25, 25, None), LimitNews::Announce);
    assert_eq!(record(26, 26, None), LimitNews::Known);
}

#[test]
fn limit_binds_an_incarnation_and_earlier_ones_until_nothing_is_heard_of_it() {
    let mut board = LimitBoard::default();
    let now = Instant::now();
    board.learn(now, &upstream(), INCARNATION, rate(1.0));
    assert!(board.blocked_until(now, &upstream(), INCARNATION).is_some(), "no share yet");
    assert!(!board.take(now, &upstream(), Incarnation(6)));
    assert!(board.take(now, &upstream(), Incarnation(8)), "it has started anew");
    board.divide(now, 1, |_| Some(0));
    let due = board.blocked_until(now, &upstream(), INCARNATION).expect("a time");
    assert!(board.take(due, &upstream(), INCARNATION));
    assert!(!board.take(due, &upstream(), INCARNATION));
    board.divide(now + SECOND * 60, 1, |_| Some(0));
    assert_eq!(board.names(), []);
}
