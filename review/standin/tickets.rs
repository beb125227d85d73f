//! A prompt is split over three engines, with memory set aside at a helper. The connection to the
//! engine that leads goes silent while that engine works on the prompt.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::bed::{Route, Store, loopback, publish, put_config, record, start_nodes};
use crate::http::{Connection, Request, find, read_response, serve};

pub const ENGINE_TOKENS: u64 = 90_000; // as in the example of /api/report
const PROMPT_TOKENS: u64 = 110_000; // the longest of dossier-review
const OUTPUT_TOKENS: u64 = 4_200;
const STEPS_PER_EVENT: u64 = 43;

struct Ticket {
    tokens: u64,
    expires_at: Instant,
    /// The runs that use it now.
    users: Vec<usize>,
}

/// What the engines of a case share with its checks.
#[derive(Default)]
pub struct Engines {
    /// By the engine's address and the ticket's id.
    tickets: Mutex<HashMap<(String, String), Ticket>>,
    runs: AtomicUsize,
    /// Ids of the requests that ran.
    ran: Mutex<Vec<String>>,
    /// Tickets that two runs used at the same time.
    shared: AtomicUsize,
    /// Runs that were cut off since their ticket was released while they used it.
    cut: AtomicUsize,
    /// Whether connections go silent when the first long prompt runs.
    silences: AtomicBool,
}

impl Engines {
    fn reserve(&self, engine: &str, id: &str, tokens: u64, hold: Duration) -> (u16, u64) {
        let mut tickets = self.tickets.lock().unwrap();
        let now = Instant::now();
        let key = (engine.to_owned(), id.to_owned());
        let taken: u64 = tickets
            .iter()
            .filter(|((owner, _), ticket)| owner == engine && ticket.expires_at > now)
            .map(|(_, ticket)| ticket.tokens)
            .sum();
        match tickets.get_mut(&key).filter(|ticket| ticket.expires_at > now) {
            Some(ticket) => {
                ticket.expires_at = now + hold;
                record(&format!("{engine} renews ticket {id}, used by {} runs", ticket.users.len()));
            }
            None if taken + tokens > ENGINE_TOKENS => return (409, 0),
            None => {
                let users = Vec::new();
                tickets.insert(key, Ticket { tokens, expires_at: now + hold, users });
                record(&format!("{engine} sets {tokens} tokens aside under ticket {id}"));
            }
        }
        (200, ENGINE_TOKENS.saturating_sub(taken))
    }

    fn release(&self, engine: &str, id: &str) {
        let key = (engine.to_owned(), id.to_owned());
        if let Some(ticket) = self.tickets.lock().unwrap().remove(&key) {
            let users = ticket.users.len();
            record(&format!("{engine} releases ticket {id}, used by {users} runs"));
        }
    }

    pub fn has_run(&self, request_id: &str) -> bool {
        self.ran.lock().unwrap().iter().any(|id| id == request_id)
    }

    /// Takes a run's tickets into use; `None` if one is missing.
    fn use_tickets(&self, run: usize, wanted: &[(String, String)]) -> Option<()> {
        let mut tickets = self.tickets.lock().unwrap();
        let now = Instant::now();
        if !wanted.iter().all(|key| tickets.get(key).is_some_and(|ticket| ticket.expires_at > now)) {
            return None;
        }
        for key in wanted {
            let ticket = tickets.get_mut(key)?;
            ticket.users.push(run);
            if ticket.users.len() > 1 {
                self.shared.fetch_add(1, Ordering::Relaxed);
                record(&format!("LIMIT: ticket {} at {} is used by the runs {:?} at the same time", key.1, key.0, ticket.users));
            }
        }
        Some(())
    }

    /// Why a run's memory is gone, if it is.
    fn lost_ticket(&self, run: usize, wanted: &[(String, String)]) -> Option<&'static str> {
        let tickets = self.tickets.lock().unwrap();
        let now = Instant::now();
        wanted.iter().find_map(|key| match tickets.get(key) {
            Some(ticket) if !ticket.users.contains(&run) => Some("released"),
            Some(ticket) if ticket.expires_at <= now => Some("expired"),
            Some(_) => None,
            None => Some("released"),
        })
    }

    fn leave_tickets(&self, run: usize) {
        for ticket in self.tickets.lock().unwrap().values_mut() {
            ticket.users.retain(|user| *user != run);
        }
    }
}

