//! Encoding and authentication of datagrams and frames between daemons. See docs/PROTOCOL.md.

use crate::coordination::messages::{GossipMessage, PeerMessage};
use crate::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The version of the protocol; daemons drop messages of any other version.
pub const PROTOCOL_VERSION: u8 = 5;
/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2048;
/// The largest frame on a connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// The length of the challenge that opens a connection, in bytes.
pub const CHALLENGE_BYTES: usize = 16;
const TAG_BYTES: usize = 16;

/// The reason why a message could not be encoded or was dropped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The message is larger than the protocol allows.
    #[error("the message is larger than the protocol allows")]
    TooLarge,
    /// The message is of another protocol version.
    #[error("the message is of another protocol version")]
    Version,
    /// The message does not carry a tag made with this deployment's key.
    #[error("the message does not carry a valid tag")]
    Tag,
    /// The message cannot be parsed.
    #[error("the message is malformed")]
    Malformed,
}

/// The key that all daemons of a deployment share, for message authentication.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Returns the key with these raw bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the raw key for keyed digests.
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

/// A message on a connection, with its sender and the host of the daemon that it is addressed to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerFrame {
    /// The daemon that sent the message.
    pub from: DaemonId,
    /// The host of the receiving daemon.
    pub to: HostName,
    /// The content of the frame.
    pub message: PeerMessage,
}

/// Encodes and authenticates a datagram.
///
/// # Errors
///
/// Returns an error when the message is too large.
pub fn encode_datagram(key: &PeerKey, message: &GossipMessage) -> Result<Vec<u8>, CodecError> {
    encode(key, b"datagram", message, MAX_DATAGRAM_BYTES)
}

/// Verifies a datagram with any of the keys and decodes it.
///
/// # Errors
///
/// Returns why the datagram must be dropped.
pub fn decode_datagram<'a>(
    keys: impl IntoIterator<Item = &'a PeerKey>,
    bytes: &[u8],
) -> Result<GossipMessage, CodecError> {
    decode_any(keys, b"datagram", bytes, MAX_DATAGRAM_BYTES)
}

/// Binds the frames of one connection to its challenge and to their order, so that a recorded
/// frame cannot be replayed.
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

    /// Encodes and authenticates the connection's next frame.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is too large.
    pub fn encode(&mut self, key: &PeerKey, frame: &PeerFrame) -> Result<Vec<u8>, CodecError> {
        encode(key, &self.next_context(), frame, MAX_FRAME_BYTES)
    }

    /// Verifies the connection's next frame with any of the keys and decodes it.
    ///
    /// # Errors
    ///
    /// Returns why the frame must be dropped; the connection can then no longer be used.
    pub fn decode<'a>(
        &mut self,
        keys: impl IntoIterator<Item = &'a PeerKey>,
        bytes: &[u8],
    ) -> Result<PeerFrame, CodecError> {
        decode_any(keys, &self.next_context(), bytes, MAX_FRAME_BYTES)
    }

    fn next_context(&mut self) -> Vec<u8> {
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
    max_bytes: usize,
) -> Result<Vec<u8>, CodecError> {
    let body = postcard::to_stdvec(message).map_err(|_| CodecError::Malformed)?;
    if body.len() + TAG_BYTES + 1 > max_bytes {
        return Err(CodecError::TooLarge);
    }
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend(compute_tag(key, context, &body));
    bytes.extend(body);
    Ok(bytes)
}

/// Tries the keys in turn; only a wrong tag leads to the next one.
fn decode_any<'a, T: DeserializeOwned>(
    keys: impl IntoIterator<Item = &'a PeerKey>,
    context: &[u8],
    bytes: &[u8],
    max_bytes: usize,
) -> Result<T, CodecError> {
    let mut result = Err(CodecError::Tag);
    for key in keys {
        result = decode(key, context, bytes, max_bytes);
        if !matches!(result, Err(CodecError::Tag)) {
            break;
        }
    }
    result
}

fn decode<T: DeserializeOwned>(
    key: &PeerKey,
    context: &[u8],
    bytes: &[u8],
    max_bytes: usize,
) -> Result<T, CodecError> {
    if bytes.len() > max_bytes {
        return Err(CodecError::TooLarge);
    }
    if bytes.len() < TAG_BYTES + 1 {
        return Err(CodecError::Malformed);
    }
    if bytes[0] != PROTOCOL_VERSION {
        return Err(CodecError::Version);
    }
    let (received, body) = bytes[1..].split_at(TAG_BYTES);
    // A constant-time comparison, so that its duration does not tell where the tags differ.
    let difference =
        compute_tag(key, context, body).iter().zip(received).fold(0, |sum, (a, b)| sum | (a ^ b));
    if difference != 0 {
        return Err(CodecError::Tag);
    }
    postcard::from_bytes(body).map_err(|_| CodecError::Malformed)
}

fn compute_tag(key: &PeerKey, context: &[u8], body: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    hasher.update(&[PROTOCOL_VERSION]);
    hasher.update(&(context.len() as u64).to_le_bytes());
    hasher.update(context);
    hasher.update(body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}
