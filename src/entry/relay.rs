//! Streams an answer from targets to a caller: resumes, continues elsewhere, or fails.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};

use super::assembler::{AnswerAssembler, FeedResult};
use super::chat::ChatBody;
use super::error::{ApiError, ErrorKind, Result};
use super::grants::{PoolGuard, ReserveNeed, reserve_targets};
use super::shared::RequestContext;
use crate::chart::StateChart;
use crate::ids::RequestId;
use crate::ledger::grant::{GrantEnd, GrantPart};
use crate::target::control::cancel_stream;
use crate::target::stream::{
    ChunkReader, GANG_MEMBERS_HEADER, GANG_SIZE_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
};

const HEAD_WITHIN: Duration = Duration::from_secs(3);
const HOLD_WITHIN: Duration = Duration::from_secs(2);
const SILENT_BEFORE_FIRST: Duration = Duration::from_secs(5);
const SILENT_BETWEEN: Duration = Duration::from_secs(2);
const RESUME_TRIES: u32 = 5;
const CANCEL_TRIES: u32 = 3;

/// HTTP clients of one thread.
#[derive(Clone)]
pub struct TargetClients {
    /// Reuses connections.
    pub pooled: awc::Client,
    /// Opens a connection for each call, for when an open one may have gone silent.
    pub fresh: awc::Client,
}

impl TargetClients {
    /// New clients.
    pub fn new() -> Self {
        let pooled = awc::Connector::new()
            .timeout(Duration::from_secs(1))
            .limit(0)
            .conn_keep_alive(Duration::from_secs(30));
        let fresh = awc::Connector::new()
            .timeout(Duration::from_secs(1))
            .limit(0)
            .conn_keep_alive(Duration::ZERO);
        Self {
            pooled: awc::Client::builder()
                .connector(pooled)
                .disable_timeout()
                .finish(),
            fresh: awc::Client::builder()
                .connector(fresh)
                .disable_timeout()
                .finish(),
        }
    }
}

impl Default for TargetClients {
    fn default() -> Self {
        Self::new()
    }
}

/// What a caller's side of the relay receives.
#[derive(Debug)]
pub enum RelayEvent {
    /// The next part of the answer.
    Text(String),
    /// The answer is complete, with this many tokens.
    End(u64),
    /// The request failed.
    Fail(ApiError),
}

/// How one attempt at a target ended.
#[derive(Debug, PartialEq, Eq)]
enum AttemptEnd {
    Finished,
    CallerGone,
    Lost { reason: String, disconnected: bool },
}

/// A chat request while it is relayed.
pub struct ChatRelay {
    /// The request.
    pub context: RequestContext,
    /// HTTP clients.
    pub clients: TargetClients,
    /// The body.
    pub body: ChatBody,
    /// What to reserve.
    pub need: ReserveNeed,
    /// Where the answer goes.
    pub sender: mpsc::Sender<RelayEvent>,
    /// States of a request.
    pub chart: StateChart,
}

