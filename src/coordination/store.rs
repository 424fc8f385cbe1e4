//! The platform's key-value service, as this system uses it.
//!
//! The service is run by the platform; this project keeps no store of its own. Its answers may be
//! lost after a write took effect, so a write's error says whether that is possible.

use crate::coordination::orders::FencingToken;
use crate::prelude::*;
use crate::state::fleet::{DocumentName, StoredDocument};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The version of a stored value; it changes with every write.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreVersion(pub u64);

/// A stored value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// The content.
    pub bytes: Vec<u8>,
    /// Where a later watch goes on.
    pub index: StoreVersion,
    /// How often the key has been leased.
    pub lock_index: u64,
    /// The version, for comparison on the next write.
    pub version: StoreVersion,
}

/// A lease as the store granted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Whether the holder before gave it back, or there was none.
    pub clean: bool,
    /// Its number, higher than every earlier one of the same key.
    pub fence: FencingToken,
    /// The store's name for the lease.
    pub session: String,
}

/// Why a call to the store gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    #[error("the platform store cannot be reached: {0}")]
    Unreachable(String),
    /// A write may have taken effect.
    #[error("the platform store gave no answer, a write may have taken effect: {0}")]
    Unknown(String),
    /// The stored content is not what this system writes.
    #[error("the platform store holds invalid content: {0}")]
    Invalid(String),
}

impl StoreError {
    /// Returns the error of a read, which changes nothing whatever became of its answer.
    pub fn into_read_error(self) -> Self {
        match self {
            Self::Unknown(reason) => Self::Unreachable(reason),
            other => other,
        }
    }
}

/// The calls that this system makes.
pub trait KeyStore: Send + Sync {
    /// Reads a value.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;

    /// Writes a value if the stored version is still `expected`; zero means absent. Returns
    /// whether it was written.
    fn put<'a>(
        &'a self,
        key: &'a str,
        bytes: Vec<u8>,
        expected: StoreVersion,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;

    /// Removes a value; used only for what nothing refers to any more.
    fn remove<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Takes a lease on a key for a time and writes a value that says who holds it; nothing when
    /// somebody else holds it.
    fn acquire<'a>(
        &'a self,
        key: &'a str,
        holder: &'a str,
        time: Duration,
    ) -> BoxFuture<'a, Result<Option<LeaseGrant>, StoreError>>;

    /// Gives a lease back, which marks the key as given back.
    fn release<'a>(
        &'a self,
        key: &'a str,
        session: &'a str,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits until something came after the index `seen` or `wait` has passed, and reads it.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;
}

/// The key of the document that names the current revision.
pub const HEAD_KEY: &str = "apricotrun/head";

/// The largest value that the platform's store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Into how many parts the snapshot is split.
const SNAPSHOT_PARTS: u64 = 4;
/// How many changed documents are worth reading, or writing, the snapshot.
const SNAPSHOT_FROM: usize = 16;

/// Returns the key of one document as one edit wrote it; such a key is written once.
pub fn document_key(name: &DocumentName, place: &DocumentLocation) -> String {
    format!("apricotrun/doc/{name}@{}-{}", place.revision, place.edit)
}

/// Returns the key of the lease under which a shard's engines are given orders.
pub fn lease_key(service: &ServiceName, domain: &DomainName) -> String {
    format!("apricotrun/lease/{service}/{domain}")
}

/// Returns the key that binds a caller's idempotency key to a ticket.
pub fn binding_key(account: &AccountName, key: &str) -> String {
    let digest = Fingerprint::of(&[account.as_str().as_bytes(), key.as_bytes()]);
    format!("apricotrun/key/{digest}")
}

/// Where a document's current text stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentLocation {
    /// The edit that wrote it.
    pub edit: String,
    /// The revision that it brought.
    pub revision: Revision,
}

/// A document as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentValue {
    /// Who wrote it, as the author's tool says.
    pub author: String,
    /// How many texts came before it.
    pub depth: u32,
    /// The place of the text that it replaced.
    pub parent: Option<DocumentLocation>,
    /// The TOML text; empty for a removed document.
    pub text: String,
}

/// Names the current revision and where each document stands.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The place of each document.
    pub documents: BTreeMap<DocumentName, DocumentLocation>,
    /// The current revision.
    pub revision: Revision,
}

