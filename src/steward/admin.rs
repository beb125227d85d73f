//! The steward's HTTP pages for operators: health, readiness, metrics, status.

use std::rc::Rc;
use std::sync::Arc;

use actix::Addr;
use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};

use super::actor::StewardActor;
use super::messages::DescribeSteward;
use super::metrics::StewardMetrics;

/// Shared state of the pages: the actor, and the renderer of its metrics.
#[derive(Clone)]
struct AdminState {
    addr: Addr<StewardActor>,
    render_metrics: Arc<dyn Fn() -> String + Send + Sync>,
}

/// Starts a server of the pages at `address`, an IP and port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve(
    address: &str,
    addr: Addr<StewardActor>,
    metrics: &Rc<StewardMetrics>,
) -> std::io::Result<Server> {
    let state = AdminState {
        addr,
        render_metrics: metrics.renderer(),
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .route(
                "/healthz",
                web::get().to(|| async { HttpResponse::Ok().body("ok\n") }),
            )
            .route("/readyz", web::get().to(ready))
            .route("/metrics", web::get().to(metrics_page))
            .route("/v1/status", web::get().to(status))
    });
    let bound = server.workers(1).disable_signals().bind(address)?;
    Ok(bound.run())
}

async fn describe(state: &AdminState) -> serde_json::Value {
    let status = state.addr.send(DescribeSteward).await;
    status.unwrap_or(serde_json::Value::Null)
}

async fn status(state: web::Data<AdminState>) -> HttpResponse {
    HttpResponse::Ok().json(describe(&state).await)
}

async fn ready(state: web::Data<AdminState>) -> HttpResponse {
    let status = describe(&state).await;
    if status["fresh"] == true && status["member"] == true {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body(
        "not ready: the view is stale or this VM is not a member; check --platform and --seeds\n",
    )
}

async fn metrics_page(state: web::Data<AdminState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body((state.render_metrics)())
}
