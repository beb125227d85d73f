//! Encodes messages with `bincode`, and decodes them with a limit on the memory used.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Limit on the size of an encoded message, and on the memory that decoding one takes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// A message that cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message holds a value that has no encoding.
    #[error("message cannot be encoded: {0}; report this as a bug in plantainnotch")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a message of this release of plantainnotch.
    #[error("message cannot be decoded: {0}; run the same release on all VMs")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message is followed by this many bytes.
    #[error("{0} bytes follow the message; run the same release on all VMs")]
    Trailing(usize),
}

/// Encodes a message; fields are identified by their position.
///
/// # Errors
///
/// Fails when the message holds a value that has no encoding.
///
/// ```
/// use plantainnotch::wire::codec::{decode, encode};
/// let bytes = encode(&(1_u32, "text"))?;
/// assert_eq!(decode::<(u32, String)>(&bytes)?, (1, "text".to_owned()));
/// # Ok::<(), plantainnotch::wire::codec::CodecError>(())
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    Ok(bincode::serde::encode_to_vec(
        message,
        bincode::config::standard(),
    )?)
}

/// Decodes the one message in `bytes`.
///
/// # Errors
///
/// Fails when the bytes are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, read_bytes) = bincode::serde::decode_from_slice(bytes, config)?;
    if read_bytes != bytes.len() {
        return Err(CodecError::Trailing(bytes.len() - read_bytes));
    }
    Ok(message)
}
