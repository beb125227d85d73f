//! Fake platform: the append-only log, the list of VMs, injected faults.

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::ids::VmName;
use crate::logstore::log::{AppendBody, ReadResponse, StoredRecord};
use crate::logstore::vms::VmList;

const MAX_BODY_BYTES: usize = 64 << 20;
const DEFAULT_READ_LIMIT: usize = 500;

/// Faults that the fake platform injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether the log and the list of VMs answer every call with an error.
    pub down: bool,
    /// Delay of appends, reads and lists of VMs, in milliseconds.
    pub delay_ms: u64,
    /// Every n-th append takes effect, but its response is an error; 0 for none. A refused
    /// append still has no effect.
    pub lose_answer_every: u64,
    /// Every n-th append is refused without effect; 0 for none.
    pub refuse_append_every: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    /// Offset of the oldest record that is kept.
    head: u64,
    records: Vec<StoredRecord>,
    appends: u64,
    reads: u64,
    vms: Vec<VmName>,
    faults: PlatformFaults,
}

impl PlatformState {
    fn end_offset(&self) -> u64 {
        self.head - 1 + self.records.len() as u64
    }
}

type SharedPlatform = web::Data<Arc<Mutex<PlatformState>>>;

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: Option<usize>,
}

#[derive(Deserialize)]
struct TruncateBody {
    head: u64,
}

/// Serves a fake platform at `address`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve(address: &str, vms: Vec<VmName>) -> std::io::Result<Server> {
    let state = Arc::new(Mutex::new(PlatformState {
        head: 1,
        vms,
        ..PlatformState::default()
    }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .route("/v1/log/records", web::post().to(append))
            .route("/v1/log/records", web::get().to(read))
            .route("/v1/vms", web::get().to(list_vms))
            .route("/v1/vms", web::put().to(set_vms))
            .route("/v1/fake/faults", web::post().to(set_faults))
            .route("/v1/fake/cut", web::post().to(truncate_start))
            .route("/v1/fake/counts", web::get().to(counts))
    });
    Ok(server.workers(1).bind(address)?.run())
}

fn with_state<T>(state: &SharedPlatform, work: impl FnOnce(&mut PlatformState) -> T) -> T {
    work(&mut state.lock().expect("no holder panics"))
}

/// Delays the call, and refuses it while the platform is down.
async fn inject_faults(state: &SharedPlatform) -> Option<HttpResponse> {
    let faults = with_state(state, |state| state.faults.clone());
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    let down = with_state(state, |state| state.faults.down);
    down.then(|| HttpResponse::ServiceUnavailable().finish())
}

async fn append(state: SharedPlatform, body: web::Json<AppendBody>) -> HttpResponse {
    if let Some(refusal) = inject_faults(&state).await {
        return refusal;
    }
    let at_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64);
    with_state(&state, |state| {
        state.appends += 1;
        let is_nth_append = |interval: u64| interval > 0 && state.appends.is_multiple_of(interval);
        let refuse = is_nth_append(state.faults.refuse_append_every);
        let lose = is_nth_append(state.faults.lose_answer_every);
        if refuse {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let first_offset = state.end_offset() + 1;
        for (index, text) in body.into_inner().records.into_iter().enumerate() {
            state.records.push(StoredRecord {
                offset: first_offset + index as u64,
                at_ms,
                text,
            });
        }
        if lose {
            return HttpResponse::GatewayTimeout().finish();
        }
        HttpResponse::Ok().json(serde_json::json!({ "offset": first_offset }))
    })
}

async fn read(state: SharedPlatform, query: web::Query<ReadQuery>) -> HttpResponse {
    if let Some(refusal) = inject_faults(&state).await {
        return refusal;
    }
    with_state(&state, |state| {
        state.reads += 1;
        let skip = query.from.saturating_sub(state.head) as usize;
        let limit = query.limit.unwrap_or(DEFAULT_READ_LIMIT);
        let records = state.records.iter().skip(skip).take(limit);
        HttpResponse::Ok().json(ReadResponse {
            head: state.head,
            end: state.end_offset(),
            records: records
                .map(|record| StoredRecord {
                    offset: record.offset,
                    at_ms: record.at_ms,
                    text: record.text.clone(),
                })
                .collect(),
        })
    })
}

async fn list_vms(state: SharedPlatform) -> HttpResponse {
    if let Some(refusal) = inject_faults(&state).await {
        return refusal;
    }
    let vms = with_state(&state, |state| state.vms.clone());
    HttpResponse::Ok().json(VmList { vms })
}

async fn set_vms(state: SharedPlatform, list: web::Json<VmList>) -> HttpResponse {
    with_state(&state, |state| state.vms = list.into_inner().vms);
    HttpResponse::NoContent().finish()
}

async fn set_faults(state: SharedPlatform, faults: web::Json<PlatformFaults>) -> HttpResponse {
    with_state(&state, |state| state.faults = faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn truncate_start(state: SharedPlatform, body: web::Json<TruncateBody>) -> HttpResponse {
    with_state(&state, |state| {
        let removed_count = body
            .head
            .min(state.end_offset() + 1)
            .saturating_sub(state.head) as usize;
        state.records.drain(..removed_count);
        state.head += removed_count as u64;
    });
    HttpResponse::NoContent().finish()
}

async fn counts(state: SharedPlatform) -> HttpResponse {
    with_state(&state, |state| {
        HttpResponse::Ok().json(serde_json::json!({
            "appends": state.appends,
            "reads": state.reads,
            "head": state.head,
            "end": state.end_offset(),
        }))
    })
}
