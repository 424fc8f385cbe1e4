//! The configuration replica, driven by events, and edits against a store that loses responses and
//! delays writes.

use apricotrun::coordination::config::{ConfigAction, ConfigEvent, ConfigReplica};
use apricotrun::coordination::messages::ConfigMessage;
use apricotrun::coordination::store::{
    DocumentEdit, EditOutcome, HEAD_KEY, KeyStore, LeaseGrant, StoreError, StoreVersion,
    StoredValue, put_document, read_documents, read_head, refresh_snapshot,
};
use apricotrun::prelude::*;
use apricotrun::state::fleet::{DocumentName, StoredDocument, key_digest};
use futures::FutureExt;
use futures::executor::block_on;
use futures::future::BoxFuture;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

fn account(name: &str, share: f64) -> (DocumentName, String) {
    let text = format!(
        "account = {name:?}\nkey_digest = {:?}\n[services.llm]\nshare = {share:?}\n",
        key_digest(name)
    );
    (format!("account/{name}").parse().expect("valid name"), text)
}

fn documents(revision: u64, share: f64) -> BTreeMap<DocumentName, StoredDocument> {
    let (name, text) = account("desk", share);
    BTreeMap::from([(name, StoredDocument { revision: Revision(revision), text })])
}

fn from_store(since: u64, revision: u64, share: f64) -> ConfigEvent {
    let documents = documents(revision, share);
    ConfigEvent::Store { documents, revision: Revision(revision), since: Revision(since) }
}

fn delta(since: u64, revision: u64, share: f64) -> ConfigEvent {
    let message = ConfigMessage::Delta {
        documents: documents(revision, share),
        revision: Revision(revision),
        since: Revision(since),
    };
    ConfigEvent::Peer(peer(), message)
}

fn peer() -> DaemonId {
    "b.1".parse().expect("valid id")
}

fn share_in_force(replica: &ConfigReplica) -> f64 {
    let account = replica.current().accounts.values().next().expect("an account");
    account.services.values().next().expect("a quota").share
}

#[test]
fn only_a_higher_revision_is_applied_from_store_and_peer() {
    let now = Instant::now();
    let mut replica = ConfigReplica::default();
    assert!(!replica.handle(now, from_store(0, 5, 0.5)).is_empty());
    for event in [from_store(0, 4, 0.1), from_store(0, 5, 0.1), delta(0, 4, 0.1), delta(0, 5, 0.1)]
    {
        assert!(replica.handle(now, event).is_empty());
        assert_eq!((replica.current().revision, share_in_force(&replica)), (Revision(5), 0.5));
    }
    replica.handle(now, delta(5, 6, 0.6));
    assert_eq!((replica.current().revision, share_in_force(&replica)), (Revision(6), 0.6));
}

#[test]
fn delta_to_a_revision_not_reached_yet_is_ignored() {
    let mut replica = ConfigReplica::default();
    assert!(replica.handle(Instant::now(), delta(3, 6, 0.6)).is_empty());
    assert_eq!(replica.current().revision, Revision(0));
}

#[test]
fn invalid_configuration_leaves_the_last_valid_one() {
    let now = Instant::now();
    let mut replica = ConfigReplica::default();
    replica.handle(now, from_store(0, 5, 0.5));
    let actions = replica.handle(now, from_store(5, 6, 7.0));
    assert!(matches!(actions.as_slice(), [ConfigAction::Reject(Revision(6), _)]));
    assert_eq!(share_in_force(&replica), 0.5);
    let actions = replica.handle(now, ConfigEvent::PeerRevision(peer(), Revision(6)));
    assert!(actions.is_empty(), "an invalid revision is not fetched again");
    replica.handle(now, delta(5, 7, 0.7));
    assert_eq!(share_in_force(&replica), 0.7);
}

#[test]
fn newer_peer_is_asked_once_and_again_after_the_timeout() {
    let now = Instant::now();
    let mut replica = ConfigReplica::default();
    let has = |revision| ConfigEvent::PeerRevision(peer(), Revision(revision));
    let want = [ConfigAction::Send(peer(), ConfigMessage::Want(Revision(0)))];
    assert_eq!(replica.handle(now, has(5)), want);
    assert!(replica.handle(now, has(5)).is_empty());
    assert_eq!(replica.handle(now + Duration::from_secs(2), has(5)), want);
}

