//! Sizes, versions and authentication of datagrams and frames. See docs/PROTOCOL.md.

use crate::coordination::messages::{GossipMessage, PeerMessage};
use crate::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The version of the protocol; daemons drop everything of another one.
pub const PROTOCOL_VERSION: u8 = 1;
/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2048;
/// The largest frame on a connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// The bytes of the challenge that opens a connection.
pub const CHALLENGE_BYTES: usize = 16;
const TAG_BYTES: usize = 16;

/// Why something from the network was dropped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CodecError {
    /// It is larger than the protocol allows.
    #[error("the message is larger than the protocol allows")]
    TooLarge,
    /// It is of another version.
    #[error("the message is of another protocol version")]
    Version,
    /// It does not carry the tag of this deployment's key.
    #[error("the message does not carry a valid tag")]
    Tag,
    /// It cannot be read.
    #[error("the message is malformed")]
    Malformed,
}

/// The key that all daemons of a deployment share.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Returns the bytes, for keyed digests.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl FromStr for PeerKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits {
            return Err("64 hexadecimal digits are allowed".to_owned());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|error| error.to_string())?;
        }
        Ok(Self(bytes))
    }
}

/// A message on a connection, with its sender and the daemon host that it is meant for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerFrame {
    /// The sender.
    pub from: DaemonId,
    /// The receiver's host.
    pub to: HostName,
    /// What is said.
    pub message: PeerMessage,
}

/// Writes a datagram.
///
/// # Errors
///
/// Returns an error when the message is too large.
pub fn encode_datagram(key: &PeerKey, message: &GossipMessage) -> Result<Vec<u8>, CodecError> {
    encode(key, b"datagram", message, MAX_DATAGRAM_BYTES)
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns why it must be dropped.
pub fn decode_datagram(key: &PeerKey, bytes: &[u8]) -> Result<GossipMessage, CodecError> {
    decode(key, b"datagram", bytes, MAX_DATAGRAM_BYTES)
}

/// Binds the frames of one connection to its challenge and to their order, so that a recorded
/// frame is worth nothing later.
#[derive(Clone, Debug)]
pub struct FrameContext {
    challenge: [u8; CHALLENGE_BYTES],
    sequence: u64,
}

impl FrameContext {
    /// Returns the context of a new connection.
    pub fn new(challenge: [u8; CHALLENGE_BYTES]) -> Self {
        Self { challenge, sequence: 0 }
    }

    /// Writes the connection's next frame.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is too large.
    pub fn encode(&mut self, key: &PeerKey, frame: &PeerFrame) -> Result<Vec<u8>, CodecError> {
        encode(key, &self.next(), frame, MAX_FRAME_BYTES)
    }

    /// Reads the connection's next frame.
    ///
    /// # Errors
    ///
    /// Returns why it must be dropped; the connection is then of no more use.
    pub fn decode(&mut self, key: &PeerKey, bytes: &[u8]) -> Result<PeerFrame, CodecError> {
        decode(key, &self.next(), bytes, MAX_FRAME_BYTES)
    }

    fn next(&mut self) -> Vec<u8> {
        self.sequence += 1;
        let mut context = self.challenge.to_vec();
        context.extend(self.sequence.to_le_bytes());
        context
    }
}

fn encode<T: Serialize>(
    key: &PeerKey,
    context: &[u8],
    message: &T,
    most: usize,
) -> Result<Vec<u8>, CodecError> {
    let body = postcard::to_stdvec(message).map_err(|_| CodecError::Malformed)?;
    if body.len() + TAG_BYTES + 1 > most {
        return Err(CodecError::TooLarge);
    }
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend(tag(key, context, &body));
    bytes.extend(body);
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(
    key: &PeerKey,
    context: &[u8],
    bytes: &[u8],
    most: usize,
) -> Result<T, CodecError> {
    if bytes.len() > most {
        return Err(CodecError::TooLarge);
    }
    if bytes.len() < TAG_BYTES + 1 {
        return Err(CodecError::Malformed);
    }
    if bytes[0] != PROTOCOL_VERSION {
        return Err(CodecError::Version);
    }
    let (found, body) = bytes[1..].split_at(TAG_BYTES);
    // The comparison takes the same time wherever the tags differ.
    let differs = tag(key, context, body).iter().zip(found).fold(0, |sum, (a, b)| sum | (a ^ b));
    if differs != 0 {
        return Err(CodecError::Tag);
    }
    postcard::from_bytes(body).map_err(|_| CodecError::Malformed)
}

fn tag(key: &PeerKey, context: &[u8], body: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    hasher.update(&[PROTOCOL_VERSION]);
    hasher.update(&(context.len() as u64).to_le_bytes());
    hasher.update(context);
    hasher.update(body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}
