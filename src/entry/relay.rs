//! Relays an answer from targets to a caller: resumes a broken stream, fails over to another
//! target, or reports an error.

use std::time::{Duration, Instant};

use actix_http::Method;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};

use super::assembler::{AnswerAssembler, FeedResult};
use super::chat::ChatBody;
use super::error::{ApiError, ErrorKind, Result};
use super::grants::{PoolGuard, ReservationSpec, reserve_targets};
use super::shared::RequestContext;
use crate::chart::StateChart;
use crate::clock::TimeSource;
use crate::http_client::client::{ClientOptions, ClientRequest, ClientResponse, HttpClient};
use crate::ids::RequestId;
use crate::ledger::grant::{GrantOutcome, GrantPart};
use crate::node::body_budget::BudgetShare;
use crate::target::control::cancel_stream;
use crate::target::stream::{
    ChunkReader, GANG_MEMBERS_HEADER, GANG_SIZE_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE: Duration = Duration::from_secs(30);
const MAX_CONTROL_BYTES: usize = 64 * 1024; // of a response to a control call, whose body is not used
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const GANG_RESERVE_TIMEOUT: Duration = Duration::from_secs(2);
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
const NEXT_CHUNK_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESUMES: u32 = 5;
const MAX_CANCEL_ATTEMPTS: u32 = 3;

/// HTTP clients for calls to targets, one pair per worker thread.
#[derive(Clone)]
pub struct TargetClients {
    /// Reuses connections.
    pub pooled: HttpClient,
    /// Opens a connection for each call, because a pooled one may be dead without notice.
    pub unpooled: HttpClient,
}

impl TargetClients {
    /// Clients that limit only connecting; callers set a timeout for each request themselves.
    pub fn new(clock: &TimeSource) -> Self {
        let client = |max_idle| {
            let options = ClientOptions {
                connect_timeout: CONNECT_TIMEOUT,
                max_idle,
            };
            HttpClient::new(options, clock.clone())
        };
        Self {
            pooled: client(MAX_IDLE),
            unpooled: client(Duration::ZERO),
        }
    }
}

/// Events from the relay to the HTTP response of the caller.
#[derive(Debug)]
pub enum RelayEvent {
    /// The next part of the answer.
    Text(String),
    /// The answer is complete; holds its length in tokens.
    End(u64),
    /// The request failed.
    Fail(ApiError),
}

/// How an attempt ended. `disconnected` is set when the connection was lost or the stream could not
/// be resumed, and not for an error response.
#[derive(Debug, PartialEq, Eq)]
enum AttemptEnd {
    Finished,
    CallerGone,
    Failed { reason: String, disconnected: bool },
}

/// A chat request that is being relayed.
pub struct ChatRelay {
    /// Id, team and deadline of the request.
    pub context: RequestContext,
    /// HTTP clients of the worker thread that received the request.
    pub clients: TargetClients,
    /// The body as the caller sent it.
    pub body: ChatBody,
    /// Memory taken for the body.
    pub body_share: BudgetShare,
    /// The capacity to reserve at targets, for each attempt.
    pub spec: ReservationSpec,
    /// Channel to the HTTP response; it closes when the caller disconnects.
    pub sender: mpsc::Sender<RelayEvent>,
    /// State machine from `charts/request.json`.
    pub chart: StateChart,
}

impl ChatRelay {
    /// Runs the request until it is answered, has failed or its caller disconnects.
    pub async fn run(self) {
        let deadline = tokio::time::Instant::from_std(self.context.deadline);
        let mut progress = RelayProgress::new(&self);
        let result = tokio::select! {
            result = self.run_attempts(&mut progress) => result,
            () = sleep_until(deadline) => Err(self.deadline_error(&progress)),
            () = self.sender.closed() => {
                progress.advance_state(&self, "fail");
                self.context.log_decision("hang-up", vec![], vec![], "the caller disconnected");
                self.context.shared.metrics.count_outcome("caller_gone");
                return;
            }
        };
        let outcome = match result {
            Ok(()) => {
                progress.advance_state(&self, "finish");
                self.sender
                    .send(RelayEvent::End(progress.assembler.last_seq()))
                    .await
                    .ok();
                "finished".to_owned()
            }
            Err(error) => {
                // Outcome and kind by their serialized names, as callers receive them.
                let outcome = serde_json::json!(error.outcome);
                progress.advance_state(
                    &self,
                    if outcome == "not_run" {
                        "refuse"
                    } else {
                        "fail"
                    },
                );
                let kind = serde_json::json!(error.kind);
                self.sender.send(RelayEvent::Fail(error)).await.ok();
                kind.as_str().unwrap_or("failed").to_owned()
            }
        };
        self.context.shared.metrics.count_outcome(&outcome);
        self.context.log_decision(
            "end",
            vec![],
            vec![],
            format!("{outcome}, state {}", progress.state),
        );
    }

    fn deadline_error(&self, progress: &RelayProgress) -> ApiError {
        let message = "the deadline passed; set a longer Request-Timeout-Ms, or shorten the prompt";
        if progress.sent {
            ApiError::failed(ErrorKind::DeadlinePassed, message)
        } else {
            ApiError::not_run(ErrorKind::DeadlinePassed, message)
                .retry_after(Duration::from_secs(1))
        }
    }

    async fn run_attempts(&self, progress: &mut RelayProgress) -> Result<()> {
        progress.advance_state(self, "admit");
        loop {
            let mut guard = self.reserve(progress).await?;
            progress.advance_state(self, "grant");
            let end = match guard.check_before_send() {
                Ok(()) => {
                    progress.advance_state(self, "send");
                    self.run_attempt(&mut guard, progress).await
                }
                Err(reason) => failed_attempt(reason, false),
            };
            let AttemptEnd::Failed {
                reason,
                disconnected,
            } = end
            else {
                return Ok(());
            };
            if progress.sent {
                guard.outcome = match disconnected {
                    true => GrantOutcome::Disconnected,
                    false => GrantOutcome::Failed,
                };
            }
            self.prepare_retry(&guard, &reason, disconnected, progress)?;
        }
    }

    async fn reserve(&self, progress: &RelayProgress) -> Result<PoolGuard> {
        let reserved = reserve_targets(&self.context, &self.spec, progress.stream).await;
        reserved.map_err(|error| match progress.sent {
            true => ApiError::failed(error.kind, error.message),
            false => error,
        })
    }

    /// Prepares another attempt after a failed one.
    ///
    /// # Errors
    ///
    /// Fails when the retry budget is exhausted.
    fn prepare_retry(
        &self,
        guard: &PoolGuard,
        reason: &str,
        disconnected: bool,
        progress: &mut RelayProgress,
    ) -> Result<()> {
        let shared = &self.context.shared;
        let budget = &shared.budget;
        // The first failover from a lost target replaces its load instead of adding to it, so it
        // costs no retry budget. A lost target sets `failed_over`; an error response does not.
        let is_failover = disconnected && !std::mem::replace(&mut progress.failed_over, true);
        if !is_failover
            && !budget
                .lock()
                .expect("no thread panics while it holds the lock")
                .try_spend()
        {
            return Err(retry_budget_exhausted(reason, progress.sent));
        }
        shared.metrics.retries.inc();
        progress.advance_state(self, "retry");
        progress.assign_stream_id();
        let reason = format!("{reason}; continued as {}", progress.stream);
        self.context
            .log_decision("retry", guard.targets(), vec![], reason);
        Ok(())
    }

    async fn run_attempt(&self, guard: &mut PoolGuard, progress: &mut RelayProgress) -> AttemptEnd {
        let stream = progress.stream;
        let _cancel_guard = CancelGuard::new(self.clients.unpooled.clone(), stream, &guard.parts);
        if let Err(reason) = self.reserve_gang_memory(guard, progress.stream).await {
            return failed_attempt(reason, false);
        }
        let sent_at = Instant::now();
        progress.sent_at = sent_at;
        let end = self.stream_answer(guard, progress).await;
        if end == AttemptEnd::Finished {
            let decode = progress
                .first_token_at
                .map_or(Duration::ZERO, |first| first.elapsed());
            guard.outcome = GrantOutcome::Completed {
                output_tokens: progress.assembler.last_seq(),
                max_output_tokens: self.spec.max_output_tokens,
                decode_ms: decode.as_millis() as u64,
            };
        }
        end
    }

    /// Reserves memory at every gang member except the leader, in target order.
    async fn reserve_gang_memory(
        &self,
        guard: &PoolGuard,
        stream: RequestId,
    ) -> std::result::Result<(), String> {
        for part in guard.parts.iter().skip(1) {
            let url = format!(
                "http://{}/v1/streams/{}?tokens={}",
                part.address, stream, part.memory_tokens
            );
            let request = ClientRequest::new(Method::PUT, url);
            let pooled = &self.clients.pooled;
            let fetched = pooled.fetch(request, GANG_RESERVE_TIMEOUT, MAX_CONTROL_BYTES);
            match fetched.await {
                Ok((status, _)) if status.is_success() => {}
                Ok((status, _)) => {
                    return Err(format!("{} answered {status}", part.target));
                }
                Err(error) => return Err(format!("{}: {error}", part.target)),
            }
        }
        Ok(())
    }

    async fn stream_answer(&self, guard: &PoolGuard, progress: &mut RelayProgress) -> AttemptEnd {
        let Some(leader) = guard.parts.first() else {
            return failed_attempt("no target was granted", false);
        };
        let mut response = match self.open_stream(guard, leader, progress).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let mut resumes = 0;
        loop {
            let reason = match self.read_chunks(&mut response, guard, progress).await {
                Ok(end) => return end,
                Err(reason) => reason,
            };
            resumes += 1;
            if resumes > MAX_RESUMES {
                return failed_attempt(reason, true);
            }
            progress.assembler.drop_early();
            response = match self.resume_stream(leader, progress).await {
                Ok(response) => response,
                Err(cause) => return failed_attempt(format!("{reason}; {cause}"), true),
            };
        }
    }

    async fn open_stream(
        &self,
        guard: &PoolGuard,
        leader: &GrantPart,
        progress: &mut RelayProgress,
    ) -> std::result::Result<TargetResponse, AttemptEnd> {
        let url = format!("http://{}/v1/chat/completions", leader.address);
        let members: Vec<&str> = guard
            .parts
            .iter()
            .skip(1)
            .map(|part| part.address.as_str())
            .collect();
        let body = self.body.target_body(&progress.text);
        progress.sent = true;
        let request = ClientRequest::new(Method::POST, url)
            .header(REQUEST_HEADER, &progress.stream.to_string())
            .header(PRIORITY_HEADER, &guard.priority.to_string())
            .header(GANG_SIZE_HEADER, &guard.parts.len().to_string())
            .header(GANG_MEMBERS_HEADER, &members.join(","))
            .header("content-type", "application/json")
            .body(body);
        match timeout(RESPONSE_HEAD_TIMEOUT, self.clients.pooled.send(request)).await {
            Ok(Ok(response)) if response.status().is_success() => Ok(TargetResponse::new(response)),
            Ok(Ok(response)) => {
                let reason = format!("{} answered {}", leader.target, response.status());
                Err(failed_attempt(reason, false))
            }
            Ok(Err(error)) => Err(failed_attempt(format!("{}: {error}", leader.target), true)),
            Err(_) => match self.resume_stream(leader, progress).await {
                Ok(response) => Ok(response),
                Err(reason) => Err(failed_attempt(reason, true)),
            },
        }
    }

    /// Resumes the stream after the last chunk received in order, on a new connection.
    async fn resume_stream(
        &self,
        leader: &GrantPart,
        progress: &RelayProgress,
    ) -> std::result::Result<TargetResponse, String> {
        let url = format!(
            "http://{}/v1/streams/{}?after={}",
            leader.address,
            progress.stream,
            progress.assembler.last_seq()
        );
        let request = ClientRequest::new(Method::GET, url);
        match timeout(RESPONSE_HEAD_TIMEOUT, self.clients.unpooled.send(request)).await {
            Ok(Ok(response)) if response.status().is_success() => Ok(TargetResponse::new(response)),
            Ok(Ok(response)) => Err(format!("resume answered {}", response.status())),
            Ok(Err(error)) => Err(format!("resume: {error}")),
            Err(_) => Err("resume: no response in time".into()),
        }
    }

    /// Reads until the answer is complete. An `Err` holds the reason why the stream must be resumed.
    async fn read_chunks(
        &self,
        response: &mut TargetResponse,
        guard: &PoolGuard,
        progress: &mut RelayProgress,
    ) -> std::result::Result<AttemptEnd, String> {
        loop {
            let silence_limit = match progress.first_token_at {
                None => FIRST_CHUNK_TIMEOUT,
                Some(_) => NEXT_CHUNK_TIMEOUT,
            };
            let bytes = match timeout(silence_limit, response.body.next_chunk()).await {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Err(error)) => return Err(format!("stream failed: {error}")),
                Ok(Ok(None)) => return Err("stream ended before its last chunk".into()),
                Err(_) => return Err("no chunk arrived in time".into()),
            };
            let chunks = response
                .reader
                .feed(&bytes)
                .map_err(|error| error.to_string())?;
            for chunk in chunks {
                let FeedResult::Ready(texts) = progress.assembler.feed(chunk) else {
                    return Err("too many chunks arrived out of order".into());
                };
                for text in texts {
                    progress.record_first_token(self, guard);
                    progress.text.push_str(&text);
                    if self.sender.send(RelayEvent::Text(text)).await.is_err() {
                        return Ok(AttemptEnd::CallerGone);
                    }
                }
            }
            if progress.assembler.complete() {
                return Ok(AttemptEnd::Finished);
            }
        }
    }
}

