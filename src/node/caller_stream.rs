//! The socket of a caller, from which the HTTP server reads one request at a time.
//!
//! The server itself would read and decode any number of requests ahead. A request that the caller sends
//! before the response to the last one is taken stays in the socket's buffer.

use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::connection_budget::CallerConnection;

/// Most bytes that the server gets before it decodes them.
const MAX_BURST_BYTES: usize = 16 * 1024;
/// Between checks whether a caller that pipelines has left.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(250);
/// For which a caller may send on after its head was refused, so that it can read the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(1);
const HEAD_REFUSAL: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A caller's socket, whose reads end with the current request.
#[derive(Debug)]
pub struct CallerStream {
    socket: TcpStream,
    connection: Rc<CallerConnection>,
    burst_bytes: usize,
    departure_check: Option<Pin<Box<Sleep>>>,
    discard_end: Option<Pin<Box<Sleep>>>,
    read_waker: Rc<ReadWaker>,
}

/// Wakes the server when it may read again.
#[derive(Debug, Default)]
pub struct ReadWaker(std::cell::RefCell<Option<Waker>>);

impl ReadWaker {
    /// Wakes the server's task, if it waits to read.
    pub fn wake(&self) {
        if let Some(waker) = self.0.take() {
            waker.wake();
        }
    }
}

impl CallerStream {
    /// Wraps the socket of `connection`.
    pub fn new(socket: TcpStream, connection: Rc<CallerConnection>) -> Self {
        Self {
            socket,
            connection,
            burst_bytes: 0,
            departure_check: None,
            discard_end: None,
            read_waker: Rc::default(),
        }
    }

    /// The connection's progress.
    pub fn connection(&self) -> &Rc<CallerConnection> {
        &self.connection
    }

    /// What wakes the server to read a request's body.
    pub fn read_waker(&self) -> &Rc<ReadWaker> {
        &self.read_waker
    }

    /// Reads bytes of the current request only.
    fn poll_request(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst_bytes >= MAX_BURST_BYTES {
            self.burst_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let most = buffer.remaining().min(MAX_BURST_BYTES - self.burst_bytes);
        let bytes = buffer.initialize_unfilled_to(most);
        let peeked = self.socket.poll_peek(cx, &mut ReadBuf::new(bytes));
        let Poll::Ready(peeked) = peeked else {
            self.burst_bytes = 0;
            return Poll::Pending;
        };
        let peeked = peeked?;
        if peeked == 0 {
            return Poll::Ready(Ok(()));
        }
        let mut scanner = self.connection.scanner();
        let is_head = scanner.is_in_head();
        let passed = scanner.scan(&bytes[..peeked]);
        if is_head && scanner.head_bytes() > self.connection.header_bytes() {
            self.refuse_head();
            return self.poll_discard(cx);
        }
        let mut part = ReadBuf::new(&mut bytes[..passed]);
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        if read < passed {
            scanner = self.connection.scanner();
            scanner.scan(part.filled());
        }
        buffer.advance(read);
        self.burst_bytes += read;
        self.connection.record_read(scanner);
        Poll::Ready(Ok(()))
    }

    fn refuse_head(&mut self) {
        self.connection.report_long_head();
        // The response to the request before is taken, so that nothing else is being sent. A caller that
        // cannot take these bytes sees its connection closed.
        self.socket.try_write(HEAD_REFUSAL).ok();
        let end = Instant::now() + DISCARD_TIME;
        self.discard_end = Some(Box::pin(sleep_until(end)));
    }

    /// Discards what the caller sends on, and then reports the end of its bytes.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut discarded = [0; 4096];
        loop {
            if let Some(end) = &mut self.discard_end
                && end.as_mut().poll(cx).is_ready()
            {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Completes when the caller has left; its further bytes stay unread.
    fn poll_departure(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.burst_bytes = 0;
        *self.read_waker.0.borrow_mut() = Some(cx.waker().clone());
        if !self.connection.scanner().is_complete() {
            // The server decodes the head before it reads the body.
            return Poll::Pending;
        }
        let mut byte = [0];
        let peeked = ready!(self.socket.poll_peek(cx, &mut ReadBuf::new(&mut byte)))?;
        if peeked == 0 {
            return Poll::Ready(Ok(()));
        }
        self.connection.report_pipelined();
        // Its end is behind unread bytes, where only the socket's state shows it.
        loop {
            let is_closed = match pin!(self.socket.ready(Interest::READABLE)).poll(cx) {
                Poll::Ready(state) => state?.is_read_closed(),
                Poll::Pending => false,
            };
            if is_closed {
                return Poll::Ready(Ok(()));
            }
            let check = self
                .departure_check
                .get_or_insert_with(|| Box::pin(sleep(DEPARTURE_INTERVAL)));
            ready!(check.as_mut().poll(cx));
            self.departure_check = None;
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let scanner = this.connection.scanner();
        if this.discard_end.is_some() {
            this.poll_discard(cx)
        } else if scanner.is_in_head() || scanner.is_in_body() {
            this.poll_request(cx, buffer)
        } else {
            this.poll_departure(cx)
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.socket).poll_write(cx, bytes);
        match &written {
            Poll::Ready(Ok(count)) => this.connection.record_written(Some(*count)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => this.connection.record_written(None),
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.socket).poll_flush(cx))?;
        if this.connection.record_flushed() {
            // The server read for this request before it sent the response.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(cx)
    }
}
