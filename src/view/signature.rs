//! Ed25519 signatures of operators on changes of the table.
//!
//! Once the table has an operator row, every change must be signed by a listed operator.

use std::fmt;

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::record::RowChange;
use crate::hex::{from_hex, to_hex};
use crate::ids::AuthorName;

const SECRET_BYTES: usize = 32;
const PUBLIC_PREFIX: &str = "ed25519:";

/// Result of parsing a key.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Why a key cannot be parsed.
#[derive(Debug, Error, PartialEq)]
pub enum KeyError {
    /// The secret is not 64 hexadecimal digits.
    #[error("the secret key is not 64 hexadecimal digits; make one with `notchctl key new`")]
    Secret,
    /// The text is not an Ed25519 public key in the form that [`PublicKey::parse`] takes.
    #[error("{0:?} is not a public key; use what `notchctl key show` prints")]
    Public(String),
}

/// An operator's public key in text form, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PublicKey(String);

impl PublicKey {
    /// Parses `ed25519:` followed by 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a public key.
    pub fn parse(text: &str) -> Result<Self> {
        let key = Self(text.to_owned());
        match key.verifying_key() {
            Some(_) => Ok(key),
            None => Err(KeyError::Public(text.to_owned())),
        }
    }

    fn verifying_key(&self) -> Option<VerifyingKey> {
        let bytes = from_hex(self.0.strip_prefix(PUBLIC_PREFIX)?)?;
        VerifyingKey::from_bytes(&bytes.try_into().ok()?).ok()
    }

    /// Whether `signature`, in hexadecimal, is valid for the change under this key.
    pub fn verifies(&self, author: &AuthorName, rows: &[RowChange], signature: &str) -> bool {
        let signature = from_hex(signature).and_then(|bytes| Signature::from_slice(&bytes).ok());
        match (self.verifying_key(), signature) {
            (Some(key), Some(signature)) => key.verify(&payload(author, rows), &signature).is_ok(),
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
    /// Generates a key.
    pub fn random() -> Self {
        Self(SigningKey::from_bytes(&rand::random::<[u8; SECRET_BYTES]>()))
    }

    /// Parses 64 hexadecimal digits, surrounded by optional white space.
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

    /// The secret as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        to_hex(&self.0.to_bytes())
    }

    /// The matching public key.
    pub fn public(&self) -> PublicKey {
        let hex = to_hex(self.0.verifying_key().as_bytes());
        PublicKey(format!("{PUBLIC_PREFIX}{hex}"))
    }

    /// Signs a change; the signature is in hexadecimal.
    pub fn sign(&self, author: &AuthorName, rows: &[RowChange]) -> String {
        to_hex(&self.0.sign(&payload(author, rows)).to_bytes())
    }
}

/// The bytes that are signed. They include the base versions of the rows, so a signed change
/// that somebody appends again is rejected because the versions no longer match.
fn payload(author: &AuthorName, rows: &[RowChange]) -> Vec<u8> {
    serde_json::to_vec(&(author, rows)).expect("a change holds only plain data")
}
