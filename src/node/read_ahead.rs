//! Reads streams on from their targets while their callers read slowly, so that the targets do not cut
//! them off.
//!
//! As long as the caller reads, the HTTP server polls the stream itself and no event is held. Only when the
//! server has not asked for the next event for a while, as its own buffer and the socket's are full, does a
//! task read on and hold the events.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, MessageBody};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use tokio::time::sleep;

use super::relay::{BrokenStream, StreamRelay};
use super::state::NodeState;
use crate::policy::slow_readers::{ReadAheadLimits, UnreadResponse, choose_slowest};

const CHECK_INTERVAL: Duration = Duration::from_millis(250); // a stream is read on after one to two of these; targets cut off unread responses after seconds
const EVENT_OVERHEAD_BYTES: usize = 64; // of an event that is held: its place in the queue and its allocation

type EventSource = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenStream>>>>;

/// The streams of a node, and the memory that those hold whose callers read slowly.
pub struct StreamBuffers {
    limits: ReadAheadLimits,
    held_bytes: Cell<usize>,
    streams: RefCell<Vec<Weak<BufferedStream>>>,
    /// Whether a task checks the streams; it ends with the last of them.
    is_checking: Cell<bool>,
}

impl StreamBuffers {
    /// Creates the state of a node without streams.
    pub fn new(limits: ReadAheadLimits) -> Self {
        Self {
            limits,
            held_bytes: Cell::new(0),
            streams: RefCell::default(),
            is_checking: Cell::new(false),
        }
    }

    fn streams(&self) -> Vec<Rc<BufferedStream>> {
        let streams = self.streams.borrow();
        streams.iter().filter_map(Weak::upgrade).collect()
    }

    /// Ends the responses of the slowest readers until the others fit into the bound of the VM.
    fn make_room(&self, now: Instant) {
        while self.held_bytes.get() > self.limits.total {
            let streams = self.streams();
            let responses: Vec<UnreadResponse> =
                streams.iter().map(|stream| stream.unread(now)).collect();
            let Some(slowest) = choose_slowest(&responses) else {
                return;
            };
            streams[slowest].end(responses[slowest], self.held_bytes.get());
        }
    }
}

/// Regularly looks for streams whose callers have stopped to read, as long as there are streams.
async fn check_streams(node: Rc<NodeState>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let buffers = &node.stream_buffers;
        let mut streams = buffers.streams.borrow_mut();
        streams.retain(|stream| stream.strong_count() > 0);
        if streams.is_empty() {
            buffers.is_checking.set(false);
            return;
        }
        drop(streams);
        for stream in buffers.streams() {
            stream.read_on_if_stalled();
        }
    }
}

/// An event that the caller has not read yet.
struct HeldEvent {
    bytes: Bytes,
    received_at: Instant,
}

/// A stream between its relay and the HTTP server.
struct BufferedStream {
    node: Rc<NodeState>,
    request_id: String,
    /// The relay; `None` once the target's stream has ended.
    source: RefCell<Option<EventSource>>,
    held: RefCell<VecDeque<HeldEvent>>,
    held_bytes: Cell<usize>,
    /// How the stream was broken off; told to the caller after the events that are held.
    failure: RefCell<Option<BrokenStream>>,
    /// Tells the relay that the stream was ended because of its reader.
    is_ended: Rc<Cell<bool>>,
    /// Whether the server waits for the source. Else it has not asked again since it got an event.
    is_awaited: Cell<bool>,
    /// Whether the server had not asked for the next event at the last check either.
    is_stalled: Cell<bool>,
    was_read_ahead: Cell<bool>,
    was_full: Cell<bool>,
    /// The task that reads on, while there is one. The server polls the source only without it.
    reader: RefCell<Option<JoinHandle<()>>>,
}

impl BufferedStream {
    /// Gives the server the next event: the oldest held one, or else the source's.
    fn poll_for_caller(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        self.is_stalled.set(false);
        self.is_awaited.set(false);
        if let Some(event) = self.take_held() {
            return Poll::Ready(Some(Ok(event)));
        }
        self.stop_reader();
        let polled = self.poll_source(cx);
        self.is_awaited.set(polled.is_pending());
        polled
    }

    fn poll_source(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        let mut source = self.source.borrow_mut();
        let Some(relay) = source.as_mut() else {
            return Poll::Ready(self.failure.take().map(Err));
        };
        let polled = ready!(relay.as_mut().poll_next(cx));
        if !matches!(polled, Some(Ok(_))) {
            *source = None;
        }
        Poll::Ready(polled)
    }

    fn take_held(&self) -> Option<Bytes> {
        let event = self.held.borrow_mut().pop_front()?;
        self.count_held(self.held_bytes.get() - event.bytes.len() - EVENT_OVERHEAD_BYTES);
        Some(event.bytes)
    }

    fn hold(&self, event: &Bytes) {
        let now = self.node.now();
        self.held.borrow_mut().push_back(HeldEvent {
            // The event is a part of the buffer that the target's bytes were read into, which would
            // stay allocated as a whole.
            bytes: Bytes::copy_from_slice(event),
            received_at: now,
        });
        self.count_held(self.held_bytes.get() + event.len() + EVENT_OVERHEAD_BYTES);
        self.node.stream_buffers.make_room(now);
    }

