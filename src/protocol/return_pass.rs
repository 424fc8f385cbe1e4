//! Return passes: signed tokens that a refused caller presents when it retries, so that any entry
//! can tell a scheduled retry from a new request without keeping state.

use crate::prelude::*;
use crate::protocol::codec::PeerKey;
use std::time::SystemTime;

/// How long after the scheduled time a pass is still valid.
const MAX_LATENESS: Duration = Duration::from_secs(10);
/// How much earlier than scheduled a caller may retry, since clocks and rounding differ.
const MAX_EARLINESS: Duration = Duration::from_millis(250);

/// Returns the pass for a caller of `account` that is to retry at `at`.
pub fn issue_return_pass(key: &PeerKey, account: &AccountName, at: SystemTime) -> String {
    let at = unix_millis(at);
    format!("{at}.{:016x}", compute_tag(key, account, at))
}

/// Returns whether a pass is genuine and the current time is within its window.
pub fn is_return_due(key: &PeerKey, account: &AccountName, pass: &str, wall: SystemTime) -> bool {
    let Some((at, received)) = pass.split_once('.') else { return false };
    let (Ok(at), Ok(received)) = (at.parse::<u64>(), u64::from_str_radix(received, 16)) else {
        return false;
    };
    let now = unix_millis(wall);
    let window = at.saturating_sub(MAX_EARLINESS.as_millis() as u64)
        ..at.saturating_add(MAX_LATENESS.as_millis() as u64);
    received == compute_tag(key, account, at) && window.contains(&now)
}

fn compute_tag(key: &PeerKey, account: &AccountName, at: u64) -> u64 {
    let text = format!("return/{account}/{at}");
    let digest = blake3::keyed_hash(key.bytes(), text.as_bytes());
    let mut half = [0; 8];
    half.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(half)
}

fn unix_millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
