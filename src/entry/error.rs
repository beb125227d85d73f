//! Errors in responses to callers: a kind, a message with the remedy, and the outcome.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use serde::Serialize;
use thiserror::Error;

/// Header with the caller's key for a request that may run at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the caller's timeout, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";

/// Result of serving a caller.
pub type Result<T> = std::result::Result<T, ApiError>;

/// Whether a failed request may have run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Nothing ran; the request can be sent again.
    NotRun,
    /// It ran, at least in part, and failed.
    Failed,
    /// It may or may not have run.
    Unknown,
}

/// Kinds of errors, each with a fixed HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The body or a header is invalid.
    BadRequest,
    /// The body is over the size limit.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No owner of a target of the model or service has approved the team; for a service, also that no
    /// approved target is in service.
    NotApproved,
    /// No target offers the model or service.
    NoSuchModel,
    /// A non-idempotent call has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The team has reached its ceiling on tokens.
    CeilingReached,
    /// The answer could not be complete by the deadline.
    DeadlineTooShort,
    /// The request exceeds the memory of its targets or the team's ceiling.
    PromptTooLong,
    /// No target or steward can take the request at present.
    NoCapacity,
    /// The entry's view of the fleet is stale.
    StaleView,
    /// The log did not record a claim.
    LogUnavailable,
    /// The target failed or could not be reached.
    TargetFailed,
    /// The deadline passed before the answer was complete.
    DeadlinePassed,
    /// The result of this or an earlier attempt is not known.
    ResultUnknown,
}

/// An error in a response to a caller.
#[derive(Debug, Clone, Error)]
#[error("{message}")]
pub struct ApiError {
    /// Decides on the HTTP status.
    pub kind: ErrorKind,
    /// What is wrong and what to do about it.
    pub message: String,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// An error of a request that did not run.
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

    /// Sets the time after which a retry may succeed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use plantainnotch::entry::error::{ApiError, ErrorKind};
    /// let error = ApiError::not_run(ErrorKind::NoCapacity, "retry later")
    ///     .retry_after(Duration::from_millis(200));
    /// assert_eq!(error.retry_seconds(), Some(1));
    /// ```
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Seconds for the `Retry-After` header, rounded up, at least 1.
    pub fn retry_seconds(&self) -> Option<u64> {
        let after = self.retry_after?;
        Some((after.as_millis().div_ceil(1000) as u64).max(1))
    }

    /// Body of the response: an object `error` with the fields of this error.
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