/// A number in a JSON object.
fn json_number(body: &str, name: &str) -> u64 {
    let rest = body.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn json_text<'a>(body: &'a str, name: &str) -> &'a str {
    let rest = body.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    rest.trim_start().trim_start_matches('"').split('"').next().unwrap_or_default()
}

pub fn start_engine(engines: &Arc<Engines>, index: usize) -> std::io::Result<SocketAddr> {
    let engines = engines.clone();
    let id = format!("e-{index}");
    let address = Arc::new(Mutex::new(String::new()));
    let own = address.clone();
    let bound = serve(loopback(7), move |mut connection| {
        let own = own.lock().unwrap().clone();
        while let Some(request) = connection.read_request() {
            let answered = match request.path.as_str() {
                "/api/report" => connection.respond(200, &[], br#"{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0}"#),
                "/api/order" => {
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    let ticket = json_text(&body, "id");
                    let (status, free) = match json_text(&body, "operation") {
                        "reserve" => {
                            let hold = Duration::from_millis(json_number(&body, "hold_ms"));
                            engines.reserve(&own, ticket, json_number(&body, "tokens"), hold)
                        }
                        "release" => {
                            engines.release(&own, ticket);
                            (200, ENGINE_TOKENS)
                        }
                        _ => (400, 0),
                    };
                    connection.respond(status, &[], format!("{{\"free\":{free}}}").as_bytes())
                }
                _ => generate(&engines, &id, &request, &mut connection),
            };
            if !answered {
                return;
            }
        }
    })?;
    *address.lock().unwrap() = bound.to_string();
    Ok(bound)
}

/// Reads a prompt and writes its events; returns whether the connection may be used again.
fn generate(engines: &Engines, id: &str, request: &Request, connection: &mut Connection) -> bool {
    let request_id = request.header("x-plantainnotch-request-id").to_owned();
    let echo = ("x-plantainnotch-request-id", request_id.as_str());
    let wanted_replica = request.header("x-plantainnotch-target-replica");
    if !wanted_replica.is_empty() && wanted_replica != id {
        return connection.respond(421, &[echo], b"");
    }
    let helpers: Vec<&str> = request
        .header("x-plantainnotch-helpers")
        .split(',')
        .filter(|entry| !entry.is_empty())
        .collect();
    let wanted: Vec<(String, String)> = helpers
        .iter()
        .filter_map(|entry| entry.split_once('/'))
        .map(|(address, ticket)| (address.to_owned(), ticket.to_owned()))
        .collect();
    let run = engines.runs.fetch_add(1, Ordering::Relaxed) + 1;
    if engines.use_tickets(run, &wanted).is_none() {
        record(&format!("{id} rejects {request_id}: a ticket is missing"));
        return connection.respond(503, &[echo, ("x-plantainnotch-not-executed", "1")], b"");
    }
    let mut tokens = request.header("x-plantainnotch-token-count").split(',').map(|part| part.parse::<u64>().unwrap_or(0));
    let (prompt, output) = (tokens.next().unwrap_or(0) as f64, tokens.next().unwrap_or(0));
    let parts = (helpers.len() + 1) as f64;
    let read_ms = (prompt / 206.0 + prompt * prompt / 2e6 * 0.138) / parts;
    let step_ms = 1.02 + 0.002_26 + 0.004_31 * prompt / parts / 1_000.0 + 0.075;
    let event_time = Duration::from_secs_f64(step_ms * STEPS_PER_EVENT as f64 / 1_000.0);
    engines.ran.lock().unwrap().push(request_id.clone());
    record(&format!("{id} runs {request_id} as run {run}, read in {parts} parts, tickets {wanted:?}"));
    // The connections that are open now go silent for good; new ones work.
    let silent = prompt as u64 == PROMPT_TOKENS && engines.silences.swap(false, Ordering::Relaxed);
    if silent {
        record(&format!("the connection of run {run} goes silent"));
    }
    let end = work(engines, run, &wanted, connection, Duration::from_secs_f64(read_ms / 1_000.0));
    let mut sent = end.is_none();
    let mut why = end;
    let head = format!(
        "HTTP/1.1 200 X\r\nx-plantainnotch-request-id: {request_id}\r\nx-plantainnotch-replica-seal: seal-{id}-{request_id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let first = request.header("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
    let events = output.div_ceil(STEPS_PER_EVENT).max(1);
    for event in first..=events {
        if why.is_some() {
            sent = false;
            break;
        }
        let text = format!("id: {event}\ndata: {request_id}\n\n");
        let mut bytes = if event == first { head.clone() } else { String::new() };
        bytes.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
        if !silent && !connection.write(bytes.as_bytes()) {
            why = Some("its client left");
        }
        why = why.or(work(engines, run, &wanted, connection, event_time));
    }
    engines.leave_tickets(run);
    match why {
        Some("released") => {
            engines.cut.fetch_add(1, Ordering::Relaxed);
            record(&format!("{id} cuts run {run} off: its ticket was released while it was used"));
        }
        Some(why) => record(&format!("{id} ends run {run}: {why}")),
        None => record(&format!("{id} has finished run {run}")),
    }
    if silent {
        while !connection.is_closed() {
            std::thread::sleep(Duration::from_millis(20));
        }
        return false;
    }
    sent && connection.write(b"0\r\n\r\n")
}

/// Works for `time`; returns why a run has to end, if it has.
fn work(engines: &Engines, run: usize, wanted: &[(String, String)], connection: &mut Connection, time: Duration) -> Option<&'static str> {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if let Some(why) = engines.lost_ticket(run, wanted) {
            return Some(why);
        }
        if connection.is_closed() {
            return Some("its client left");
        }
        let left = until.saturating_duration_since(Instant::now());
        std::thread::sleep(left.min(Duration::from_millis(10)));
    }
    None
}

