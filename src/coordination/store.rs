//! The platform's key-value store, and the documents of the configuration in it.
//!
//! The platform runs the store; this project has none of its own. The response to a write can be
//! lost after the write took effect, so the error of a write says whether that is possible.

use crate::coordination::orders::FencingToken;
use crate::prelude::*;
use crate::state::fleet::{DocumentName, StoredDocument};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The number of bits that [`StoreVersion::sequence`] uses for the revision.
const REVISION_BITS: u32 = 40;

/// Counts how often the store has returned from an older copy of its content. Revisions that were
/// given out after that copy are given out again in the next era. See docs/DESIGN.md, "Store eras".
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The version of a stored value, which changes with every write. Versions are ordered by the era
/// first, since a later era gives out lower revisions again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreVersion {
    /// The era in which the value was read or written.
    pub era: StoreEra,
    /// The store's revision of the value within its era.
    pub revision: u64,
}

impl StoreVersion {
    /// The version that stands for an absent value.
    pub const ABSENT: Self = Self { era: StoreEra(0), revision: 0 };

    /// Returns the version of a store that never returns from an older copy.
    pub fn without_era(revision: u64) -> Self {
        Self { era: StoreEra(0), revision }
    }

    /// Returns a number that grows with the version, for fencing tokens and incarnations. It is
    /// below 2^53, which JSON readers keep exact, for up to 8191 eras.
    pub fn sequence(self) -> u64 {
        (self.era.0 << REVISION_BITS) | self.revision
    }
}

/// A stored value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// The stored bytes, which the store does not interpret.
    pub bytes: Vec<u8>,
    /// The index to pass to [`KeyStore::watch`] to wait for later changes.
    pub index: StoreVersion,
    /// A number that grows with every lease granted on the key.
    pub lock_index: u64,
    /// The version, which a conditional write of the key has to state.
    pub version: StoreVersion,
}

/// A lease that the store has granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Whether the previous holder released the lease, or there was none.
    pub released: bool,
    /// The lease's fencing token, higher than every earlier one of the same key.
    pub fence: FencingToken,
    /// The store's identifier of the lease, needed to release it.
    pub session: String,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    #[error("the platform store cannot be reached: {0}")]
    Unreachable(String),
    /// The call got no response, so a write may have taken effect.
    #[error("the platform store did not respond; a write may have taken effect: {0}")]
    Unknown(String),
    /// The stored content cannot be parsed, is incomplete, or would be too large.
    #[error("the platform store holds invalid content: {0}")]
    Invalid(String),
}

impl StoreError {
    /// Converts the error of a read: a read has no effect, even if its response was lost.
    pub fn into_read_error(self) -> Self {
        match self {
            Self::Unknown(reason) => Self::Unreachable(reason),
            other => other,
        }
    }
}

/// The calls to the platform's key-value store that this system needs.
pub trait KeyStore: Send + Sync {
    /// Reads a value, or `None` if the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;

    /// Writes a value if the stored version is still `expected`, where zero means absent. Returns
    /// whether the value was written.
    fn put<'a>(
        &'a self,
        key: &'a str,
        bytes: Vec<u8>,
        expected: StoreVersion,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;

    /// Removes a value unconditionally. Only values that nothing refers to any more may be removed.
    fn remove<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Acquires a lease of duration `time` on a key and writes `holder` as its value. Returns
    /// `None` if the lease cannot be granted now.
    fn acquire<'a>(
        &'a self,
        key: &'a str,
        holder: &'a str,
        time: Duration,
    ) -> BoxFuture<'a, Result<Option<LeaseGrant>, StoreError>>;

    /// Releases a lease and marks the key as released.
    fn release<'a>(
        &'a self,
        key: &'a str,
        session: &'a str,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits until the key changes after the index `seen`, at most for `wait`, and reads its value.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;
}

/// The key of the [`ConfigHead`].
pub const HEAD_KEY: &str = "apricotrun/head";

/// The largest value that the platform's store accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// The number of values that the snapshot is split into.
const SNAPSHOT_PARTS: u64 = 4;
/// The number of changed documents from which the snapshot is rewritten, and above which it is
/// read.
const SNAPSHOT_THRESHOLD: usize = 16;

/// Returns the key of a document's text as one edit wrote it. Such a key is written only once.
pub fn document_key(name: &DocumentName, location: &DocumentLocation) -> String {
    format!("apricotrun/doc/{name}@{}-{}", location.revision, location.edit)
}

/// Returns the key of the lease that is needed to send orders to a shard's engines.
pub fn lease_key(service: &ServiceName, domain: &DomainName) -> String {
    format!("apricotrun/lease/{service}/{domain}")
}

/// Returns the store key under which a caller's idempotency key is bound to a ticket.
pub fn binding_key(account: &AccountName, key: &str) -> String {
    let digest = Fingerprint::of(&[account.as_str().as_bytes(), key.as_bytes()]);
    format!("apricotrun/key/{digest}")
}

