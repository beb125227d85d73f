//! Memory that is reserved at the helpers of a split prompt.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::paths::answers_report;
use super::rate_limits::observe_limit;
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::http_client::connection::open_connection;
use crate::platform::callers::decode_response_headers;
use crate::platform::orders::{ORDER_PATH, encode_memory_release, encode_memory_reserve};

const LEASE_DURATION: Duration = Duration::from_millis(3_600); // memory must be free 4 s after its request ended, even if this VM died
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500); // of LEASE_DURATION, leaves 2.1 s for the next event and the target's response; most long requests end before
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(250);
const RESERVATION_MAX_IDLE: Duration = Duration::from_secs(4);

/// Memory reserved at helpers for one request, released when dropped.
///
/// Leases are renewed only as events arrive, or as the lead answers while its first event is due later
/// than a lease lasts, so that memory for a lead engine that died is free again when its lease ends.
pub struct Reservations {
    node: Option<Rc<NodeState>>,
    held: Vec<TargetReservation>,
    renewed_at: Option<Instant>,
    /// Renews the leases until the first event.
    first_event_wait: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct TargetReservation {
    target: TargetRecord,
    id: String,
    tokens: u64,
}

impl Reservations {
    /// No reservations yet, to be made by `node`.
    pub fn new(node: &Rc<NodeState>) -> Self {
        Self {
            node: Some(node.clone()),
            held: Vec::new(),
            renewed_at: None,
            first_event_wait: None,
        }
    }

    /// Reserves memory for `tokens` at a target under the reservation id `id`.
    ///
    /// # Errors
    ///
    /// Fails if the target does not confirm it; it is released with the others, as the response may be
    /// what was lost.
    pub async fn reserve(
        &mut self,
        target: &TargetRecord,
        id: &str,
        tokens: u64,
    ) -> Result<(), String> {
        let Some(node) = &self.node else {
            return Ok(());
        };
        let reservation = TargetReservation {
            target: target.clone(),
            id: id.to_owned(),
            tokens,
        };
        self.held.push(reservation.clone());
        self.renewed_at = Some(node.now());
        set_lease(node, &reservation).await
    }

    /// Renews the leases while the request waits for its first event, if they would end before that is
    /// due, which is at most `first_event_in` from now.
    ///
    /// A target cuts off a request whose memory expires. The lead is asked for its report before each
    /// renewal: if it died, the leases end.
    pub fn renew_until_first_event(&mut self, lead: &TargetRecord, first_event_in: Duration) {
        let Some(node) = &self.node else {
            return;
        };
        let due_at = node.now() + first_event_in;
        if self.held.is_empty() || first_event_in <= lease_duration(node) {
            return;
        }
        let (node, lead, held) = (node.clone(), lead.clone(), self.held.clone());
        self.first_event_wait = Some(actix_rt::spawn(async move {
            let mut lease_ends_at = node.now() + lease_duration(&node);
            while lease_ends_at < due_at && node.now() < lease_ends_at {
                sleep(RENEWAL_INTERVAL).await;
                if answers_report(&node, &lead).await {
                    lease_ends_at = node.now() + lease_duration(&node);
                    renew(&node, &held).await;
                }
            }
        }));
    }

    /// Renews the leases if they were last set [`RENEWAL_INTERVAL`] ago or earlier; called for each
    /// new event that has an id.
    pub fn renew_if_due(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let now = node.now();
        let due = |at: Instant| now.saturating_duration_since(at) >= RENEWAL_INTERVAL;
        if self.held.is_empty() || !self.renewed_at.is_some_and(due) {
            return;
        }
        self.renewed_at = Some(now);
        if let Some(wait) = self.first_event_wait.take() {
            wait.abort();
        }
        let (node, held) = (node.clone(), self.held.clone());
        actix_rt::spawn(async move { renew(&node, &held).await });
    }
}

async fn renew(node: &Rc<NodeState>, held: &[TargetReservation]) {
    let renewals = held.iter().map(|reservation| async move {
        if let Err(reason) = set_lease(node, reservation).await {
            tracing::info!(replica = %reservation.target.name, id = reservation.id, reason, "reservation not renewed");
        }
    });
    join_all(renewals).await;
}

async fn set_lease(node: &Rc<NodeState>, reservation: &TargetReservation) -> Result<(), String> {
    let body = encode_memory_reserve(&reservation.id, reservation.tokens, lease_duration(node));
    send_reservation_request(node, &reservation.target, body).await
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(wait) = self.first_event_wait.take() {
            wait.abort();
        }
        let Some(node) = self.node.take() else {
            return;
        };
        for reservation in self.held.drain(..) {
            let node = node.clone();
            actix_rt::spawn(async move {
                let body = encode_memory_release(&reservation.id);
                if let Err(reason) =
                    send_reservation_request(&node, &reservation.target, body).await
                {
                    tracing::info!(replica = %reservation.target.name, id = reservation.id, reason, "release not confirmed: the lease ends it");
                }
            });
        }
    }
}

/// Duration of a lease, within the platform's limit.
fn lease_duration(node: &NodeState) -> Duration {
    LEASE_DURATION.min(node.settings.bounds.max_reservation)
}

/// Asks a target to reserve, renew or release memory.
async fn send_reservation_request(
    node: &Rc<NodeState>,
    target: &TargetRecord,
    body: String,
) -> Result<(), String> {
    let send = async {
        let now = node.now();
        let pooled =
            node.connection_pool
                .borrow_mut()
                .take(target.address, None, RESERVATION_MAX_IDLE, now);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                node.metrics.connections_opened.inc();
                let opened =
                    open_connection(target.address, node.settings.target_source, now).await;
                opened.map_err(|error| error.to_string())?
            }
        };
        let head = reservation_request_head(target);
        let body = Bytes::from(body);
        let exchanged = connection.exchange(None, head, &body).await;
        let response_head = exchanged.map_err(|error| error.to_string())?;
        let parsed_headers = decode_response_headers(&response_head.headers);
        if parsed_headers.leaving {
            node.record_target_leaving(target);
        }
        observe_limit(node, target, &parsed_headers, now);
        if response_head.status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(pause) = parsed_headers.pause
        {
            node.record_pause(target, pause);
        }
        let body = connection.read_body(&node.body_budget).await;
        body.map_err(|error| error.to_string())?;
        node.connection_pool
            .borrow_mut()
            .put(connection, node.now());
        if response_head.status.is_success() {
            Ok(())
        } else {
            Err(format!("target answered {}", response_head.status.as_u16()))
        }
    };
    timeout(RESERVATION_TIMEOUT, send)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_owned()))
}

fn reservation_request_head(target: &TargetRecord) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static(ORDER_PATH);
    head.headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        head.headers.insert(header::HOST, host);
    }
    head
}