fn retry_budget_exhausted(reason: &str, sent: bool) -> ApiError {
    let message =
        format!("the target failed ({reason}) and the retry budget is exhausted; retry later");
    let error = match sent {
        true => ApiError::failed(ErrorKind::TargetFailed, message),
        false => ApiError::not_run(ErrorKind::NoCapacity, message),
    };
    error.retry_after(Duration::from_secs(2))
}

fn failed_attempt(reason: impl Into<String>, disconnected: bool) -> AttemptEnd {
    AttemptEnd::Failed {
        reason: reason.into(),
        disconnected,
    }
}

/// A target's response and the parser of its chunks.
struct TargetResponse {
    body: ClientResponse,
    reader: ChunkReader,
}

impl TargetResponse {
    fn new(response: ClientResponse) -> Self {
        Self {
            body: response,
            reader: ChunkReader::default(),
        }
    }
}

/// Progress of a request across its attempts.
struct RelayProgress {
    state: String,
    /// The id under which targets know the current attempt.
    stream: RequestId,
    assembler: AnswerAssembler,
    /// Text of the answer received so far, from all attempts.
    text: String,
    /// Whether any attempt has been sent to a target.
    sent: bool,
    /// Whether the request has failed over from a lost target.
    failed_over: bool,
    /// When the current attempt was sent.
    sent_at: Instant,
    /// Arrival of the request's first token, in any attempt; a retry does not reset it.
    first_token_at: Option<Instant>,
}