/// Which edit wrote a document's text; [`document_key`] derives the text's store key from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentLocation {
    /// The id of the edit; see [`DocumentEdit::id`].
    pub edit: String,
    /// The revision that the edit created.
    pub revision: Revision,
}

/// A document's text as one edit stored it, in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentValue {
    /// The author as given by the tool that made the edit; it is not verified.
    pub author: String,
    /// The number of earlier texts of the document.
    pub depth: u32,
    /// The location of the text that this one replaced.
    pub parent: Option<DocumentLocation>,
    /// The TOML text; empty for a removed document.
    pub text: String,
}

/// The root of the stored configuration, in JSON: its revision and the location of each document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The location of the current text of each document.
    pub documents: BTreeMap<DocumentName, DocumentLocation>,
    /// The revision of the last accepted edit.
    pub revision: Revision,
}

/// Reads the head and its version. An absent head is read as an empty one of version zero.
///
/// # Errors
///
/// Returns an error if the store does not respond or the head cannot be parsed.
pub async fn read_head(store: &dyn KeyStore) -> Result<(ConfigHead, StoreVersion), StoreError> {
    parse_head(store.get(HEAD_KEY).await?)
}

/// Parses the head from the value of [`HEAD_KEY`]. An absent value is an empty head of version
/// zero.
///
/// # Errors
///
/// Returns an error if the value cannot be parsed.
pub fn parse_head(value: Option<StoredValue>) -> Result<(ConfigHead, StoreVersion), StoreError> {
    let Some(value) = value else {
        return Ok((ConfigHead::default(), StoreVersion::ABSENT));
    };
    Ok((parse_json(HEAD_KEY, &value.bytes)?, value.version))
}

/// Reads the text of a document at a location.
///
/// # Errors
///
/// Returns an error if the store does not respond, or if the text is missing or cannot be parsed.
pub async fn read_document(
    store: &dyn KeyStore,
    name: &DocumentName,
    location: &DocumentLocation,
) -> Result<DocumentValue, StoreError> {
    let key = document_key(name, location);
    let value = store.get(&key).await?;
    let value = value.ok_or_else(|| StoreError::Invalid(format!("{key} is missing")))?;
    parse_json(&key, &value.bytes)
}

/// Reads the documents of a head that changed after revision `since`. If there are many, the
/// snapshot is used, so that a newly started daemon needs a few calls and not one per document.
///
/// # Errors
///
/// Returns an error if the store does not respond, or lacks a document that the head names.
pub async fn read_documents(
    store: &dyn KeyStore,
    head: &ConfigHead,
    since: Revision,
) -> Result<BTreeMap<DocumentName, StoredDocument>, StoreError> {
    let newer: Vec<_> =
        head.documents.iter().filter(|(_, location)| location.revision > since).collect();
    let snapshot = match newer.len() > SNAPSHOT_THRESHOLD {
        true => read_snapshot(store).await?,
        false => SnapshotPart::default(),
    };
    let mut documents = BTreeMap::new();
    for (name, location) in newer {
        let text = match snapshot.rows.get(name).filter(|row| row.location == *location) {
            Some(row) => row.text.clone(),
            None => read_document(store, name, location).await?.text,
        };
        documents.insert(name.clone(), StoredDocument { revision: location.revision, text });
    }
    Ok(documents)
}

/// A copy of a text and the location that it was copied from. A copy is used only if the head names
/// the same location, so an outdated snapshot is harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotRow {
    #[serde(rename = "place")]
    location: DocumentLocation,
    text: String,
}

/// One part of the snapshot, in JSON. It is split so that a part stays well below the store's limit
/// on the size of a value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotPart {
    rows: BTreeMap<DocumentName, SnapshotRow>,
}

fn snapshot_key(part: u64) -> String {
    format!("apricotrun/snapshot/{part}")
}

fn snapshot_part(name: &DocumentName) -> u64 {
    Fingerprint::of(&[name.to_string().as_bytes()]).low_bits() % SNAPSHOT_PARTS
}

async fn read_snapshot(store: &dyn KeyStore) -> Result<SnapshotPart, StoreError> {
    let mut merged = SnapshotPart::default();
    for part in 0..SNAPSHOT_PARTS {
        let key = snapshot_key(part);
        if let Some(value) = store.get(&key).await? {
            let part: SnapshotPart = parse_json(&key, &value.bytes)?;
            merged.rows.extend(part.rows);
        }
    }
    Ok(merged)
}

/// Rewrites the snapshot if many documents have changed since it was written. It is called after an
/// edit; if it fails, a later edit makes up for it.
///
/// # Errors
///
/// Returns an error if the store does not respond, holds invalid content, or cannot hold a part.
pub async fn refresh_snapshot(store: &dyn KeyStore) -> Result<(), StoreError> {
    let (head, _) = read_head(store).await?;
    let old = read_snapshot(store).await?;
    let is_stale = |(name, location): &(&DocumentName, &DocumentLocation)| {
        old.rows.get(*name).is_none_or(|row| row.location != **location)
    };
    if head.documents.iter().filter(is_stale).count() < SNAPSHOT_THRESHOLD {
        return Ok(());
    }
    let documents = read_documents(store, &head, Revision(0)).await?;
    let mut parts = vec![SnapshotPart::default(); SNAPSHOT_PARTS as usize];
    for (name, document) in documents {
        let location = head.documents[&name].clone();
        let row = SnapshotRow { location, text: document.text };
        parts[snapshot_part(&name) as usize].rows.insert(name, row);
    }
    for (part, content) in parts.iter().enumerate() {
        write_snapshot_part(store, part as u64, content).await?;
    }
    Ok(())
}

