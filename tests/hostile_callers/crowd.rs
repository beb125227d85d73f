//! The node under test, and connections that send without regard to the responses.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::support::bed::{TestBed, config, wait_until};
use crate::support::node::{open_descriptors, peak_memory};

/// `memory_mb` of the node's settings, and the bound of its peak memory.
pub const MEMORY_MB: u64 = 48;
/// `max_fds` of the node's settings, and the bound of its open descriptors.
pub const MAX_FDS: usize = 300;
/// For how long a crowd sends.
pub const ATTACK_TIME: Duration = Duration::from_secs(4);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A node with lowered limits; tests that hold one run one after the other.
pub struct HostileBed {
    pub bed: TestBed,
    _turn: MutexGuard<'static, ()>,
}

impl HostileBed {
    pub fn start() -> Self {
        let turn = take_turn();
        let bed = TestBed::start_with(1, |node| {
            node.memory_mb = Some(MEMORY_MB);
            node.max_fds = MAX_FDS;
        });
        let mut table = config(2);
        table["limits"]["max_body_bytes"] = json!(4_194_304);
        bed.put_config_everywhere(&table);
        Self { bed, _turn: turn }
    }

    pub fn callers(&self) -> SocketAddr {
        self.bed.node_configs[0].callers
    }

    /// Runs `attack` on the node; see [`withstand_crowd`].
    pub fn withstand(self, attack: impl FnOnce(&Crowd)) {
        let id = self.bed.nodes[0].id();
        let bed = RefCell::new(self.bed);
        let has_ended = || bed.borrow_mut().nodes[0].has_ended();
        let lookup_serves = || {
            let id = format!("after-{:?}", Instant::now());
            let response = bed.borrow().lookup(0, &id);
            response.is_some_and(|response| response.status == 200)
        };
        withstand_crowd(id, has_ended, attack, lookup_serves);
    }
}

