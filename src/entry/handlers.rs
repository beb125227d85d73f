//! HTTP handlers for entry addresses, models, decisions, health, status and metrics.

use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::error::{ApiError, ErrorKind, Result};
use super::shared::EntryShared;
use crate::ids::RequestId;

/// Body of `GET /v1/entries`: the addresses that the caller may use.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryList {
    /// Addresses of entries, in the order in which the caller should try them.
    pub entries: Vec<String>,
    /// How long to keep the list, in seconds.
    pub keep_seconds: u64,
}

/// `GET /v1/entries`: the entries of all members, without those that are leaving or evicted. The
/// order depends on the caller's address and key, which spreads callers over entries.
pub async fn entries(http: HttpRequest, shared: web::Data<EntryShared>) -> HttpResponse {
    let caller = http.peer_addr().map(|addr| addr.ip().to_string());
    let caller = caller.unwrap_or_default();
    let key = http
        .headers()
        .get("authorization")
        .map_or(0, |key| xxh3_64(key.as_bytes()));
    let mut entries: Vec<String> = shared.with_followed(|followed| {
        let members = followed.view.members().iter();
        members
            .map(|(_, member)| member.join.entry_address.clone())
            .collect()
    });
    if entries.is_empty() {
        let error = ApiError::not_run(
            ErrorKind::StaleView,
            "this entry knows no members yet; retry later, or use another entry",
        );
        return actix_web::ResponseError::error_response(
            &error.retry_after(std::time::Duration::from_secs(1)),
        );
    }
    entries.sort_by_key(|entry| xxh3_64(format!("{caller}\n{key}\n{entry}").as_bytes()));
    let keep_seconds = (shared.settings.drain_time.as_secs() / 2).max(1);
    HttpResponse::Ok()
        .insert_header(("cache-control", format!("max-age={keep_seconds}")))
        .json(EntryList {
            entries,
            keep_seconds,
        })
}

/// `GET /v1/models`: the models and services of all targets in the table.
pub async fn models(shared: web::Data<EntryShared>) -> HttpResponse {
    let mut names: Vec<String> = shared.with_followed(|followed| {
        let targets = followed.view.targets();
        targets.map(|target| target.row.model.to_string()).collect()
    });
    names.sort();
    names.dedup();
    let data: Vec<serde_json::Value> = names
        .into_iter()
        .map(|name| serde_json::json!({ "id": name, "object": "model" }))
        .collect();
    HttpResponse::Ok().json(serde_json::json!({ "object": "list", "data": data }))
}

/// `GET /v1/requests/{request}/decisions`: the routing decisions on a request, oldest first.
///
/// # Errors
///
/// Fails when the id is not a valid request id.
pub async fn decisions(
    request: web::Path<String>,
    shared: web::Data<EntryShared>,
) -> Result<HttpResponse> {
    let request: RequestId = request.parse().map_err(|_| {
        ApiError::not_run(
            ErrorKind::BadRequest,
            "this is not a request id; use the X-Request-Id of a response, such as req-0123456789abcdef",
        )
    })?;
    Ok(HttpResponse::Ok().json(shared.decisions.for_request(request)))
}

/// `GET /healthz`: 200 as long as the process serves HTTP.
pub async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: 200 if the view is fresh and the entry is not stopping, otherwise 503.
pub async fn ready(shared: web::Data<EntryShared>) -> HttpResponse {
    let now = shared.now();
    let stopping = *shared.stopping.borrow();
    if !stopping && shared.with_followed(|followed| followed.is_fresh(now)) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable()
        .body("not ready: stopping, or the view is stale; check that the stewards run\n")
}

/// `GET /v1/status`: offset and freshness of the view and requests in flight, for operators.
pub async fn status(shared: web::Data<EntryShared>) -> HttpResponse {
    let now = shared.now();
    shared.with_followed(|followed| {
        HttpResponse::Ok().json(serde_json::json!({
            "vm": shared.settings.vm,
            "offset": followed.view.offset(),
            "fresh": followed.is_fresh(now),
            "in_flight": shared.metrics.in_flight.get(),
        }))
    })
}

/// `GET /metrics`: all metrics, for scraping.
pub async fn metrics(shared: web::Data<EntryShared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.render())
}

/// Responds 404 to paths that have no handler.
pub async fn not_found(http: HttpRequest) -> HttpResponse {
    HttpResponse::NotFound().json(serde_json::json!({
        "error": {
            "kind": "no_such_page",
            "message": format!("{} {} is not served here; see the README for the routes", http.method(), http.path()),
            "outcome": "not_run",
        }
    }))
}
