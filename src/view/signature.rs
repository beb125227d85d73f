//! Operators' signatures on changes of the table.
//!
//! Once the table names an operator, every change must be signed by one that it names.

use std::fmt;

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::record::RowChange;
use crate::hex::{from_hex, to_hex};
use crate::ids::AuthorName;

const SECRET_BYTES: usize = 32;
const PUBLIC_PREFIX: &str = "ed25519:";

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, KeyError>;

/// A key that cannot be read.
#[derive(Debug, Error, PartialEq)]
pub enum KeyError {
    /// The secret is not 64 hexadecimal digits.
    #[error("the secret key is not 64 hexadecimal digits; make one with `notchctl key new`")]
    Secret,
    /// The public key is not one.
    #[error("{0:?} is not a public key; use what `notchctl key show` prints")]
    Public(String),
}

/// An operator's public key, as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PublicKey(String);

impl PublicKey {
    /// Reads `ed25519:` and 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a public key.
    pub fn parse(text: &str) -> Result<Self> {
        let key = Self(text.to_owned());
        match key.verifying() {
            Some(_) => Ok(key),
            None => Err(KeyError::Public(text.to_owned())),
        }
    }

    fn verifying(&self) -> Option<VerifyingKey> {
        let bytes = from_hex(self.0.strip_prefix(PUBLIC_PREFIX)?)?;
        VerifyingKey::from_bytes(&bytes.try_into().ok()?).ok()
    }

    /// Whether `signature` is this key's over the change.
    pub fn verifies(&self, author: &AuthorName, rows: &[RowChange], signature: &str) -> bool {
        let signature = from_hex(signature).and_then(|bytes| Signature::from_slice(&bytes).ok());
        match (self.verifying(), signature) {
            (Some(key), Some(signature)) => key.verify(&content(author, rows), &signature).is_ok(),
            _ => false,
        }
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An operator's secret key.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Draws a new key.
    pub fn random() -> Self {
        Self(SigningKey::from_bytes(&rand::random::<[u8; SECRET_BYTES]>()))
    }

    /// Reads 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a secret key.
    ///
    /// ```
    /// use plantainnotch::view::signature::SecretKey;
    /// let key = SecretKey::random();
    /// let read = SecretKey::parse(&key.to_hex())?;
    /// assert_eq!(read.public(), key.public());
    /// # Ok::<(), plantainnotch::view::signature::KeyError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let bytes = from_hex(text.trim()).ok_or(KeyError::Secret)?;
        let secret: [u8; SECRET_BYTES] = bytes.try_into().map_err(|_| KeyError::Secret)?;
        Ok(Self(SigningKey::from_bytes(&secret)))
    }

    /// The secret as hexadecimal digits.
    pub fn to_hex(&self) -> String {
        to_hex(&self.0.to_bytes())
    }

    /// The public key that goes into the table.
    pub fn public(&self) -> PublicKey {
        let hex = to_hex(self.0.verifying_key().as_bytes());
        PublicKey(format!("{PUBLIC_PREFIX}{hex}"))
    }

    /// Signs a change.
    pub fn sign(&self, author: &AuthorName, rows: &[RowChange]) -> String {
        to_hex(&self.0.sign(&content(author, rows)).to_bytes())
    }
}

/// The bytes that are signed. Rows name their base versions, so that a change that is
/// appended again by somebody else is rejected as raced.
fn content(author: &AuthorName, rows: &[RowChange]) -> Vec<u8> {
    serde_json::to_vec(&(author, rows)).expect("a change holds only plain data")
}
