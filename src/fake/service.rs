//! Fake plain service whose calls must not run twice.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::entry::error::IDEMPOTENCY_HEADER;

/// Faults that the fake service injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Runs every n-th call, but never answers it; 0 for none.
    pub lose_answer_every: u64,
}

#[derive(Debug)]
struct ServiceState {
    instance: String,
    work_time: Duration,
    running: u64,
    calls: u64,
    executed: BTreeMap<String, u64>,
    faults: ServiceFaults,
}

type SharedService = web::Data<Arc<Mutex<ServiceState>>>;

/// Serves a fake service at `listen`; each call takes `work_time`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve(listen: &str, work_time: Duration) -> std::io::Result<Server> {
    let state = Arc::new(Mutex::new(ServiceState {
        instance: format!("{:016x}", rand::random::<u64>()),
        work_time,
        running: 0,
        calls: 0,
        executed: BTreeMap::new(),
        faults: ServiceFaults::default(),
    }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .route("/v1/streams", web::get().to(list))
            .route("/v1/streams/{request}", web::delete().to(cancel))
            .route("/v1/fake/faults", web::post().to(set_faults))
            .route("/v1/fake/audit", web::get().to(audit))
            .default_service(web::to(execute))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

async fn execute(state: SharedService, request: HttpRequest) -> HttpResponse {
    let key = request.headers().get(IDEMPOTENCY_HEADER);
    let key = key
        .and_then(|key| key.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let (work_time, serial, lose_answer) = {
        let mut state = state.lock().expect("no holder panics");
        state.running += 1;
        state.calls += 1;
        if !key.is_empty() {
            *state.executed.entry(key).or_default() += 1;
        }
        let interval = state.faults.lose_answer_every;
        let lose_answer = interval > 0 && state.calls.is_multiple_of(interval);
        (state.work_time, state.calls, lose_answer)
    };
    sleep(work_time).await;
    state.lock().expect("no holder panics").running -= 1;
    if lose_answer {
        std::future::pending::<()>().await;
    }
    HttpResponse::Ok().json(serde_json::json!({ "serial": serial, "path": request.path() }))
}

async fn list(state: SharedService) -> HttpResponse {
    let state = state.lock().expect("no holder panics");
    HttpResponse::Ok().json(serde_json::json!({ "instance": state.instance, "streams": [] }))
}

async fn cancel() -> HttpResponse {
    HttpResponse::NotFound().finish()
}

async fn set_faults(state: SharedService, faults: web::Json<ServiceFaults>) -> HttpResponse {
    state.lock().expect("no holder panics").faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn audit(state: SharedService) -> HttpResponse {
    let state = state.lock().expect("no holder panics");
    let executed_twice = state.executed.values().filter(|count| **count > 1).count();
    HttpResponse::Ok().json(serde_json::json!({
        "calls": state.calls,
        "executed_keys": state.executed.len(),
        "executed_twice": executed_twice,
        "executed": state.executed,
    }))
}
