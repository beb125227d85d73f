//! Errors that callers see: a kind, a message with the remedy, and the outcome.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use serde::Serialize;
use thiserror::Error;

/// Header by which a caller marks a request that may not run twice.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the time that a caller gives, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";

/// Result of serving a caller.
pub type Result<T> = std::result::Result<T, ApiError>;

/// What became of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Certainly nothing ran.
    NotRun,
    /// It ran, at least in part, and failed.
    Failed,
    /// It may or may not have run.
    Unknown,
}

/// Kinds of errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The body is not a request.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No target of the model has approved the team.
    NotApproved,
    /// No target offers the model or service.
    NoSuchModel,
    /// A non-idempotent call has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The team's ceiling is reached.
    CeilingReached,
    /// The answer could not be complete in time.
    DeadlineTooShort,
    /// The prompt is longer than the targets together can hold.
    PromptTooLong,
    /// No target takes work at present.
    NoCapacity,
    /// This entry does not know the present state of the fleet.
    StaleView,
    /// The log did not record a claim.
    LogUnavailable,
    /// The target failed.
    TargetFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The result of an earlier attempt is not known.
    ResultUnknown,
}

/// An error for a caller.
#[derive(Debug, Clone, Error)]
#[error("{message}")]
pub struct ApiError {
    /// The kind.
    pub kind: ErrorKind,
    /// What is wrong and what to do about it.
    pub message: String,
    /// What became of the request.
    pub outcome: RequestOutcome,
    /// When coming back helps.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// An error of a request of which nothing ran.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::new(kind, message, RequestOutcome::NotRun)
    }

    /// An error of a request that ran and failed.
    pub fn failed(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::new(kind, message, RequestOutcome::Failed)
    }

    /// An error of a request that may or may not have run.
    pub fn unknown(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::new(kind, message, RequestOutcome::Unknown)
    }

    fn new(kind: ErrorKind, message: impl Into<String>, outcome: RequestOutcome) -> Self {
        Self {
            kind,
            message: message.into(),
            outcome,
            retry_after: None,
        }
    }

    /// Says when coming back helps.
    ///
    /// ```
    /// use std::time::Duration;
    /// use plantainnotch::entry::error::{ApiError, ErrorKind};
    /// let error = ApiError::not_run(ErrorKind::NoCapacity, "come back later")
    ///     .retry_after(Duration::from_millis(200));
    /// assert_eq!(error.retry_seconds(), Some(1));
    /// ```
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Whole seconds for the `Retry-After` header.
    pub fn retry_seconds(&self) -> Option<u64> {
        let after = self.retry_after?;
        Some((after.as_millis().div_ceil(1000) as u64).max(1))
    }

    /// The error as JSON.
    pub fn body(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "kind": self.kind,
                "message": self.message,
                "outcome": self.outcome,
                "retry_after_ms": self.retry_after.map(|after| after.as_millis() as u64),
            }
        })
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        match self.kind {
            ErrorKind::BadRequest | ErrorKind::KeyRequired => StatusCode::BAD_REQUEST,
            ErrorKind::TooLarge | ErrorKind::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorKind::Unauthorized => StatusCode::UNAUTHORIZED,
            ErrorKind::NotApproved => StatusCode::FORBIDDEN,
            ErrorKind::NoSuchModel => StatusCode::NOT_FOUND,
            ErrorKind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            ErrorKind::CeilingReached => StatusCode::TOO_MANY_REQUESTS,
            ErrorKind::DeadlineTooShort
            | ErrorKind::NoCapacity
            | ErrorKind::StaleView
            | ErrorKind::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::TargetFailed | ErrorKind::ResultUnknown => StatusCode::BAD_GATEWAY,
            ErrorKind::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        if let Some(seconds) = self.retry_seconds() {
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.json(self.body())
    }
}
