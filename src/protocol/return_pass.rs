//! The pass that a refused caller shows when it comes back, so that any entry can tell a booked
//! return from a new request without having kept anything.

use crate::prelude::*;
use crate::protocol::codec::PeerKey;
use std::time::SystemTime;

/// How long after the booked time a pass still counts.
const PASS_GRACE: Duration = Duration::from_secs(10);
/// How much earlier than booked a caller may come, since clocks and rounding differ.
const PASS_EARLY: Duration = Duration::from_millis(250);

/// Returns the pass for a caller of `account` that is to come back at `at`.
pub fn issue_return_pass(key: &PeerKey, account: &AccountName, at: SystemTime) -> String {
    let at = unix_millis(at);
    format!("{at}.{:016x}", check(key, account, at))
}

/// Returns whether a pass is genuine and its time has come.
pub fn is_return_due(key: &PeerKey, account: &AccountName, pass: &str, wall: SystemTime) -> bool {
    let Some((at, found)) = pass.split_once('.') else { return false };
    let (Ok(at), Ok(found)) = (at.parse::<u64>(), u64::from_str_radix(found, 16)) else {
        return false;
    };
    let now = unix_millis(wall);
    let window = at.saturating_sub(PASS_EARLY.as_millis() as u64)
        ..at.saturating_add(PASS_GRACE.as_millis() as u64);
    found == check(key, account, at) && window.contains(&now)
}

fn check(key: &PeerKey, account: &AccountName, at: u64) -> u64 {
    let text = format!("return/{account}/{at}");
    let digest = blake3::keyed_hash(key.bytes(), text.as_bytes());
    let mut half = [0; 8];
    half.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(half)
}

fn unix_millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