#[test]
fn peer_gets_exactly_the_changes_it_lacks() {
    let now = Instant::now();
    let mut replica = ConfigReplica::default();
    replica.handle(now, from_store(0, 5, 0.5));
    let want = |since| ConfigEvent::Peer(peer(), ConfigMessage::Want(Revision(since)));
    let actions = replica.handle(now, want(4));
    let [ConfigAction::Send(_, ConfigMessage::Delta { documents, .. })] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(documents.len(), 1);
    assert!(replica.handle(now, want(5)).is_empty());
}

/// An in-memory store. Each write of the head is subject to the next fault, if any is left.
#[derive(Default)]
struct FakeStore {
    /// The faults to come, the next one last.
    faults: Mutex<Vec<WriteFault>>,
    /// A delayed write of the head with the version that it expects.
    delayed: Mutex<Option<(Vec<u8>, StoreVersion)>>,
    reads: AtomicU64,
    /// The values with their versions.
    values: Mutex<BTreeMap<String, (u64, Vec<u8>)>>,
}

#[derive(Clone, Copy)]
enum WriteFault {
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write gets no response and is carried out right before the next write of the head.
    Delayed,
    /// The store cannot be reached; the write has no effect.
    Down,
}

impl FakeStore {
    fn with_faults(faults: &[WriteFault]) -> Self {
        Self { faults: Mutex::new(faults.iter().rev().copied().collect()), ..Self::default() }
    }

    fn write(&self, key: &str, bytes: Vec<u8>, expected: StoreVersion) -> bool {
        let mut values = self.values.lock().expect("lock not poisoned");
        if values.get(key).map_or(0, |(version, _)| *version) != expected.revision {
            return false;
        }
        let version = values.values().map(|(version, _)| *version).max().unwrap_or(0) + 1;
        values.insert(key.to_owned(), (version, bytes));
        true
    }

    fn put_head(&self, bytes: Vec<u8>, expected: StoreVersion) -> Result<bool, StoreError> {
        if let Some((bytes, expected)) = self.delayed.lock().expect("lock not poisoned").take() {
            self.write(HEAD_KEY, bytes, expected);
        }
        match self.faults.lock().expect("lock not poisoned").pop() {
            None => Ok(self.write(HEAD_KEY, bytes, expected)),
            Some(WriteFault::ResponseLost) => {
                self.write(HEAD_KEY, bytes, expected);
                Err(StoreError::Unknown("lost".to_owned()))
            }
            Some(WriteFault::Delayed) => {
                *self.delayed.lock().expect("lock not poisoned") = Some((bytes, expected));
                Err(StoreError::Unknown("late".to_owned()))
            }
            Some(WriteFault::Down) => Err(StoreError::Unreachable("down".to_owned())),
        }
    }
}

impl KeyStore for FakeStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let found = self.values.lock().expect("lock not poisoned").get(key).cloned();
        let value = found.map(|(version, bytes)| {
            let version = StoreVersion::without_era(version);
            StoredValue { bytes, index: version, lock_index: 0, version }
        });
        async move { Ok(value) }.boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        bytes: Vec<u8>,
        expected: StoreVersion,
    ) -> BoxFuture<'a, Result<bool, StoreError>> {
        let result = match key {
            HEAD_KEY => self.put_head(bytes, expected),
            _ => Ok(self.write(key, bytes, expected)),
        };
        async move { result }.boxed()
    }

    fn remove<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreError>> {
        self.values.lock().expect("lock not poisoned").remove(key);
        async move { Ok(()) }.boxed()
    }

    fn acquire<'a>(
        &'a self,
        _key: &'a str,
        _holder: &'a str,
        _time: Duration,
    ) -> BoxFuture<'a, Result<Option<LeaseGrant>, StoreError>> {
        async move { Ok(None) }.boxed()
    }

    fn release<'a>(
        &'a self,
        _key: &'a str,
        _session: &'a str,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        async move { Ok(()) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        _seen: StoreVersion,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        self.get(key)
    }
}

fn edit(id: &str, base: u64, share: f64) -> DocumentEdit {
    let (name, text) = account("desk", share);
    DocumentEdit {
        author: "test".to_owned(),
        base: Revision(base),
        min_revision: Revision(0),
        id: id.to_owned(),
        name,
        text,
    }
}

