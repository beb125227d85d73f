//! Relays a stream's events to its caller, and resumes the stream at another target if one fails.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header;
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::time::{sleep, timeout};

use super::attempt::{AttemptOutcome, CallerRequest, TargetInFlightGuard};
use super::carrying::{self, CarriedGuard, lose_paths, may_move};
use super::crash_bans::{report_broken, report_served};
use super::engine_paces::record_gap;
use super::generation::{PlacementLimits, place_in_time, send_placed};
use super::messages::JobUpdate;
use super::placement::{JobGuard, record_update};
use super::reservations::Reservations;
use super::state::NodeState;
use super::stopping::wait_until_due;
use crate::fleet::routes::RerunPolicy;
use crate::http_client::connection::HttpConnection;
use crate::ids::{TargetName, VmName};
use crate::policy::dispatch::{DispatchAnswer, PlacementRequest};
use crate::policy::engine_pace::GapWindow;

const EVENT_TIMEOUT_SHARE: f64 = 0.7; // of the time after which the caller gives up; the rest is left to resume elsewhere
const LOST_PATH_GAPS: f64 = 2.0; // longest gaps after which the paths are checked and, once they are lost, a stream moves to another VM
const MIN_READ_WAIT: Duration = Duration::from_millis(1); // a shorter read returns bytes that arrived before
const MAX_EVENT_BYTES: usize = 32 * 1024; // of an event with an id, and all that precedes it
const EVENT_STREAM: &str = "text/event-stream";

/// The error with which a stream ends early, so that the caller sees that it is incomplete.
#[derive(Debug, Error)]
#[error("stream broken off: {0}; if resumable, send it again with the last event's id")]
pub struct BrokenStream(pub String);

/// Splits a byte stream into complete server-sent events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// Bytes at the start that hold no event's end.
    scanned: usize,
    /// Start of the line at `scanned`.
    line_start: usize,
}

/// One complete server-sent event.
#[derive(Debug, PartialEq)]
pub struct StreamEvent {
    /// The number in its `id` field, if it has one.
    pub id: Option<u64>,
    /// Its bytes as received, including the empty line at the end.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Whether it has comment lines only, which callers ignore.
    fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
    }
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether no bytes are buffered, so that the stream may end here.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes and returns the next complete event; `None` until more bytes are added.
    ///
    /// ```
    /// use plantainnotch::node::relay::EventBuffer;
    /// let mut buffer = EventBuffer::default();
    /// buffer.push(b"id: 4\ndata: x\n\nid: 5");
    /// assert_eq!(buffer.next_event().unwrap().id, Some(4));
    /// assert!(buffer.next_event().is_none());
    /// ```
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_event_end()?;
        let bytes = self.bytes.split_to(end).freeze();
        let id = bytes
            .split(|byte| *byte == b'\n')
            .filter_map(|line| line.strip_prefix(b"id:"))
            .filter_map(|value| std::str::from_utf8(value).ok())
            .find_map(|value| value.trim().parse().ok());
        Some(StreamEvent { id, bytes })
    }

    /// Finds the end of the first event, an empty line, among the bytes not searched before.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(length) = self.bytes[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.scanned + length;
            let line = &self.bytes[self.line_start..line_end];
            let is_end = self.line_start > 0 && (line.is_empty() || line == b"\r");
            self.scanned = line_end + 1;
            self.line_start = self.scanned;
            if is_end {
                (self.scanned, self.line_start) = (0, 0);
                return Some(line_end + 1);
            }
        }
        self.scanned = self.bytes.len();
        None
    }
}

/// Reason of a failure: every stream has an event.
pub const ENDED_BEFORE_FIRST_EVENT: &str = "the response ended before its first event";

/// Result of one read from a stream.
enum ReadOutcome {
    /// Bytes were buffered.
    More,
    /// The response is complete.
    End,
    /// Nothing was received for this long.
    Silent(Duration),
    /// This node stops before the stream has ended.
    Stopped,
}

/// A stream's connection and where it comes from.
pub struct TargetStream {
    /// The connection from which events are read.
    pub connection: HttpConnection,
    /// What sends the events.
    pub source: StreamSource,
}