/// Reads the head; an absent one is the empty head.
///
/// # Errors
///
/// Returns an error when the store gives no answer or its content is invalid.
pub async fn read_head(store: &dyn KeyStore) -> Result<(ConfigHead, StoreVersion), StoreError> {
    parse_head(store.get(HEAD_KEY).await?)
}

/// Reads a head out of a stored value; an absent one is the empty head.
///
/// # Errors
///
/// Returns an error when the content is not a head.
pub fn parse_head(value: Option<StoredValue>) -> Result<(ConfigHead, StoreVersion), StoreError> {
    let Some(value) = value else {
        return Ok((ConfigHead::default(), StoreVersion(0)));
    };
    Ok((parse_json(HEAD_KEY, &value.bytes)?, value.version))
}

/// Reads one document at a place.
///
/// # Errors
///
/// Returns an error when the store gives no answer, or lacks the document or holds nonsense.
pub async fn read_document(
    store: &dyn KeyStore,
    name: &DocumentName,
    place: &DocumentLocation,
) -> Result<DocumentValue, StoreError> {
    let key = document_key(name, place);
    let value = store.get(&key).await?;
    let value = value.ok_or_else(|| StoreError::Invalid(format!("{key} is missing")))?;
    parse_json(&key, &value.bytes)
}

/// Reads the documents of a head that came after `since`. Many are read by way of the snapshot,
/// so that a fresh daemon costs a few calls and not one a document.
///
/// # Errors
///
/// Returns an error when the store gives no answer or lacks a document that the head names.
pub async fn read_documents(
    store: &dyn KeyStore,
    head: &ConfigHead,
    since: Revision,
) -> Result<BTreeMap<DocumentName, StoredDocument>, StoreError> {
    let newer: Vec<_> = head.documents.iter().filter(|(_, place)| place.revision > since).collect();
    let snapshot = match newer.len() > SNAPSHOT_FROM {
        true => read_snapshot(store).await?,
        false => SnapshotPart::default(),
    };
    let mut documents = BTreeMap::new();
    for (name, place) in newer {
        let text = match snapshot.rows.get(name).filter(|row| row.place == *place) {
            Some(row) => row.text.clone(),
            None => read_document(store, name, place).await?.text,
        };
        documents.insert(name.clone(), StoredDocument { revision: place.revision, text });
    }
    Ok(documents)
}

/// A text with the place that it was copied from. A copy counts only for a head that names the
/// same place, so a snapshot can be old but never wrong.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotRow {
    place: DocumentLocation,
    text: String,
}

/// One part of the snapshot; a part stays well below the store's largest value.
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
    let mut all = SnapshotPart::default();
    for part in 0..SNAPSHOT_PARTS {
        let key = snapshot_key(part);
        if let Some(value) = store.get(&key).await? {
            let part: SnapshotPart = parse_json(&key, &value.bytes)?;
            all.rows.extend(part.rows);
        }
    }
    Ok(all)
}

/// Brings the snapshot up to date when many documents have changed since it was written. Authors
/// call this after an edit; what fails is made good by a later edit.
///
/// # Errors
///
/// Returns an error when the store gives no answer.
pub async fn refresh_snapshot(store: &dyn KeyStore) -> Result<(), StoreError> {
    let (head, _) = read_head(store).await?;
    let old = read_snapshot(store).await?;
    let is_stale = |(name, place): &(&DocumentName, &DocumentLocation)| {
        old.rows.get(*name).is_none_or(|row| row.place != **place)
    };
    if head.documents.iter().filter(is_stale).count() < SNAPSHOT_FROM {
        return Ok(());
    }
    let documents = read_documents(store, &head, Revision(0)).await?;
    let mut parts = vec![SnapshotPart::default(); SNAPSHOT_PARTS as usize];
    for (name, document) in documents {
        let place = head.documents[&name].clone();
        let row = SnapshotRow { place, text: document.text };
        parts[snapshot_part(&name) as usize].rows.insert(name, row);
    }
    for (part, content) in parts.iter().enumerate() {
        write_part(store, part as u64, content).await?;
    }
    Ok(())
}

