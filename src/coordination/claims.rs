//! The claims of an entry daemon's attempts, from which a new shard owner rebuilds its ledger.

use crate::coordination::messages::{ClaimPhase, ShardMessage, SlotClaim};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Returns the number of claims and an order-independent digest of their attempt ids, by which two
/// daemons compare their claims without exchanging them.
pub fn digest_claims<'a>(claims: impl Iterator<Item = &'a SlotClaim>) -> (u32, u64) {
    claims.fold((0, 0), |(count, digest), claim| {
        let text = claim.attempt.to_string();
        (count + 1, digest ^ Fingerprint::of(&[text.as_bytes()]).low_bits())
    })
}

/// The claims of one entry daemon in one shard.
#[derive(Debug, Default)]
pub struct ClaimSet {
    claims: BTreeMap<AttemptId, SlotClaim>,
}

impl ClaimSet {
    /// Inserts a claim and returns the message about it for the shard's owner and backups.
    pub fn insert(&mut self, claim: SlotClaim) -> ShardMessage {
        self.claims.insert(claim.attempt.clone(), claim.clone());
        ShardMessage::Claim(claim)
    }

    /// Sets the phase of an attempt's claim and returns the message about it, or `None` if the
    /// attempt has no claim.
    pub fn advance(&mut self, attempt: &AttemptId, phase: ClaimPhase) -> Option<ShardMessage> {
        let claim = self.claims.get_mut(attempt)?;
        claim.phase = phase;
        Some(ShardMessage::Claim(claim.clone()))
    }

    /// Removes the claim of an attempt and returns whether there was one.
    pub fn remove(&mut self, attempt: &AttemptId) -> bool {
        self.claims.remove(attempt).is_some()
    }

    /// Returns the digest message that is sent periodically.
    pub fn summary(&self) -> ShardMessage {
        let (count, digest) = digest_claims(self.claims.values());
        ShardMessage::Summary { count, digest }
    }

    /// Returns the message with all claims, the reply to [`ShardMessage::Pull`].
    pub fn list(&self) -> ShardMessage {
        ShardMessage::ClaimList(self.claims.values().cloned().collect())
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