/// Sends a prompt with a time limit of `limit_s`; returns the status, the events' ids and whether the
/// answer is complete, or `None` if the connection ends, or the time is over, without an answer.
pub fn stream(
    front: SocketAddr,
    id: &str,
    prompt: u64,
    output: u64,
    limit_s: u64,
) -> Option<(u16, Vec<u64>, bool)> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(limit_s))).ok()?;
    write!(
        stream,
        "POST /review/{id} HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-deadline: {}\r\nx-plantainnotch-key: key-a\r\nx-plantainnotch-model: m\r\nx-plantainnotch-token-count: {prompt},{output}\r\nx-plantainnotch-prefix-hash: 5c1e07a2:40,{id}:{}\r\ncontent-length: 6\r\n\r\nprompt",
        limit_s * 1_000,
        prompt - 40
    )
    .ok()?;
    record(&format!("client sends {id}, {prompt} tokens"));
    let response = read_response(&mut stream, |_| {})?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let events: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let complete = response.complete && find(&response.body, b"0\r\n\r\n").is_some();
    record(&format!("client of {id} has: {}, {} events, complete: {complete}", response.status, events.len()));
    Some((response.status, events, complete))
}

pub fn play(trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start(loopback(8)).map_err(failed)?;
    let route = Route {
        name: "review",
        path: "/review/",
        kind: "stream",
        service: "engines",
        timeout_ms: 10_000,
        latency_ms: 1_500,
        attempts: 2,
        resume: true,
        gap_ms: 600,
    };
    put_config(&store, &[route], ENGINE_TOKENS);
    let engines = Arc::new(Engines::default());
    for zone in 0..3 {
        let address = start_engine(&engines, zone).map_err(failed)?;
        publish(&store, &format!("e-{zone}"), "engines", address, zone);
    }
    let nodes = start_nodes(3, store_address)?;
    std::thread::sleep(Duration::from_millis(3_500));
    let small = stream(nodes[0].front, "5ma11", 1_000, 80, 10);
    if !small.is_some_and(|(status, _, complete)| status == 200 && complete) {
        return Err("a short prompt is not served".to_owned());
    }
    engines.silences.store(trouble, Ordering::Relaxed);
    let seen = stream(nodes[0].front, "d0551e4", PROMPT_TOKENS, OUTPUT_TOKENS, 10);
    std::thread::sleep(Duration::from_millis(500));
    let events = OUTPUT_TOKENS.div_ceil(STEPS_PER_EVENT) as usize;
    let (shared, cut) = (engines.shared.load(Ordering::Relaxed), engines.cut.load(Ordering::Relaxed));
    let received = seen.as_ref().map_or(0, |(_, events, _)| events.len());
    let complete = seen.as_ref().is_some_and(|(_, _, complete)| *complete);
    record(&format!(
        "LIMIT: {shared} tickets were used by two runs at the same time; {cut} runs were cut off by a release; the client has {received} of {events} events, complete: {complete}"
    ));
    Ok(shared == 0)
}
