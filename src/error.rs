//! Mistakes that are reported to operators as one list.

use thiserror::Error;

/// Several mistakes, reported together.
#[derive(Debug, Error)]
#[error("{}", .0.join("\n"))]
pub struct ErrorList(pub Vec<String>);

impl ErrorList {
    /// Fails with all `mistakes` at once, or succeeds when there are none.
    ///
    /// # Errors
    ///
    /// Returns the list itself when it is not empty.
    ///
    /// ```
    /// use plantainnotch::error::ErrorList;
    /// assert!(ErrorList::check(vec![]).is_ok());
    /// assert!(ErrorList::check(vec!["set --vm".into()]).is_err());
    /// ```
    pub fn check(mistakes: Vec<String>) -> Result<(), Self> {
        if mistakes.is_empty() {
            return Ok(());
        }
        Err(Self(mistakes))
    }
}
