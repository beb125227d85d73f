//! `notchctl key`: operators' keys.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use eyre::{Result, WrapErr};

use super::change::read_key;
use crate::view::signature::SecretKey;

const OWNER_ONLY_MODE: u32 = 0o600;

/// Creates a secret key in a new file, and prints its public key.
///
/// # Errors
///
/// Fails when the file exists or cannot be written.
pub fn new(file: &Path) -> Result<()> {
    let key = SecretKey::random();
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY_MODE)
        .open(file)
        .and_then(|mut open| writeln!(open, "{}", key.to_hex()))
        .wrap_err_with(|| format!("cannot write {}; name a new file", file.display()))?;
    println!("{}", key.public());
    Ok(())
}

/// Prints the public key of a secret one.
///
/// # Errors
///
/// Fails when the file is not a secret key.
pub fn show(file: &Path) -> Result<()> {
    println!("{}", read_key(file)?.public());
    Ok(())
}
