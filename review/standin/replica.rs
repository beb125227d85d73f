//! Replicas of a service that is no model engine.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::bed::record;
use crate::http::serve;

/// Ids of requests, in order.
pub type Ids = Arc<Mutex<Vec<String>>>;

/// The requests that replicas got: those whose head arrived, and those that they ran.
#[derive(Clone, Default)]
pub struct Seen {
    pub arrived: Ids,
    pub ran: Ids,
}

/// Starts a replica that works for `work` on each request and answers with `answer_bytes`.
/// `read_rate` is the number of bytes of a body that it reads in a second, if it reads slowly.
pub fn start(
    ip: IpAddr,
    id: &str,
    work: Duration,
    answer_bytes: usize,
    read_rate: Option<usize>,
    seen: &Seen,
) -> std::io::Result<SocketAddr> {
    let (id, seen) = (id.to_owned(), seen.clone());
    serve(ip, move |mut connection| {
        connection.read_rate = read_rate;
        let arrived = seen.arrived.clone();
        connection.on_head = Some(Box::new(move |headers| {
            if let Some(request_id) = headers.get("x-plantainnotch-request-id") {
                arrived.lock().unwrap().push(request_id.clone());
            }
        }));
        while let Some(request) = connection.read_request() {
            if request.path == "/api/report" || request.path == "/health" {
                let headers = [("x-plantainnotch-replica-id", id.as_str())];
                connection.respond(200, &headers, br#"{"waiting":0,"running":0}"#);
                continue;
            }
            let request_id = request.header("x-plantainnotch-request-id").to_owned();
            let wanted = request.header("x-plantainnotch-target-replica");
            if !wanted.is_empty() && wanted != id {
                connection.respond(421, &[("x-plantainnotch-request-id", &request_id)], b"");
                continue;
            }
            seen.ran.lock().unwrap().push(request_id.clone());
            record(&format!(
                "{id} runs {request_id}, {} bytes of body",
                request.body.len()
            ));
            std::thread::sleep(work);
            let seal = format!("seal-{id}-{request_id}");
            let headers = [
                ("x-plantainnotch-request-id", request_id.as_str()),
                ("x-plantainnotch-replica-seal", seal.as_str()),
                ("keep-alive", "timeout=5"),
            ];
            let length = if request.path.contains("/small/") { 16 } else { answer_bytes };
            let sent = connection.respond(200, &headers, &vec![b'c'; length]);
            record(&format!("{id} has answered {request_id} with 200, {length} bytes: {sent}"));
            if !sent {
                return;
            }
        }
    })
}