/// Waits until no other test of this program runs a crowd.
pub fn take_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs `attack` for [`ATTACK_TIME`] on the process `id`, and checks what holds for any crowd: the process
/// lives, its peak memory and its open descriptors stay under the settings' limits, and one ordinary request
/// is answered afterwards.
pub fn withstand_crowd(
    id: u32,
    has_ended: impl FnOnce() -> bool,
    attack: impl FnOnce(&Crowd),
    is_answered: impl Fn() -> bool,
) {
    let most_descriptors = AtomicUsize::new(0);
    let crowd = Crowd::default();
    let (sent, refused) = std::thread::scope(|scope| {
        let ended = &crowd.ended;
        let sampler = scope.spawn(|| {
            while !ended.load(Ordering::Relaxed) {
                most_descriptors.fetch_max(open_descriptors(id), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        attack(&crowd);
        let totals = crowd.finish();
        sampler.join().expect("the sampler ends");
        totals
    });

    assert!(!has_ended(), "the process has ended");
    let peak = peak_memory(id);
    let descriptors = most_descriptors.load(Ordering::Relaxed);
    println!(
        "peak memory {peak}, descriptors {descriptors}, bytes sent {sent}, connections ended by the process {refused}"
    );
    wait_until(
        RECOVERY_TIMEOUT,
        "an ordinary request is answered",
        is_answered,
    );
    assert!(
        peak < MEMORY_MB * 1_000_000,
        "the process held {peak} bytes, {descriptors} descriptors"
    );
    assert!(
        descriptors < MAX_FDS,
        "the process had {descriptors} descriptors open"
    );
}

/// Whether a sender takes what the node sends it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reading {
    /// It reads on, also after a refusal.
    All,
    Nothing,
}

/// What one connection sends: once `first`, then `repeated` again and again.
#[derive(Debug, Clone)]
pub struct Sending {
    pub first: Vec<u8>,
    pub repeated: Vec<u8>,
    /// Time between repetitions.
    pub pause: Duration,
    pub reading: Reading,
}

impl Sending {
    /// Sends as fast as the node reads, and reads nothing.
    pub fn fast(first: impl Into<Vec<u8>>, repeated: impl Into<Vec<u8>>) -> Self {
        Self {
            first: first.into(),
            repeated: repeated.into(),
            pause: Duration::ZERO,
            reading: Reading::Nothing,
        }
    }
}

/// Connections that send until the attack ends, each on its own thread.
#[derive(Default)]
pub struct Crowd {
    ended: Arc<AtomicBool>,
    senders: Mutex<Vec<JoinHandle<(usize, bool)>>>,
}

impl Crowd {
    /// Opens `count` connections to `address` and sends on all of them.
    pub fn send(&self, count: usize, address: SocketAddr, sending: &Sending) {
        for _ in 0..count {
            let (sending, ended) = (sending.clone(), self.ended.clone());
            let sender = std::thread::spawn(move || send_until(address, &sending, &ended));
            self.keep(sender);
        }
    }

    /// Lets `sender` end with the attack; it returns the bytes it sent and whether the node ended its
    /// connection.
    pub fn keep(&self, sender: JoinHandle<(usize, bool)>) {
        self.senders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
    }

    pub fn ended(&self) -> Arc<AtomicBool> {
        self.ended.clone()
    }

    /// Ends the attack after [`ATTACK_TIME`]; returns the bytes sent and the connections ended by the node.
    fn finish(&self) -> (usize, usize) {
        std::thread::sleep(ATTACK_TIME);
        self.ended.store(true, Ordering::Relaxed);
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let mut totals = (0, 0);
        for sender in senders.drain(..) {
            let (sent, refused) = sender.join().expect("the sender ends");
            totals.0 += sent;
            totals.1 += usize::from(refused);
        }
        totals
    }
}

/// Sends until the attack ends; a connection that the node ends is opened again.
fn send_until(address: SocketAddr, sending: &Sending, ended: &AtomicBool) -> (usize, bool) {
    let (mut sent, mut refused) = (0, false);
    while !ended.load(Ordering::Relaxed) {
        match send_on_connection(address, sending, ended, &mut sent) {
            Ok(()) => break,
            Err(_) => refused = true,
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    (sent, refused)
}

fn send_on_connection(
    address: SocketAddr,
    sending: &Sending,
    ended: &AtomicBool,
    sent: &mut usize,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let reader = (sending.reading == Reading::All).then(|| stream.try_clone());
    let reader = reader.transpose()?.map(|mut stream| {
        std::thread::spawn(move || {
            let mut received = [0; 4096];
            while matches!(stream.read(&mut received), Ok(count) if count > 0) {}
        })
    });
    let mut result = write_until(&mut stream, &sending.first, ended, sent);
    while result.is_ok() && !ended.load(Ordering::Relaxed) {
        std::thread::sleep(sending.pause);
        if sending.repeated.is_empty() {
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        result = write_until(&mut stream, &sending.repeated, ended, sent);
    }
    stream.shutdown(std::net::Shutdown::Both).ok();
    if let Some(reader) = reader {
        reader.join().ok();
    }
    result
}

/// Writes all of `bytes` unless the attack ends before.
fn write_until(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    ended: &AtomicBool,
    sent: &mut usize,
) -> std::io::Result<()> {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    while !bytes.is_empty() && !ended.load(Ordering::Relaxed) {
        match stream.write(bytes) {
            Ok(count) => {
                bytes = &bytes[count..];
                *sent += count;
            }
            Err(error) if [TimedOut, WouldBlock].contains(&error.kind()) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// The head of a request to `path` without its end, so that headers can be added.
pub fn open_head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-key: key-a\r\nx-plantainnotch-deadline: 5000\r\n"
    )
}

/// A request without a body.
pub fn request(method: &str, path: &str) -> String {
    format!("{}\r\n", open_head(method, path))
}
