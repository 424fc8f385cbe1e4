//! Tests that datagrams, frames and return passes that this deployment did not make are dropped.

use apricotrun::coordination::messages::{ConfigMessage, CrashDigest, GossipMessage, PeerMessage};
use apricotrun::coordination::store::{StoreEra, StoreVersion};
use apricotrun::prelude::*;
use apricotrun::protocol::codec::{
    CodecError, FrameContext, MAX_DATAGRAM_BYTES, PeerFrame, PeerKey, decode_datagram,
    encode_datagram,
};
use apricotrun::protocol::keyring::{PeerKeyring, SharedKey};
use apricotrun::protocol::return_pass::{is_return_due, issue_return_pass};
use proptest::prelude::*;
use std::time::SystemTime;

fn key(digit: &str) -> PeerKey {
    digit.repeat(64).parse().expect("valid key")
}

fn ping() -> GossipMessage {
    GossipMessage::Ping {
        news: Vec::new(),
        nonce: 5,
        crashes: CrashDigest(7),
        era: StoreEra(1),
        revision: Revision(3),
        updates: Vec::new(),
    }
}

fn frame() -> PeerFrame {
    PeerFrame {
        from: "a.1".parse().expect("valid id"),
        message: PeerMessage::Config(ConfigMessage::Have(Revision(4))),
        to: "b".parse().expect("valid name"),
    }
}

#[test]
fn datagram_round_trips() {
    let bytes = encode_datagram(&key("a"), &ping()).expect("encoded message");
    assert_eq!(decode_datagram([&key("a")], &bytes), Ok(ping()));
}

#[test]
fn datagram_of_another_deployment_is_dropped() {
    let bytes = encode_datagram(&key("b"), &ping()).expect("encoded message");
    assert_eq!(decode_datagram([&key("a")], &bytes), Err(CodecError::Tag));
}

#[test]
fn datagram_of_another_version_is_dropped() {
    let mut bytes = encode_datagram(&key("a"), &ping()).expect("encoded message");
    bytes[0] += 1;
    assert_eq!(decode_datagram([&key("a")], &bytes), Err(CodecError::Version));
}

#[test]
fn oversized_datagram_is_dropped() {
    let bytes = vec![1; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(decode_datagram([&key("a")], &bytes), Err(CodecError::TooLarge));
}

#[test]
fn replayed_frame_is_rejected() {
    let (mut sender, mut receiver) = (FrameContext::new([1; 16]), FrameContext::new([1; 16]));
    let bytes = sender.encode(&key("a"), &frame()).expect("encoded message");
    assert_eq!(receiver.decode([&key("a")], &bytes), Ok(frame()));
    assert_eq!(
        receiver.decode([&key("a")], &bytes),
        Err(CodecError::Tag),
        "a replay on the same connection"
    );
    let mut other = FrameContext::new([2; 16]);
    assert_eq!(
        other.decode([&key("a")], &bytes),
        Err(CodecError::Tag),
        "a replay on another connection"
    );
}

#[test]
fn return_pass_is_valid_only_for_its_account_and_time() {
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let (desk, field) = ("desk".parse().expect("valid name"), "field".parse().expect("valid name"));
    let pass = issue_return_pass(&key("a"), &desk, at);
    assert!(is_return_due(&key("a"), &desk, &pass, at));
    assert!(!is_return_due(&key("a"), &field, &pass, at));
    assert!(!is_return_due(&key("b"), &desk, &pass, at));
    assert!(!is_return_due(&key("a"), &desk, &pass, at - Duration::from_secs(1)), "too early");
    assert!(!is_return_due(&key("a"), &desk, &pass, at + Duration::from_secs(60)), "too late");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_datagram([&key("a")], &bytes).is_err());
        prop_assert!(FrameContext::new([1; 16]).decode([&key("a")], &bytes).is_err());
    }

    #[test]
    fn corrupted_datagram_is_dropped(position in 0usize..40, bit in 0u8..8) {
        let mut bytes = encode_datagram(&key("a"), &ping()).expect("encoded message");
        let position = position % bytes.len();
        bytes[position] ^= 1 << bit;
        prop_assert!(decode_datagram([&key("a")], &bytes).is_err());
    }
}

#[test]
fn both_keys_are_accepted_after_a_change_of_the_key() {
    let mut keyring = PeerKeyring::new(key("a"));
    assert!(keyring.adopt(key("b")));
    assert!(!keyring.adopt(key("b")));
    for text in ["a", "b"] {
        let bytes = encode_datagram(&key(text), &ping()).expect("encoded");
        assert_eq!(decode_datagram(keyring.accepted(), &bytes), Ok(ping()), "{text}");
    }
    let bytes = encode_datagram(&key("c"), &ping()).expect("encoded");
    assert_eq!(decode_datagram(keyring.accepted(), &bytes), Err(CodecError::Tag));
}

#[test]
fn shared_key_of_an_earlier_era_prevails() {
    let stored = |era: u64, text: &str| SharedKey { era: StoreEra(era), key: key(text) };
    assert!(stored(1, "a").prevails_over(&stored(2, "b")));
    assert!(!stored(2, "b").prevails_over(&stored(1, "a")));
    assert!(!stored(1, "a").prevails_over(&stored(1, "b")), "the stored one is used");
    let written = stored(3, "a").to_string();
    assert_eq!(written.parse(), Ok(stored(3, "a")));
    let without_era = written.trim_start_matches("3:");
    assert_eq!(without_era.parse(), Ok(stored(0, "a")));
}

#[test]
fn version_of_a_later_era_is_higher_whatever_its_revision() {
    let version = |era: u64, revision: u64| StoreVersion { era: StoreEra(era), revision };
    let ascending = [version(0, 7), version(1, 3), version(1, 900_000), version(2, 1)];
    assert!(ascending.is_sorted());
    assert!(ascending.map(StoreVersion::sequence).is_sorted());
    assert_eq!(version(0, 7).sequence(), 7);
}
