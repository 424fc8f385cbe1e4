//! An entry's record of what its attempts hold, which rebuilds a shard owner's ledger.

use crate::coordination::messages::{ClaimPhase, ShardMessage, SlotClaim};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Digests a set of claims so that two holders can compare theirs in a few bytes.
pub fn digest_claims<'a>(claims: impl Iterator<Item = &'a SlotClaim>) -> (u32, u64) {
    claims.fold((0, 0), |(count, digest), claim| {
        let text = claim.attempt.to_string();
        (count + 1, digest ^ Fingerprint::of(&[text.as_bytes()]).low_bits())
    })
}

/// The claims of one entry in one shard.
#[derive(Debug, Default)]
pub struct ClaimSet {
    claims: BTreeMap<AttemptId, SlotClaim>,
}

impl ClaimSet {
    /// Records a claim and returns the message that tells owner and backup.
    pub fn insert(&mut self, claim: SlotClaim) -> ShardMessage {
        self.claims.insert(claim.attempt.clone(), claim.clone());
        ShardMessage::Claim(claim)
    }

    /// Notes that an attempt has come further and returns the message that says so.
    pub fn advance(&mut self, attempt: &AttemptId, phase: ClaimPhase) -> Option<ShardMessage> {
        let claim = self.claims.get_mut(attempt)?;
        claim.phase = phase;
        Some(ShardMessage::Claim(claim.clone()))
    }

    /// Forgets a claim.
    pub fn remove(&mut self, attempt: &AttemptId) -> bool {
        self.claims.remove(attempt).is_some()
    }

    /// Returns the message that is sent now and then.
    pub fn summary(&self) -> ShardMessage {
        let (count, digest) = digest_claims(self.claims.values());
        ShardMessage::Summary { count, digest }
    }

    /// Returns all claims, for an owner that pulls them.
    pub fn list(&self) -> ShardMessage {
        ShardMessage::ClaimList(self.claims.values().cloned().collect())
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
