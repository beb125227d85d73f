//! A replica of a plain service is down for a moment and comes back cold, under steady traffic.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::bed::{Route, Store, loopback, put_config_with_warmup, record, start_nodes};
use crate::http::{Connection, read_response};

const WARMUP_PER_S: f64 = 28.0; // as the engines of klpc-auth
const WARMUP: Duration = Duration::from_secs(3);
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Rate above which the cold replica crashes: "well above" what it tolerates.
const CRASH_PER_S: usize = 56;
const DOWN_TIME: Duration = Duration::from_millis(4_500);
const WORK: Duration = Duration::from_millis(30);
/// Requests a second, over all nodes; three replicas of 6 slots take 600.
const REQUESTS_PER_S: u32 = 210;
const PLAY_TIME: Duration = Duration::from_secs(14);
const DOWN_AT: Duration = Duration::from_secs(2);

/// A replica that starts again under another id, at its old address.
struct Replica {
    store: Store,
    zone: usize,
    address: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    /// Open connections, closed when the process ends.
    connections: Mutex<Vec<TcpStream>>,
    most_in_a_second: AtomicUsize,
    crashes: AtomicUsize,
}

struct State {
    starts: usize,
    is_up: bool,
    cold_until: Instant,
    /// Arrivals of the last second, while cold.
    arrivals: VecDeque<Instant>,
}

impl Replica {
    fn id(&self, starts: usize) -> String {
        format!("i-{}-{starts}", self.zone)
    }

    fn publish(self: &Arc<Self>) {
        let replica = self.clone();
        std::thread::spawn(move || {
            for sequence in 1.. {
                replica.write_entry(sequence);
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    fn write_entry(&self, sequence: u64) {
        let address = *self.address.lock().unwrap();
        let state = self.state.lock().unwrap();
        let (Some(address), true) = (address, state.is_up) else {
            return;
        };
        let left = state.cold_until.saturating_duration_since(Instant::now()).as_millis();
        let entry = format!(
            r#"{{"service":"records","address":"{address}","zone":"zone-{}","version":"v1","slots":6,"state":"ready","warmup_left_ms":{left},"sequence":{sequence},"born":{}}}"#,
            self.zone,
            1_700_000_000_000 + state.starts
        );
        self.store.put("keyed.servers", &self.id(state.starts), entry.as_bytes());
    }

    /// Ends the process: its entry lapses after three intervals, as that of a crashed replica.
    fn go_down(self: &Arc<Self>, why: &str) {
        let starts = {
            let mut state = self.state.lock().unwrap();
            state.is_up = false;
            state.arrivals.clear();
            state.starts
        };
        record(&format!("{} is down: {why}", self.id(starts)));
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.shutdown(std::net::Shutdown::Both).ok();
        }
        let replica = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(3_600));
            replica.store.put("keyed.servers", &replica.id(starts), b"");
            std::thread::sleep(DOWN_TIME - Duration::from_millis(3_600));
            replica.start_cold();
        });
    }

    fn start_cold(&self) {
        let id = {
            let mut state = self.state.lock().unwrap();
            state.starts += 1;
            state.is_up = true;
            state.cold_until = Instant::now() + WARMUP;
            self.id(state.starts)
        };
        record(&format!("{id} starts, cold for 3 s"));
        self.write_entry(1);
    }

    /// Counts an arrival; returns the id that answers, or `None` while the process is down.
    fn arrive(self: &Arc<Self>) -> Option<String> {
        let now = Instant::now();
        let (id, crashes) = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return None;
            }
            if now < state.cold_until {
                state.arrivals.push_back(now);
                while state.arrivals.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
                    state.arrivals.pop_front();
                }
            }
            let count = state.arrivals.len();
            self.most_in_a_second.fetch_max(count, Ordering::Relaxed);
            (self.id(state.starts), now < state.cold_until && count > CRASH_PER_S)
        };
        if crashes {
            self.crashes.fetch_add(1, Ordering::Relaxed);
            self.go_down("it crashes, cold, under too many requests");
            return None;
        }
        Some(id)
    }

    /// Accepts connections; nothing listens while the process is down.
    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let address = listener.local_addr().expect("a bound socket has an address");
        let mut listener = Some(listener);
        loop {
            if !self.state.lock().unwrap().is_up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let accepted = listener.as_ref().map(|listener| {
                listener.set_nonblocking(true).ok();
                listener.accept()
            });
            let Some(Ok((stream, _))) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).ok();
            if let Ok(clone) = stream.try_clone() {
                self.connections.lock().unwrap().push(clone);
            }
            let replica = self.clone();
            std::thread::spawn(move || replica.serve(Connection::new(stream)));
        }
    }

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let request_id = request.header("x-plantainnotch-request-id").to_owned();
            let (is_up, own) = {
                let state = self.state.lock().unwrap();
                (state.is_up, self.id(state.starts))
            };
            if !is_up {
                return;
            }
            if request.path == "/api/report" || request.path == "/health" {
                connection.respond(200, &[], br#"{"waiting":0,"running":0}"#);
                continue;
            }
            // What gets 421 does not count toward the cold limit.
            if request.header("x-plantainnotch-target-replica") != own {
                connection.respond(421, &[("x-plantainnotch-request-id", &request_id)], b"");
                continue;
            }
            let Some(id) = self.arrive() else {
                return;
            };
            record(&format!("{id} runs {request_id}"));
            std::thread::sleep(WORK);
            if !self.is_up(&id) {
                return;
            }
            let seal = format!("seal-{id}-{request_id}");
            let headers = [
                ("x-plantainnotch-request-id", request_id.as_str()),
                ("x-plantainnotch-replica-seal", seal.as_str()),
                ("keep-alive", "timeout=5"),
            ];
            if !connection.respond(200, &headers, &[b'c'; 800]) {
                return;
            }
        }
    }

    fn is_up(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && self.id(state.starts) == id
    }
}