impl RelayProgress {
    fn new(relay: &ChatRelay) -> Self {
        Self {
            state: relay.chart.initial().to_owned(),
            stream: relay.context.request,
            assembler: AnswerAssembler::new(relay.context.request),
            text: String::new(),
            sent: false,
            failed_over: false,
            sent_at: Instant::now(),
            first_token_at: None,
        }
    }

    /// Moves to the chart's next state; logs an event that the chart does not allow.
    fn advance_state(&mut self, relay: &ChatRelay, event: &str) {
        match relay.chart.next_state(&self.state, event) {
            Ok(next) => self.state = next.to_owned(),
            Err(error) => tracing::error!(%error, request = %relay.context.request),
        }
    }

    /// Assigns a new id, so that cancelling the failed attempt does not cancel the next one.
    fn assign_stream_id(&mut self) {
        self.stream = RequestId::random();
        self.assembler.continue_as(self.stream);
    }

    fn record_first_token(&mut self, relay: &ChatRelay, guard: &PoolGuard) {
        if self.first_token_at.is_some() {
            return;
        }
        let now = Instant::now();
        self.first_token_at = Some(now);
        guard.report_first_token(now - self.sent_at);
        let metrics = &relay.context.shared.metrics;
        metrics.observe_first_token(relay.spec.prompt_tokens, relay.context.elapsed());
    }
}

/// Cancels a stream at its targets when dropped.
struct CancelGuard {
    client: HttpClient,
    stream: RequestId,
    addresses: Vec<String>,
}

impl CancelGuard {
    fn new(client: HttpClient, stream: RequestId, parts: &[GrantPart]) -> Self {
        Self {
            client,
            stream,
            addresses: parts.iter().map(|part| part.address.clone()).collect(),
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        for address in std::mem::take(&mut self.addresses) {
            let (client, stream) = (self.client.clone(), self.stream);
            actix_rt::spawn(async move {
                for _ in 0..MAX_CANCEL_ATTEMPTS {
                    if cancel_stream(&client, &address, stream).await {
                        return;
                    }
                }
            });
        }
    }
}
