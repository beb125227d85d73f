//! Fake of the platform's store, with outages, slow responses, lost responses and a return from an
//! older copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::BackgroundRuntime;
use super::http::{ReceivedRequest, ResponseStep, StepSender, encode_response, serve};

/// How the fake store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreMode {
    Healthy,
    Busy,
    Silent,
    Slow(Duration),
    /// Responds to reads; applies writes without responding.
    LosesWrites,
}

#[derive(Clone, Default)]
struct StoreTopic {
    records: Vec<(String, Vec<u8>)>,
    first_offset: u64,
    newest_by_key: BTreeMap<String, (u64, Vec<u8>)>,
}

/// The records of a fake store at one moment.
pub struct StoreCopy(BTreeMap<String, StoreTopic>);

struct StoreState {
    topics: BTreeMap<String, StoreTopic>,
    /// Rises each time the store comes back from a copy.
    era: u64,
    mode: StoreMode,
    calls: usize,
}

#[derive(Clone)]
pub struct FakeStore {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

impl FakeStore {
    pub fn start(runtime: &BackgroundRuntime) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener
            .set_nonblocking(true)
            .expect("sockets can be non-blocking");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let (changed, _) = watch::channel(0);
        let store = Self {
            address,
            state: Arc::new(Mutex::new(StoreState {
                topics: BTreeMap::new(),
                era: 1,
                mode: StoreMode::Healthy,
                calls: 0,
            })),
            changed,
        };
        let served_store = store.clone();
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("the runtime accepts the socket");
        let never_stopped = watch::Sender::new(false).subscribe();
        runtime.spawn(serve(listener, never_stopped, move |request, steps| {
            let store = served_store.clone();
            async move { store.respond(request, steps).await }
        }));
        store
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.changed.send_modify(|version| *version += 1);
    }

    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Appends a record; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.first_offset + topic.records.len() as u64;
        topic.records.push((key.to_owned(), value.to_vec()));
        if value.is_empty() {
            topic.newest_by_key.remove(key);
        } else {
            topic
                .newest_by_key
                .insert(key.to_owned(), (offset, value.to_vec()));
        }
        drop(state);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Copies all records, for [`Self::restore`].
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().topics.clone())
    }

    /// Loses all that was written since `copy` was made; offsets are given out again from there.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.topics = copy.0.clone();
        state.era += 1;
        drop(state);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Keys of a topic with a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.lock();
        let topic = state.topics.get(topic);
        topic.map_or(Vec::new(), |topic| {
            topic.newest_by_key.keys().cloned().collect()
        })
    }

    /// Encodes a response with the header that names the store's era.
    fn encode(&self, status: u16, body: &[u8]) -> Vec<u8> {
        let era = self.lock().era.to_string();
        encode_response(status, &[("store-era", &era)], body)
    }

    /// Compacts a topic: only the newest record of each key can still be read.
    pub fn compact(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first_offset += topic.records.len() as u64;
        topic.records.clear();
        drop(state);
        self.changed.send_modify(|version| *version += 1);
    }

    async fn respond(&self, request: ReceivedRequest, steps: StepSender) {
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            state.mode
        };
        match mode {
            StoreMode::Busy => {
                let response = self.encode(503, b"");
                steps.send(ResponseStep::Write(response)).await.ok();
                return;
            }
            StoreMode::Silent => {
                steps.send(ResponseStep::Silence).await.ok();
                return;
            }
            StoreMode::Slow(time) => tokio::time::sleep(time).await,
            StoreMode::Healthy | StoreMode::LosesWrites => {}
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let response = match request.path.split('?').next().unwrap_or_default() {
            "/api/log-newest" => self.handle_newest(&topic),
            "/api/log-read" => match self.handle_read(&request, &topic).await {
                Some(response) => response,
                None => {
                    steps.send(ResponseStep::Silence).await.ok();
                    return;
                }
            },
            "/api/log-append" => {
                self.append(&topic, &request.body);
                if mode == StoreMode::LosesWrites {
                    steps.send(ResponseStep::Silence).await.ok();
                    return;
                }
                self.encode(200, br#"{"offset":0,"end":1}"#)
            }
            _ => self.encode(404, b""),
        };
        steps.send(ResponseStep::Write(response)).await.ok();
    }

    fn handle_newest(&self, topic: &str) -> Vec<u8> {
        let state = self.lock();
        let (items, end): (Vec<Value>, u64) = match state.topics.get(topic) {
            Some(topic) => {
                let items = topic.newest_by_key.iter().map(|(key, (offset, value))| {
                    json!({"key": key, "offset": offset, "value": STANDARD.encode(value)})
                });
                (
                    items.collect(),
                    topic.first_offset + topic.records.len() as u64,
                )
            }
            None => (Vec::new(), 0),
        };
        drop(state);
        let body = json!({"items": items, "has_more": false, "end": end}).to_string();
        self.encode(200, body.as_bytes())
    }

    /// Waits for records; `None` for a read that waits when the store falls silent, which is never
    /// answered.
    async fn handle_read(&self, request: &ReceivedRequest, topic: &str) -> Option<Vec<u8>> {
        let query_number = |name: &str| -> u64 {
            request
                .query(name)
                .and_then(|value| value.parse().ok())
                .unwrap_or(0)
        };
        let (from, wait) = (
            query_number("from"),
            Duration::from_millis(query_number("wait_ms")),
        );
        let mut changes = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            if self.lock().mode == StoreMode::Silent {
                return None;
            }
            if let Some(response) = self.read_available(topic, from) {
                return Some(response);
            }
            let waited = tokio::time::timeout_at(deadline, changes.changed()).await;
            if waited.is_err() {
                let mut empty = from.to_be_bytes().to_vec();
                empty.extend(0_u64.to_be_bytes());
                return Some(self.encode(200, &empty));
            }
        }
    }

    fn read_available(&self, topic: &str, from: u64) -> Option<Vec<u8>> {
        let state = self.lock();
        let no_records = StoreTopic::default();
        let topic = state.topics.get(topic).unwrap_or(&no_records);
        let end = topic.first_offset + topic.records.len() as u64;
        if from < topic.first_offset || from > end {
            drop(state);
            return Some(self.encode(410, br#"{"first":0}"#));
        }
        let records = &topic.records[(from - topic.first_offset) as usize..];
        if records.is_empty() {
            return None;
        }
        let mut body = end.to_be_bytes().to_vec();
        body.extend(topic.first_offset.to_be_bytes());
        for (key, value) in records {
            let length = 1 + key.len() + value.len();
            body.extend((length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        drop(state);
        Some(self.encode(200, &body))
    }

    fn append(&self, topic: &str, body: &[u8]) {
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, after) = after.split_at(length.min(after.len()));
            rest = after;
            let Some((&key_length, record)) = record.split_first() else {
                continue;
            };
            let (key, value) = record.split_at(usize::from(key_length).min(record.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            self.put(topic, &key, value);
        }
    }
}