async fn write_part(
    store: &dyn KeyStore,
    part: u64,
    content: &SnapshotPart,
) -> Result<(), StoreError> {
    let key = snapshot_key(part);
    let version = store.get(&key).await?.map(|value| value.version).unwrap_or_default();
    let bytes = serde_json::to_vec(content).map_err(|e| StoreError::Invalid(e.to_string()))?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(StoreError::Invalid(format!("{key} would have {} bytes", bytes.len())));
    }
    store.put(&key, bytes, version).await.map(|_| ())
}

fn parse_json<T: for<'de> Deserialize<'de>>(key: &str, bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| StoreError::Invalid(format!("{key}: {error}")))
}

/// A change of one document.
#[derive(Clone, Debug)]
pub struct DocumentEdit {
    /// Who makes it.
    pub author: String,
    /// The revision of the document that the author read; zero for a new one.
    pub base: Revision,
    /// A random id, which settles whether the edit took effect when an answer is lost.
    pub id: String,
    /// A revision that some daemon already has; the edit's revision is higher.
    pub floor: Revision,
    /// Which document.
    pub name: DocumentName,
    /// The new text; empty to remove the document.
    pub text: String,
}

/// How an edit of the configuration ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditOutcome {
    /// The edit took effect at this revision.
    Accepted(Revision),
    /// The document had changed since the author read it; this is its revision now.
    Conflict(Revision),
}

/// Puts one document in place, if it is still at the revision that its author read.
///
/// Edits of different documents do not disturb each other: the head is read again and the write
/// repeated. A lost answer is settled the same way: the head names the edit once it took effect,
/// and a write that lands late fails its comparison.
///
/// # Errors
///
/// Returns [`StoreError::Unknown`] when a write may have taken effect and the head cannot be read
/// back, and other errors when nothing was changed.
pub async fn put_document(
    store: &dyn KeyStore,
    edit: &DocumentEdit,
) -> Result<EditOutcome, StoreError> {
    let mut unsettled = false;
    loop {
        let (mut head, version) = match read_head(store).await {
            Err(error) if unsettled => return Err(StoreError::Unknown(error.to_string())),
            other => other?,
        };
        let parent = head.documents.get(&edit.name).cloned();
        if let Some(place) = parent.as_ref().filter(|place| place.edit == edit.id) {
            return Ok(EditOutcome::Accepted(place.revision));
        }
        let current = parent.as_ref().map(|place| place.revision).unwrap_or_default();
        if current != edit.base {
            return Ok(EditOutcome::Conflict(current));
        }
        let revision = Revision(head.revision.max(edit.floor).0 + 1);
        let place = DocumentLocation { edit: edit.id.clone(), revision };
        write_document(store, edit, &place, parent).await?;
        head.revision = revision;
        head.documents.insert(edit.name.clone(), place);
        let bytes = serde_json::to_vec(&head).map_err(|e| StoreError::Invalid(e.to_string()))?;
        match store.put(HEAD_KEY, bytes, version).await {
            Ok(true) => return Ok(EditOutcome::Accepted(revision)),
            Ok(false) => {}
            Err(StoreError::Unknown(_)) => unsettled = true,
            Err(error) => return Err(error),
        }
    }
}

/// Writes the text under a key of the edit's own, so that no other author can have written it and
/// an answer that was lost does not matter.
async fn write_document(
    store: &dyn KeyStore,
    edit: &DocumentEdit,
    place: &DocumentLocation,
    parent: Option<DocumentLocation>,
) -> Result<(), StoreError> {
    let key = document_key(&edit.name, place);
    let depth = match &parent {
        Some(place) => read_document(store, &edit.name, place).await?.depth + 1,
        None => 0,
    };
    let (author, text) = (edit.author.clone(), edit.text.clone());
    let value = DocumentValue { author, depth, parent, text };
    let bytes = serde_json::to_vec(&value).map_err(|e| StoreError::Invalid(e.to_string()))?;
    match store.put(&key, bytes, StoreVersion(0)).await {
        Ok(_) => Ok(()),
        Err(StoreError::Unknown(reason)) => match store.get(&key).await? {
            Some(_) => Ok(()),
            None => Err(StoreError::Unreachable(reason)),
        },
        Err(error) => Err(error),
    }
}