/// What sends the events of a stream, with the resources held there, released when dropped.
pub enum StreamSource {
    /// A target.
    Target {
        /// The target that generates the stream; the lead if the prompt was split.
        target: TargetName,
        /// Ends the job at the dispatchers when dropped.
        _job: JobGuard,
        /// Counts the request as in flight at its target.
        _in_flight: TargetInFlightGuard,
        /// Releases the helpers' reserved memory when dropped.
        reservations: Reservations,
    },
    /// Another VM, which reaches targets while this one does not.
    Carrier {
        /// The VM.
        vm: VmName,
        /// Counts the request as carried.
        _guard: CarriedGuard,
    },
}

impl StreamSource {
    /// The target, unless another VM carries the request.
    fn target(&self) -> Option<&TargetName> {
        match self {
            Self::Target { target, .. } => Some(target),
            Self::Carrier { .. } => None,
        }
    }
}

impl std::fmt::Display for StreamSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Target { target, .. } => write!(f, "{target}"),
            Self::Carrier { vm, .. } => write!(f, "{vm}"),
        }
    }
}

/// A stream from its current target to its caller.
pub struct StreamRelay {
    node: Rc<NodeState>,
    caller: Rc<CallerRequest>,
    placement_request: PlacementRequest,
    stream: Option<TargetStream>,
    buffer: EventBuffer,
    last_event_id: Option<u64>,
    resumed: bool,
    runs: u32,
    /// Events with an id that were passed to the caller.
    numbered_events: u64,
    /// Those of them that the present source sent.
    source_events: u64,
    /// Bytes received since the last event with an id.
    bytes_since_event: usize,
    first_event_at: Instant,
    last_event_at: Instant,
    longest_gap: Duration,
    /// Whether the stream ends because its caller reads too slowly.
    is_ended: Rc<Cell<bool>>,
    /// Event gaps of the present source, from which its pace is measured.
    gaps: GapWindow,
    /// Whether the next event in the buffer came from a read that waited for it.
    was_awaited: bool,
}

impl StreamRelay {
    /// Starts a relay whose first bytes are already in `buffer`. `runs` counts the attempts so far
    /// that may have executed the request; at the route's `max_attempts` the stream is not resumed
    /// any more, so a caller passes that number to rule out a resume.
    pub fn new(
        node: Rc<NodeState>,
        caller: Rc<CallerRequest>,
        placement_request: PlacementRequest,
        stream: TargetStream,
        buffer: EventBuffer,
        runs: u32,
    ) -> Self {
        let last_event_id = caller.parsed_headers.last_event;
        let first_event_at = node.now();
        Self {
            node,
            caller,
            placement_request,
            stream: Some(stream),
            buffer,
            last_event_id,
            resumed: false,
            runs,
            numbered_events: 0,
            source_events: 0,
            bytes_since_event: 0,
            first_event_at,
            last_event_at: first_event_at,
            longest_gap: Duration::ZERO,
            is_ended: Rc::default(),
            gaps: GapWindow::default(),
            was_awaited: false,
        }
    }

    /// The node that relays the stream.
    pub fn node(&self) -> &Rc<NodeState> {
        &self.node
    }

    /// The id of the caller's request.
    pub fn request_id(&self) -> &str {
        &self.caller.parsed_headers.id
    }

    /// To be set before the relay is dropped because its caller reads too slowly, so that this does not
    /// count as one that left.
    pub fn ended_flag(&self) -> Rc<Cell<bool>> {
        self.is_ended.clone()
    }