async fn write_snapshot_part(
    store: &dyn KeyStore,
    part: u64,
    content: &SnapshotPart,
) -> Result<(), StoreError> {
    let key = snapshot_key(part);
    let version = store.get(&key).await?.map(|value| value.version).unwrap_or_default();
    let bytes = serde_json::to_vec(content).map_err(|e| StoreError::Invalid(e.to_string()))?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(StoreError::Invalid(format!(
            "{key} would be too large: {} bytes",
            bytes.len()
        )));
    }
    store.put(&key, bytes, version).await.map(|_| ())
}

fn parse_json<T: for<'de> Deserialize<'de>>(key: &str, bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| StoreError::Invalid(format!("{key}: {error}")))
}

/// A change of one document by an author.
#[derive(Clone, Debug)]
pub struct DocumentEdit {
    /// The author as given by the tool that makes the edit.
    pub author: String,
    /// The revision of the document that the author read; zero for a new one.
    pub base: Revision,
    /// A random id, by which the head tells whether the edit took effect when a response is lost.
    pub id: String,
    /// The highest revision known to be in force at a daemon. The edit gets a higher one, also if
    /// the store was restored from an older state.
    pub min_revision: Revision,
    /// The document to change.
    pub name: DocumentName,
    /// The new TOML text; empty to remove the document.
    pub text: String,
}

/// The result of an edit of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditOutcome {
    /// The edit took effect with this revision.
    Accepted(Revision),
    /// The document has changed since the author read it; this is its current revision.
    Conflict(Revision),
}

/// Writes one document if it is still at the revision that its author read.
///
/// Edits of different documents do not conflict: when another edit changed the head first, the head
/// is read again and the write is retried. A lost response is handled the same way: if the edit
/// took effect, the head names it; if not, a delayed write still fails its version comparison once
/// the head has changed.
///
/// # Errors
///
/// Returns [`StoreError::Unknown`] if a write may have taken effect and the head cannot be read
/// back, and other errors if nothing was changed.
pub async fn put_document(
    store: &dyn KeyStore,
    edit: &DocumentEdit,
) -> Result<EditOutcome, StoreError> {
    let mut outcome_unknown = false;
    loop {
        let (mut head, version) = match read_head(store).await {
            Err(error) if outcome_unknown => return Err(StoreError::Unknown(error.to_string())),
            other => other?,
        };
        let parent = head.documents.get(&edit.name).cloned();
        if let Some(location) = parent.as_ref().filter(|location| location.edit == edit.id) {
            return Ok(EditOutcome::Accepted(location.revision));
        }
        let current = parent.as_ref().map(|location| location.revision).unwrap_or_default();
        if current != edit.base {
            return Ok(EditOutcome::Conflict(current));
        }
        let revision = Revision(head.revision.max(edit.min_revision).0 + 1);
        let location = DocumentLocation { edit: edit.id.clone(), revision };
        write_document(store, edit, &location, parent).await?;
        head.revision = revision;
        head.documents.insert(edit.name.clone(), location);
        let bytes = serde_json::to_vec(&head).map_err(|e| StoreError::Invalid(e.to_string()))?;
        match store.put(HEAD_KEY, bytes, version).await {
            Ok(true) => return Ok(EditOutcome::Accepted(revision)),
            Ok(false) => {}
            Err(StoreError::Unknown(_)) => outcome_unknown = true,
            Err(error) => return Err(error),
        }
    }
}

/// Writes the text under a key that only this edit uses. Since no other edit can have written it, a
/// lost response is resolved by reading the key back.
async fn write_document(
    store: &dyn KeyStore,
    edit: &DocumentEdit,
    location: &DocumentLocation,
    parent: Option<DocumentLocation>,
) -> Result<(), StoreError> {
    let key = document_key(&edit.name, location);
    let depth = match &parent {
        Some(location) => read_document(store, &edit.name, location).await?.depth + 1,
        None => 0,
    };
    let (author, text) = (edit.author.clone(), edit.text.clone());
    let value = DocumentValue { author, depth, parent, text };
    let bytes = serde_json::to_vec(&value).map_err(|e| StoreError::Invalid(e.to_string()))?;
    match store.put(&key, bytes, StoreVersion::ABSENT).await {
        Ok(_) => Ok(()),
        Err(StoreError::Unknown(reason)) => match store.get(&key).await? {
            Some(_) => Ok(()),
            None => Err(StoreError::Unreachable(reason)),
        },
        Err(error) => Err(error),
    }
}