fn start_replica(store: &Store, zone: usize) -> std::io::Result<Arc<Replica>> {
    let replica = Arc::new(Replica {
        store: store.clone(),
        zone,
        address: Mutex::new(None),
        state: Mutex::new(State {
            starts: 1,
            is_up: true,
            cold_until: Instant::now(),
            arrivals: VecDeque::new(),
        }),
        connections: Mutex::default(),
        most_in_a_second: AtomicUsize::new(0),
        crashes: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind((loopback(7), 0))?;
    *replica.address.lock().unwrap() = Some(listener.local_addr()?);
    let served = replica.clone();
    std::thread::spawn(move || served.accept(listener));
    replica.publish();
    Ok(replica)
}

fn issue(front: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1_500))).ok()?;
    write!(
        stream,
        "POST /issue/{id} HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-deadline: 1500\r\nx-plantainnotch-key: key-a\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{id}",
        id.len()
    )
    .ok()?;
    read_response(&mut stream, |_| {}).map(|response| response.status)
}

pub fn play(trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start(loopback(8)).map_err(failed)?;
    let route = Route {
        name: "issue",
        path: "/issue/",
        kind: "unsafe",
        service: "records",
        timeout_ms: 1_500,
        latency_ms: 150,
        attempts: 1,
        resume: false,
        gap_ms: 250,
    };
    put_config_with_warmup(&store, &[route], 232_000, (WARMUP.as_secs_f64(), WARMUP_PER_S));
    let replicas: Result<Vec<Arc<Replica>>, String> =
        (0..3).map(|zone| start_replica(&store, zone).map_err(failed)).collect();
    let replicas = replicas?;
    let nodes = start_nodes(3, store_address)?;
    std::thread::sleep(Duration::from_millis(3_500));
    let started_at = Instant::now();
    let fell = AtomicBool::new(false);
    let statuses: Mutex<Vec<(Duration, Option<u16>)>> = Mutex::default();
    std::thread::scope(|scope| {
        let mut sent = 0_u32;
        while started_at.elapsed() < PLAY_TIME {
            if trouble && started_at.elapsed() >= DOWN_AT && !fell.swap(true, Ordering::Relaxed) {
                replicas[0].go_down("the disruption");
            }
            let front = nodes[sent as usize % nodes.len()].front;
            let statuses = &statuses;
            let at = started_at.elapsed();
            scope.spawn(move || {
                let id = format!("{sent:08x}");
                let status = issue(front, &id);
                let seen = status.map_or("no answer".to_owned(), |status| status.to_string());
                record(&format!("client of {id}, sent to {front} {:.3} s into the traffic, has: {seen}", at.as_secs_f64()));
                statuses.lock().unwrap().push((at, status));
            });
            sent += 1;
            let due = Duration::from_secs(1) * sent / REQUESTS_PER_S;
            std::thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
    });
    let statuses = statuses.lock().unwrap();
    let count = |from: u64, wanted: fn(Option<u16>) -> bool| {
        statuses.iter().filter(|(at, status)| *at >= Duration::from_secs(from) && wanted(*status)).count()
    };
    let bound = WARMUP_PER_S * COLD_OVER + COLD_SLACK;
    let most = replicas.iter().map(|replica| replica.most_in_a_second.load(Ordering::Relaxed)).max().unwrap_or(0);
    let crashes: usize = replicas.iter().map(|replica| replica.crashes.load(Ordering::Relaxed)).sum();
    let unknown = |status: Option<u16>| !matches!(status, Some(200 | 429 | 503));
    record(&format!(
        "{} requests sent, {} answered 200, {} refused; without a promise {}, of these {} after the replica came back",
        statuses.len(),
        count(0, |status| status == Some(200)),
        count(0, |status| matches!(status, Some(429 | 503))),
        count(0, unknown),
        count(6, unknown)
    ));
    let others: Vec<&Option<u16>> = statuses.iter().map(|(_, status)| status).filter(|status| unknown(**status)).collect();
    record(&format!("answers without a promise (None: closed or none in time): {others:?}"));
    if count(0, |status| status == Some(200)) == 0 {
        return Err("no request was served".to_owned());
    }
    record(&format!(
        "FAILBACK: a cold replica got {most} requests within a second, at most {bound} are allowed; {crashes} crashes of cold replicas"
    ));
    Ok(most as f64 <= bound)
}