    /// Returns the next bytes for the caller; `None` at the stream's end.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        loop {
            if let Some(event) = self.buffer.next_event() {
                match self.accept_event(event) {
                    Ok(Some(bytes)) => return Some(Ok(bytes)),
                    Ok(None) => continue,
                    Err(reason) => return Some(Err(self.abort(reason))),
                }
            }
            let resumed = match self.read().await {
                Ok(ReadOutcome::More) => continue,
                Ok(ReadOutcome::End) => {
                    self.finish();
                    return None;
                }
                Ok(ReadOutcome::Stopped) => {
                    return Some(Err(self.abort("this VM stops".to_owned())));
                }
                Ok(ReadOutcome::Silent(silent_for)) => self.replace_silent_target(silent_for).await,
                Err(reason) => self.resume(reason).await,
            };
            if let Err(reason) = resumed {
                return Some(Err(self.abort(reason)));
            }
        }
    }

    /// Checks an event's id against the last one: after a resume, an event that the caller
    /// already has is skipped, and missing events are an error. For a new event with an id, this counts it,
    /// measures the time since the last one and renews the helpers' reservations.
    fn accept_event(&mut self, event: StreamEvent) -> Result<Option<Bytes>, String> {
        let Some(id) = event.id else {
            if self.resumed && !event.is_comment() {
                return Err("an event without an id does not continue the stream".to_owned());
            }
            return Ok(Some(event.bytes));
        };
        if let Some(last) = self.last_event_id {
            if id <= last && self.resumed {
                return Ok(None);
            }
            if id > last + 1 && self.resumed {
                return Err(format!("event {id} follows event {last}"));
            }
        }
        self.last_event_id = Some(id);
        self.numbered_events += 1;
        self.source_events += 1;
        if self.numbered_events == 1
            && let Some(target) = self
                .stream
                .as_ref()
                .and_then(|stream| stream.source.target())
        {
            let parts = &self.caller.parsed_headers.shared_parts;
            report_served(&self.node, self.caller.digest, parts, target);
        }
        self.bytes_since_event = self.buffer.bytes.len();
        let now = self.node.now();
        self.longest_gap = self.longest_gap.max(now - self.last_event_at);
        self.last_event_at = now;
        let was_awaited = std::mem::take(&mut self.was_awaited);
        let measured_gap = self.gaps.record_event(now, was_awaited);
        if let Some(stream) = &mut self.stream
            && let StreamSource::Target {
                target,
                reservations,
                ..
            } = &mut stream.source
        {
            if let Some(gap) = measured_gap {
                record_gap(&self.node, target, self.placement_request.job, gap);
            }
            reservations.renew_if_due();
            self.node.paths.borrow_mut().record_received(now);
        }
        Ok(Some(event.bytes))
    }

    /// Reads more bytes into the event buffer.
    async fn read(&mut self) -> Result<ReadOutcome, String> {
        let now = self.node.now();
        let left = self.caller.time_left(now);
        // A stream that cannot be resumed elsewhere is not ended for silence alone. Bytes without
        // an event do not end a silence.
        let silence = now.saturating_duration_since(self.last_event_at);
        let reads_target = self.reads_target();
        let check_after = self.caller.route.max_event_gap.mul_f64(LOST_PATH_GAPS);
        let is_cut_off = reads_target && may_move(&self.node, &self.caller);
        let max_silence = if is_cut_off {
            check_after
        } else {
            let event_timeout = self.caller.route.event_timeout();
            event_timeout.mul_f64(EVENT_TIMEOUT_SHARE)
        };
        let read_timeout = if self.may_resume(now) {
            max_silence.saturating_sub(silence).min(left)
        } else {
            left
        };
        let Some(stream) = &mut self.stream else {
            return Err("no target".to_owned());
        };
        let read = tokio::select! {
            read = timeout(read_timeout, stream.connection.next_chunk()) => read,
            () = sleep(check_after.saturating_sub(silence)), if reads_target && silence < check_after => {
                if let Some(target) = stream.source.target() {
                    self.node.paths.borrow_mut().record_silence(target);
                }
                return Ok(ReadOutcome::More);
            }
            // The stream has less time from now on.
            () = self.caller.stop.begins() => return Ok(ReadOutcome::More),
            // The stream may be silent for less time from now on.
            () = lose_paths(&self.node, &self.caller), if reads_target && !is_cut_off => return Ok(ReadOutcome::More),
        };
        match read {
            Ok(Ok(Some(chunk))) => {
                self.buffer.push(&chunk);
                self.was_awaited = self.node.now().saturating_duration_since(now) >= MIN_READ_WAIT;
                self.bytes_since_event += chunk.len();
                if self.bytes_since_event > MAX_EVENT_BYTES {
                    self.node.metrics.count_oversized_response("event");
                    return Err(format!(
                        "response exceeds {MAX_EVENT_BYTES} bytes without an event that has an id"
                    ));
                }
                Ok(ReadOutcome::More)
            }
            Ok(Ok(None)) if !self.buffer.is_empty() => {
                Err("the response ended inside an event".to_owned())
            }
            Ok(Ok(None))
                if self.numbered_events == 0 && stream.connection.ends_with_connection() =>
            {
                report_lost(&self.node, &self.caller, &stream.source);
                Err(ENDED_BEFORE_FIRST_EVENT.to_owned())
            }
            // Whether the broken source had sent its last event is not known.
            Ok(Ok(None)) if self.resumed && self.source_events == 0 => {
                Err("the resumed response ended without an event".to_owned())
            }
            Ok(Ok(None)) => Ok(ReadOutcome::End),
            Ok(Err(error)) => {
                if self.numbered_events == 0 && error.is_lost_connection() {
                    report_lost(&self.node, &self.caller, &stream.source);
                }
                if let Some(target) = stream.source.target()
                    && error.is_lost_connection()
                {
                    self.node.record_path_failure(target);
                }
                if let Some(part) = error.oversized_part() {
                    self.node.metrics.count_oversized_response(part);
                }
                Err(error.to_string())
            }
            Err(_) if read_timeout == left && self.caller.deadline_left(now) > left => {
                Ok(ReadOutcome::Stopped)
            }
            Err(_) if read_timeout == left => Err("the request's time is over".to_owned()),
            Err(_) => Ok(ReadOutcome::Silent(max_silence)),
        }
    }

    /// Records the success at the end of the stream, and pools the connection.
    fn finish(&mut self) {
        if let Some(stream) = self.stream.take() {
            if let Some(target) = stream.source.target() {
                self.node.record_target_success(target);
            }
            self.node
                .connection_pool
                .borrow_mut()
                .put(stream.connection, self.node.now());
            tracing::info!(
                id = self.caller.parsed_headers.id,
                replica = %stream.source,
                events = self.numbered_events,
                runs = self.runs,
                longest_pause_ms = self.longest_gap.as_millis() as u64,
                pause_bound_ms = self.caller.route.max_event_gap.as_millis() as u64,
                stream_ms = self.node.now().saturating_duration_since(self.first_event_at).as_millis() as u64,
                "stream finished"
            );
        }
        let route = &self.caller.route.name;
        self.node.metrics.count_outcome(route, "finished");
    }

    fn abort(&mut self, reason: String) -> BrokenStream {
        self.stream = None;
        tracing::warn!(
            id = self.caller.parsed_headers.id,
            reason,
            last_event = self.last_event_id,
            events = self.numbered_events,
            runs = self.runs,
            "stream broken off"
        );
        let route = &self.caller.route.name;
        self.node.metrics.count_outcome(route, "broken_off");
        BrokenStream(reason)
    }

    /// Whether the stream may be resumed at another target.
    fn may_resume(&self, now: Instant) -> bool {
        let route = &self.caller.route;
        route.rerun_policy == RerunPolicy::ResumableStream
            && self.runs < route.max_attempts
            && !self.caller.time_left(now).is_zero()
    }

    /// Resumes a silent target's stream at another one. If that fails, the silent target is kept
    /// without another attempt, as it may still continue.
    async fn replace_silent_target(&mut self, silent_for: Duration) -> Result<(), String> {
        let failure = format!("silent for {} ms", silent_for.as_millis());
        let silent_stream = self.stream.take();
        let target = silent_stream
            .as_ref()
            .and_then(|stream| stream.source.target().cloned());
        match self
            .resume_on_another_target(target.as_ref(), &failure)
            .await
        {
            Ok(()) => {
                if let Some(target) = target {
                    self.node.record_target_failure(&target, false, &failure);
                    self.node.record_path_failure(&target);
                }
                self.buffer = EventBuffer::default();
            }
            Err(reason) => {
                tracing::info!(
                    id = self.caller.parsed_headers.id,
                    reason,
                    "waiting for the silent target"
                );
                self.stream = silent_stream;
                // Rules out further resumes: see `may_resume`.
                self.runs = self.runs.max(self.caller.route.max_attempts);
            }
        }
        Ok(())
    }

    /// Resumes the stream at another target after a failure, if the route and the retry budget allow.
    async fn resume(&mut self, failure: String) -> Result<(), String> {
        let failed_stream = self.stream.take();
        let failed_target = failed_stream.and_then(|stream| stream.source.target().cloned());
        if let Some(target) = &failed_target {
            self.node.record_target_failure(target, false, &failure);
        }
        self.buffer = EventBuffer::default();
        self.resume_on_another_target(failed_target.as_ref(), &failure)
            .await
    }

    /// Prepares for the events of another source.
    fn begin_resumed(&mut self) {
        self.resumed = true;
        self.source_events = 0;
        self.bytes_since_event = 0;
        self.gaps = GapWindow::default();
    }

    /// Whether the events come from a target, and not from another VM.
    fn reads_target(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| stream.source.target().is_some())
    }

    async fn resume_through_carrier(&mut self, failure: &str) -> Result<(), String> {
        let sent = carrying::send(&self.node, &self.caller, self.runs, self.last_event_id).await;
        self.runs = self.caller.route.max_attempts.max(self.runs + 1);
        let response = sent.map_err(|error| format!("{failure}; {}", error.reason))?;
        if !is_event_stream(&response.head) {
            return Err(format!("{failure}; {}", not_resumed(&response.head)));
        }
        tracing::info!(
            id = self.caller.parsed_headers.id,
            failure,
            last_event = self.last_event_id,
            carrier = %response.vm,
            "stream resumed through another VM"
        );
        self.begin_resumed();
        self.stream = Some(TargetStream {
            connection: response.connection,
            source: StreamSource::Carrier {
                vm: response.vm,
                _guard: response.guard,
            },
        });
        Ok(())
    }

    async fn resume_on_another_target(
        &mut self,
        failed_target: Option<&TargetName>,
        failure: &str,
    ) -> Result<(), String> {
        let now = self.node.now();
        if !self.may_resume(now) || !self.node.try_take_retry(&self.caller.service) {
            return Err(failure.to_owned());
        }
        if may_move(&self.node, &self.caller) {
            return self.resume_through_carrier(failure).await;
        }
        self.placement_request.excluded_targets = self.node.avoided_targets();
        self.placement_request
            .excluded_targets
            .extend(failed_target.cloned());
        // The next event is late already; the stream only has to continue.
        let objective = self.caller.route.max_event_gap;
        let give_up_after = self.placement_request.give_up_after;
        let limits = |_| PlacementLimits {
            objective,
            give_up_after,
        };
        let placed = tokio::select! {
            placed = place_in_time(&self.node, &self.caller, &mut self.placement_request, false, limits) => {
                placed.map(|outcome| outcome.answer)
            }
            () = wait_until_due(&self.node, &self.caller) => None,
        };
        let placement = match placed {
            Some(DispatchAnswer::Placed(placement)) => placement,
            Some(DispatchAnswer::Refused { reason, .. }) => {
                return Err(format!("{failure}; not resumed: {}", reason.as_str()));
            }
            None => {
                record_update(&self.node, JobUpdate::Ended(self.placement_request.job));
                return Err(format!("{failure}; not resumed in time"));
            }
        };
        let job = JobGuard::new(self.node.clone(), self.placement_request.job);
        // Logged before the request is sent, which may still fail.
        tracing::info!(
            id = self.caller.parsed_headers.id,
            failure,
            last_event = self.last_event_id,
            replica = %placement.lead,
            "stream resumed elsewhere"
        );
        self.runs += 1;
        let sent = tokio::select! {
            sent = send_placed(&self.node, &self.caller, &placement, self.last_event_id) => Some(sent),
            () = wait_until_due(&self.node, &self.caller) => None,
        };
        let (outcome, reservations) =
            sent.ok_or_else(|| format!("{failure}; no answer in time"))?;
        match outcome {
            AttemptOutcome::Responded(target_response)
                if is_event_stream(&target_response.head) =>
            {
                job.report_first_event();
                self.begin_resumed();
                self.stream = Some(TargetStream {
                    connection: target_response.connection,
                    source: StreamSource::Target {
                        _in_flight: TargetInFlightGuard::new(&self.node, &placement.lead),
                        target: placement.lead,
                        _job: job,
                        reservations,
                    },
                });
                Ok(())
            }
            AttemptOutcome::Responded(target_response) => {
                Err(format!("{failure}; {}", not_resumed(&target_response.head)))
            }
            AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason, .. } => {
                Err(format!("{failure}; {reason}"))
            }
        }
    }
}

/// Whether a response to a request to resume a stream may continue it.
fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let media_type = content_type
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(';').next());
    head.status == StatusCode::OK
        && media_type.is_some_and(|text| text.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

fn not_resumed(head: &ResponseHead) -> String {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    format!(
        "not resumed: status {}, content type {content_type:?}",
        head.status.as_u16()
    )
}

/// Reports a request as broken whose target lost the connection before the first event.
fn report_lost(node: &Rc<NodeState>, caller: &CallerRequest, source: &StreamSource) {
    if let Some(target) = source.target() {
        let parts = &caller.parsed_headers.shared_parts;
        report_broken(node, caller.digest, parts, target);
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let Some(stream) = &self.stream else {
            return;
        };
        let route = &self.caller.route.name;
        if self.is_ended.get() {
            self.node.metrics.count_outcome(route, "slow_reader");
            return;
        }
        tracing::info!(
            id = self.caller.parsed_headers.id,
            replica = %stream.source,
            events = self.numbered_events,
            "caller left its stream"
        );
        self.node.metrics.count_outcome(route, "caller_left");
    }
}