    fn count_held(&self, bytes: usize) {
        let buffers = &self.node.stream_buffers;
        let total = buffers.held_bytes.get() - self.held_bytes.replace(bytes) + bytes;
        buffers.held_bytes.set(total);
        self.node.metrics.read_ahead_bytes.set(total as i64);
    }

    fn unread(&self, now: Instant) -> UnreadResponse {
        let held = self.held.borrow();
        let oldest = held.front().map(|event| event.received_at);
        UnreadResponse {
            bytes: self.held_bytes.get(),
            waited: oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        }
    }

    fn is_full(&self) -> bool {
        self.held_bytes.get() >= self.node.stream_buffers.limits.response
    }

    /// Starts a task that reads on if the server does not ask for the next event.
    fn read_on_if_stalled(self: &Rc<Self>) {
        let is_read = self.is_awaited.get() || self.reader.borrow().is_some();
        if is_read || self.is_full() || self.source.borrow().is_none() {
            return;
        }
        if !self.is_stalled.replace(true) && self.held.borrow().is_empty() {
            return;
        }
        if !self.was_read_ahead.replace(true) {
            self.node.metrics.read_ahead_streams.inc();
            tracing::info!(id = self.request_id, "stream read ahead of its caller");
        }
        // Without a reference of the task, a caller that leaves drops the stream at once.
        let stream = Rc::downgrade(self);
        let read_on = poll_fn(move |cx| match stream.upgrade() {
            Some(stream) => stream.poll_ahead(cx),
            None => Poll::Ready(()),
        });
        *self.reader.borrow_mut() = Some(actix_rt::spawn(read_on));
    }

    /// Holds what the source has, up to the bound of a response.
    fn poll_ahead(&self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.is_full() {
            match ready!(self.poll_source(cx)) {
                Some(Ok(event)) => self.hold(&event),
                Some(Err(failure)) => {
                    *self.failure.borrow_mut() = Some(failure);
                    break;
                }
                None => break,
            }
            if self.is_ended.get() {
                break;
            }
        }
        if self.is_full() && !self.was_full.replace(true) {
            self.node.metrics.read_ahead_full.inc();
            tracing::info!(
                id = self.request_id,
                unread_bytes = self.held_bytes.get(),
                "stream not read further ahead of its caller"
            );
        }
        *self.reader.borrow_mut() = None;
        Poll::Ready(())
    }

    fn stop_reader(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.abort();
        }
    }

    /// Ends the response because its caller reads slowest: its target's work ends, and the caller's
    /// connection is closed when the server asks for the next event.
    fn end(&self, unread: UnreadResponse, total_bytes: usize) {
        self.is_ended.set(true);
        self.stop_reader();
        tracing::warn!(
            id = self.request_id,
            unread_bytes = unread.bytes,
            unread_ms = unread.waited.as_millis() as u64,
            total_bytes,
            "slow reader's response ended"
        );
        self.node.metrics.slow_readers_ended.inc();
        self.source.take();
        self.held.take();
        self.count_held(0);
        let failure = BrokenStream("the caller reads too slowly".to_owned());
        *self.failure.borrow_mut() = Some(failure);
    }
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        self.stop_reader();
        let unread_bytes = self.held_bytes.get();
        self.count_held(0);
        // Else the relay says that the caller left.
        if unread_bytes > 0 && self.source.borrow().is_none() {
            tracing::info!(
                id = self.request_id,
                unread_bytes,
                "caller left events unread"
            );
        }
    }
}

/// The body of a response whose events are those of a [`StreamRelay`].
pub struct StreamBody(Rc<BufferedStream>);

impl StreamBody {
    /// The body of a response to the caller of `relay`.
    pub fn new(relay: StreamRelay) -> Self {
        let node = relay.node().clone();
        let stream = Rc::new(BufferedStream {
            node: node.clone(),
            request_id: relay.request_id().to_owned(),
            is_ended: relay.ended_flag(),
            source: RefCell::new(Some(Box::pin(unfold(Some(relay), next_event)))),
            held: RefCell::default(),
            held_bytes: Cell::new(0),
            failure: RefCell::default(),
            is_awaited: Cell::new(false),
            is_stalled: Cell::new(false),
            was_read_ahead: Cell::new(false),
            was_full: Cell::new(false),
            reader: RefCell::default(),
        });
        let buffers = &node.stream_buffers;
        buffers.streams.borrow_mut().push(Rc::downgrade(&stream));
        if !buffers.is_checking.replace(true) {
            actix_rt::spawn(check_streams(node.clone()));
        }
        Self(stream)
    }
}

async fn next_event(
    relay: Option<StreamRelay>,
) -> Option<(Result<Bytes, BrokenStream>, Option<StreamRelay>)> {
    let mut relay = relay?;
    match relay.next().await? {
        Ok(bytes) => Some((Ok(bytes), Some(relay))),
        Err(broken) => Some((Err(broken), None)),
    }
}

impl MessageBody for StreamBody {
    type Error = BrokenStream;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        self.0.poll_for_caller(cx)
    }
}