impl ChatRelay {
    /// Runs the request to its final answer.
    pub async fn run(self) {
        let deadline = tokio::time::Instant::from_std(self.context.deadline);
        let mut progress = RelayProgress::new(&self);
        let result = tokio::select! {
            result = self.serve(&mut progress) => result,
            () = sleep_until(deadline) => Err(self.deadline_error(&progress)),
            () = self.sender.closed() => {
                progress.step(&self, "fail");
                self.context.note("hang-up", vec![], vec![], "the caller hung up");
                self.context.shared.metrics.count_outcome("caller_gone");
                return;
            }
        };
        let outcome = match result {
            Ok(()) => {
                progress.step(&self, "finish");
                self.sender
                    .send(RelayEvent::End(progress.assembler.last_seq()))
                    .await
                    .ok();
                "finished".to_owned()
            }
            Err(error) => {
                let outcome = serde_json::json!(error.outcome);
                progress.step(
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
        self.context.note(
            "end",
            vec![],
            vec![],
            format!("{outcome}, state {}", progress.state),
        );
    }

    fn deadline_error(&self, progress: &RelayProgress) -> ApiError {
        let message =
            "the deadline passed; give more time with Request-Timeout-Ms, or shorten the prompt";
        if progress.sent {
            ApiError::failed(ErrorKind::DeadlinePassed, message)
        } else {
            ApiError::not_run(ErrorKind::DeadlinePassed, message)
                .retry_after(Duration::from_secs(1))
        }
    }

    async fn serve(&self, progress: &mut RelayProgress) -> Result<()> {
        progress.step(self, "admit");
        loop {
            let mut guard = self.reserve(progress).await?;
            progress.step(self, "grant");
            let end = match guard.check_before_send() {
                Ok(()) => {
                    progress.step(self, "send");
                    self.attempt(&mut guard, progress).await
                }
                Err(reason) => lost(reason, false),
            };
            let AttemptEnd::Lost {
                reason,
                disconnected,
            } = end
            else {
                return Ok(());
            };
            if progress.sent {
                guard.end = match disconnected {
                    true => GrantEnd::Disconnected,
                    false => GrantEnd::Failed,
                };
            }
            self.prepare_retry(&guard, &reason, disconnected, progress)?;
        }
    }

    async fn reserve(&self, progress: &RelayProgress) -> Result<PoolGuard> {
        let reserved = reserve_targets(&self.context, &self.need, progress.stream).await;
        reserved.map_err(|error| match progress.sent {
            true => ApiError::failed(error.kind, error.message),
            false => error,
        })
    }

    /// Spends a retry on a lost attempt, or gives the request up.
    fn prepare_retry(
        &self,
        guard: &PoolGuard,
        reason: &str,
        disconnected: bool,
        progress: &mut RelayProgress,
    ) -> Result<()> {
        let shared = &self.context.shared;
        let budget = &shared.budget;
        // The first move away from a target that died replaces load instead of adding to it.
        let moves = disconnected && !std::mem::replace(&mut progress.moved, true);
        if !moves && !budget.lock().expect("no holder panics").try_spend() {
            return Err(retries_used_up(reason, progress.sent));
        }
        shared.metrics.retries.inc();
        progress.step(self, "retry");
        progress.start_new_stream();
        let reason = format!("{reason}; continued as {}", progress.stream);
        self.context.note("retry", guard.targets(), vec![], reason);
        Ok(())
    }

    async fn attempt(&self, guard: &mut PoolGuard, progress: &mut RelayProgress) -> AttemptEnd {
        let request = progress.stream;
        let _cancel = CancelOnDrop::new(self.clients.fresh.clone(), request, &guard.parts);
        if let Err(reason) = self.hold_members(guard, progress.stream).await {
            return lost(reason, false);
        }
        let sent_at = Instant::now();
        progress.sent_at = sent_at;
        let end = self.stream_from(guard, progress).await;
        if end == AttemptEnd::Finished {
            let decode = progress
                .first_at
                .map_or(Duration::ZERO, |first| first.elapsed());
            guard.end = GrantEnd::Completed {
                output: progress.assembler.last_seq(),
                max_output: self.need.max_output,
                decode_ms: decode.as_millis() as u64,
            };
        }
        end
    }

    /// Holds memory at the members of a gang, in target order, the leader excepted.
    async fn hold_members(
        &self,
        guard: &PoolGuard,
        stream: RequestId,
    ) -> std::result::Result<(), String> {
        for part in guard.parts.iter().skip(1) {
            let url = format!(
                "http://{}/v1/streams/{}?tokens={}",
                part.address, stream, part.share
            );
            let answer = self
                .clients
                .pooled
                .put(url)
                .timeout(HOLD_WITHIN)
                .send()
                .await;
            match answer {
                Ok(answer) if answer.status().is_success() => {}
                Ok(answer) => return Err(format!("{} answered {}", part.target, answer.status())),
                Err(error) => return Err(format!("{}: {error}", part.target)),
            }
        }
        Ok(())
    }

    async fn stream_from(&self, guard: &PoolGuard, progress: &mut RelayProgress) -> AttemptEnd {
        let Some(leader) = guard.parts.first() else {
            return lost("no target was granted", false);
        };
        let mut answer = match self.open(guard, leader, progress).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        let mut resumes = 0;
        loop {
            let reason = match self.read_chunks(&mut answer, guard, progress).await {
                Ok(end) => return end,
                Err(reason) => reason,
            };
            resumes += 1;
            if resumes > RESUME_TRIES {
                return lost(reason, true);
            }
            progress.assembler.drop_early();
            answer = match self.resume(leader, progress).await {
                Ok(answer) => answer,
                Err(lost_reason) => return lost(format!("{reason}; {lost_reason}"), true),
            };
        }
    }

    async fn open(
        &self,
        guard: &PoolGuard,
        leader: &GrantPart,
        progress: &mut RelayProgress,
    ) -> std::result::Result<TargetAnswer, AttemptEnd> {
        let url = format!("http://{}/v1/chat/completions", leader.address);
        let members: Vec<&str> = guard
            .parts
            .iter()
            .skip(1)
            .map(|part| part.address.as_str())
            .collect();
        let body = self.body.target_body(&progress.text);
        progress.sent = true;
        let sending = self
            .clients
            .pooled
            .post(url)
            .insert_header((REQUEST_HEADER, progress.stream.to_string()))
            .insert_header((PRIORITY_HEADER, guard.priority.to_string()))
            .insert_header((GANG_SIZE_HEADER, guard.parts.len().to_string()))
            .insert_header((GANG_MEMBERS_HEADER, members.join(",")))
            .content_type("application/json")
            .send_body(body);
        match timeout(HEAD_WITHIN, sending).await {
            Ok(Ok(answer)) if answer.status().is_success() => Ok(TargetAnswer::new(answer)),
            Ok(Ok(answer)) => {
                let reason = format!("{} answered {}", leader.target, answer.status());
                Err(lost(reason, false))
            }
            Ok(Err(error)) => Err(lost(format!("{}: {error}", leader.target), true)),
            Err(_) => match self.resume(leader, progress).await {
                Ok(answer) => Ok(answer),
                Err(reason) => Err(lost(reason, true)),
            },
        }
    }

    /// Resumes the stream after the last chunk that is in order, on a new connection.
    async fn resume(
        &self,
        leader: &GrantPart,
        progress: &RelayProgress,
    ) -> std::result::Result<TargetAnswer, String> {
        let url = format!(
            "http://{}/v1/streams/{}?after={}",
            leader.address,
            progress.stream,
            progress.assembler.last_seq()
        );
        match timeout(HEAD_WITHIN, self.clients.fresh.get(url).send()).await {
            Ok(Ok(answer)) if answer.status().is_success() => Ok(TargetAnswer::new(answer)),
            Ok(Ok(answer)) => Err(format!("resume answered {}", answer.status())),
            Ok(Err(error)) => Err(format!("resume: {error}")),
            Err(_) => Err("resume: no answer in time".into()),
        }
    }

    /// Reads until the answer is complete, or fails with the reason to resume.
    async fn read_chunks(
        &self,
        answer: &mut TargetAnswer,
        guard: &PoolGuard,
        progress: &mut RelayProgress,
    ) -> std::result::Result<AttemptEnd, String> {
        loop {
            let patience = match progress.first_at {
                None => SILENT_BEFORE_FIRST,
                Some(_) => SILENT_BETWEEN,
            };
            let bytes = match timeout(patience, answer.body.next()).await {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(error))) => return Err(format!("stream broke: {error}")),
                Ok(None) => return Err("stream ended without its end mark".into()),
                Err(_) => return Err("stream went silent".into()),
            };
            let chunks = answer
                .reader
                .feed(&bytes)
                .map_err(|error| error.to_string())?;
            for chunk in chunks {
                let FeedResult::Ready(texts) = progress.assembler.feed(chunk) else {
                    return Err("too many chunks came out of order".into());
                };
                for text in texts {
                    progress.note_first(self, guard);
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

fn retries_used_up(reason: &str, sent: bool) -> ApiError {
    let message = format!("the target failed ({reason}) and retries are used up; come back later");
    let error = match sent {
        true => ApiError::failed(ErrorKind::TargetFailed, message),
        false => ApiError::not_run(ErrorKind::NoCapacity, message),
    };
    error.retry_after(Duration::from_secs(2))
}

fn lost(reason: impl Into<String>, disconnected: bool) -> AttemptEnd {
    AttemptEnd::Lost {
        reason: reason.into(),
        disconnected,
    }
}

/// A target's answer while it is read.
struct TargetAnswer {
    body: std::pin::Pin<
        Box<
            dyn futures_util::Stream<
                    Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>,
                >,
        >,
    >,
    reader: ChunkReader,
}

impl TargetAnswer {
    fn new<S>(answer: awc::ClientResponse<S>) -> Self
    where
        S: futures_util::Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>>
            + Unpin
            + 'static,
    {
        Self {
            body: Box::pin(answer),
            reader: ChunkReader::default(),
        }
    }
}

/// How far a request has come.
struct RelayProgress {
    state: String,
    /// The id under which the targets know the present attempt.
    stream: RequestId,
    assembler: AnswerAssembler,
    text: String,
    sent: bool,
    /// Whether the request has moved away from a target that died.
    moved: bool,
    sent_at: Instant,
    first_at: Option<Instant>,
}

impl RelayProgress {
    fn new(relay: &ChatRelay) -> Self {
        Self {
            state: relay.chart.initial().to_owned(),
            stream: relay.context.request,
            assembler: AnswerAssembler::new(relay.context.request),
            text: String::new(),
            sent: false,
            moved: false,
            sent_at: Instant::now(),
            first_at: None,
        }
    }

    /// Follows the chart; an event that it does not allow is a fault worth a log line.
    fn step(&mut self, relay: &ChatRelay, event: &str) {
        match relay.chart.step(&self.state, event) {
            Ok(next) => self.state = next.to_owned(),
            Err(error) => tracing::error!(%error, request = %relay.context.request),
        }
    }

    /// Takes a new id, so that cancelling the lost attempt cannot hit the next one.
    fn start_new_stream(&mut self) {
        self.stream = RequestId::random();
        self.assembler.continue_as(self.stream);
    }

    fn note_first(&mut self, relay: &ChatRelay, guard: &PoolGuard) {
        if self.first_at.is_some() {
            return;
        }
        let now = Instant::now();
        self.first_at = Some(now);
        guard.first_token(now - self.sent_at);
        let metrics = &relay.context.shared.metrics;
        metrics.observe_first_token(relay.need.prompt, relay.context.elapsed());
    }
}

/// Cancels a request at its targets unless it is known to have ended there.
struct CancelOnDrop {
    http: awc::Client,
    request: RequestId,
    addresses: Vec<String>,
}

impl CancelOnDrop {
    fn new(http: awc::Client, request: RequestId, parts: &[GrantPart]) -> Self {
        Self {
            http,
            request,
            addresses: parts.iter().map(|part| part.address.clone()).collect(),
        }
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        for address in std::mem::take(&mut self.addresses) {
            let (http, request) = (self.http.clone(), self.request);
            actix_rt::spawn(async move {
                for _ in 0..CANCEL_TRIES {
                    if cancel_stream(&http, &address, request).await {
                        return;
                    }
                }
            });
        }
    }
}