fn put(store: &FakeStore, edit: &DocumentEdit) -> Result<EditOutcome, StoreError> {
    block_on(put_document(store, edit))
}

fn current_text(store: &FakeStore) -> String {
    let (head, _) = block_on(read_head(store)).expect("readable head");
    let documents =
        block_on(read_documents(store, &head, Revision(0))).expect("readable documents");
    documents.into_values().next().expect("a document").text
}

#[test]
fn edit_with_a_lost_response_takes_effect_once() {
    let store = FakeStore::with_faults(&[WriteFault::ResponseLost]);
    assert_eq!(put(&store, &edit("e1", 0, 0.1)), Ok(EditOutcome::Accepted(Revision(1))));
    assert_eq!(current_text(&store), edit("e1", 0, 0.1).text);
}

#[test]
fn delayed_edit_takes_effect_once() {
    let store = FakeStore::with_faults(&[WriteFault::Delayed]);
    assert_eq!(put(&store, &edit("e1", 0, 0.1)), Ok(EditOutcome::Accepted(Revision(1))));
    let (head, _) = block_on(read_head(&store)).expect("readable head");
    assert_eq!(head.revision, Revision(1));
}

#[test]
fn failed_edit_changes_nothing() {
    let store = FakeStore::with_faults(&[WriteFault::Down]);
    assert!(matches!(put(&store, &edit("e1", 0, 0.1)), Err(StoreError::Unreachable(_))));
    let (head, _) = block_on(read_head(&store)).expect("readable head");
    assert_eq!(head.revision, Revision(0));
}

#[test]
fn second_edit_of_the_same_revision_conflicts_and_the_first_one_stays() {
    let store = FakeStore::default();
    assert_eq!(put(&store, &edit("e1", 0, 0.1)), Ok(EditOutcome::Accepted(Revision(1))));
    assert_eq!(put(&store, &edit("e2", 0, 0.2)), Ok(EditOutcome::Conflict(Revision(1))));
    assert_eq!(current_text(&store), edit("e1", 0, 0.1).text);
}

#[test]
fn edits_of_two_authors_that_compute_the_same_revision_keep_their_own_texts() {
    // The first author's edit writes its text but not the head. The second author's edit then
    // computes the same revision.
    let store = FakeStore::with_faults(&[WriteFault::Down]);
    assert!(put(&store, &edit("e1", 0, 0.1)).is_err());
    assert_eq!(put(&store, &edit("e2", 0, 0.2)), Ok(EditOutcome::Accepted(Revision(1))));
    assert_eq!(current_text(&store), edit("e2", 0, 0.2).text);
}

#[test]
fn snapshot_saves_reads_and_outdated_copies_are_ignored() {
    let store = FakeStore::default();
    let named = |index: usize, share: f64, base: u64| {
        let (name, text) = account(&format!("account-{index}"), share);
        let id = format!("{index}-{share}");
        DocumentEdit { name, text, ..edit(&id, base, share) }
    };
    for index in 0..100 {
        put(&store, &named(index, 0.1, 0)).expect("accepted edit");
    }
    block_on(refresh_snapshot(&store)).expect("written snapshot");
    // This change is not in the snapshot.
    assert_eq!(put(&store, &named(7, 0.9, 8)), Ok(EditOutcome::Accepted(Revision(101))));
    let (head, _) = block_on(read_head(&store)).expect("readable head");
    store.reads.store(0, Ordering::Relaxed);
    let documents =
        block_on(read_documents(&store, &head, Revision(0))).expect("readable documents");
    assert!(
        store.reads.load(Ordering::Relaxed) <= 5,
        "the four parts of the snapshot and one changed document"
    );
    assert_eq!(documents.len(), 100);
    for (name, document) in &documents {
        let share = if name.to_string() == "account/account-7" { "0.9" } else { "0.1" };
        assert!(document.text.contains(&format!("share = {share}")), "{name}");
    }
}

#[test]
fn edit_gets_a_higher_revision_than_any_daemon_has() {
    let store = FakeStore::default();
    let edit = DocumentEdit { min_revision: Revision(41), ..edit("e1", 0, 0.1) };
    assert_eq!(put(&store, &edit), Ok(EditOutcome::Accepted(Revision(42))));
}
