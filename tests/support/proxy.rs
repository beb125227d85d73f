//! Loopback proxy that delays, resets or silences connections.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::BackgroundRuntime;

/// Last two bytes of the next proxy's loopback address, beyond those of the VMs.
static NEXT_PROXY: AtomicU16 = AtomicU16::new(8 << 8);

const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that the proxy injects into all its connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProxyFault {
    None,
    /// Delays every chunk of bytes.
    Delay(Duration),
    /// Resets existing and new connections.
    Reset,
    /// Resets new connections only.
    ResetNew,
    /// Resets existing connections and does not listen.
    Refuse,
    /// Drops bytes in both directions.
    Silence,
    /// Drops bytes from upstream to the caller.
    OneWay,
}

#[derive(Clone)]
pub struct FaultProxy {
    pub address: SocketAddr,
    faults: Arc<Mutex<ProxyFaults>>,
}

/// The fault of all connections, and of those from single addresses.
#[derive(Debug)]
struct ProxyFaults {
    common: ProxyFault,
    by_source: BTreeMap<IpAddr, ProxyFault>,
}

impl ProxyFaults {
    fn of(&self, source: Option<IpAddr>) -> ProxyFault {
        let own = source.and_then(|source| self.by_source.get(&source));
        own.copied().unwrap_or(self.common)
    }
}

impl FaultProxy {
    pub fn start(runtime: &BackgroundRuntime, upstream: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind((next_ip(), 0)).expect("a port is free");
        listener
            .set_nonblocking(true)
            .expect("sockets can be non-blocking");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let faults = Arc::new(Mutex::new(ProxyFaults {
            common: ProxyFault::None,
            by_source: BTreeMap::new(),
        }));
        let proxy = Self {
            address,
            faults: faults.clone(),
        };
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("the runtime accepts the socket");
        runtime.spawn(async move {
            let is_refusing = || {
                let faults = faults.lock().unwrap_or_else(PoisonError::into_inner);
                faults.common == ProxyFault::Refuse
            };
            let mut listener = Some(listener);
            loop {
                if is_refusing() {
                    listener = None;
                    tokio::time::sleep(FAULT_CHECK_INTERVAL).await;
                    continue;
                }
                let Some(open) = &listener else {
                    listener = TcpListener::bind(address).await.ok();
                    // Binding does not yield, so that the runtime would run nothing else.
                    if listener.is_none() {
                        tokio::time::sleep(FAULT_CHECK_INTERVAL).await;
                    }
                    continue;
                };
                let accepted = tokio::time::timeout(FAULT_CHECK_INTERVAL, open.accept()).await;
                if let Ok(Ok((stream, _))) = accepted {
                    tokio::spawn(relay(stream, upstream, faults.clone()));
                }
            }
        });
        proxy
    }

    pub fn set(&self, fault: ProxyFault) {
        self.lock().common = fault;
    }

    /// Injects a fault into the connections from one address, in place of the common one.
    pub fn set_from(&self, source: IpAddr, fault: ProxyFault) {
        self.lock().by_source.insert(source, fault);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ProxyFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A loopback address for one proxy only: while a proxy refuses connections, another socket could take its
/// port at a shared address.
fn next_ip() -> IpAddr {
    let process = (std::process::id() % 250 + 1) as u8;
    let [high, low] = NEXT_PROXY.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, process, high, low))
}

async fn relay(
    mut caller_stream: TcpStream,
    upstream: SocketAddr,
    faults: Arc<Mutex<ProxyFaults>>,
) {
    let source = caller_stream.peer_addr().ok().map(|address| address.ip());
    let current_fault = || {
        let faults = faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.of(source)
    };
    let is_resetting = || matches!(current_fault(), ProxyFault::Reset | ProxyFault::Refuse);
    if is_resetting() || current_fault() == ProxyFault::ResetNew {
        caller_stream.set_zero_linger().ok();
        return;
    }
    let Ok(mut upstream_stream) = TcpStream::connect(upstream).await else {
        return;
    };
    caller_stream.set_nodelay(true).ok();
    upstream_stream.set_nodelay(true).ok();
    let (mut caller_buffer, mut upstream_buffer) = (vec![0; 16 * 1024], vec![0; 16 * 1024]);
    loop {
        let (count, from_caller) = tokio::select! {
            count = caller_stream.read(&mut caller_buffer) => (count, true),
            count = upstream_stream.read(&mut upstream_buffer) => (count, false),
            () = tokio::time::sleep(FAULT_CHECK_INTERVAL) => {
                if is_resetting() {
                    caller_stream.set_zero_linger().ok();
                    upstream_stream.set_zero_linger().ok();
                    return;
                }
                continue;
            }
        };
        let count = match count {
            Ok(count) if count > 0 => count,
            // While bytes are dropped, the other side does not learn that the connection ended.
            _ if matches!(current_fault(), ProxyFault::Silence | ProxyFault::OneWay) => {
                tokio::time::sleep(Duration::from_secs(3)).await;
                return;
            }
            Ok(_) => return,
            Err(_) => {
                caller_stream.set_zero_linger().ok();
                upstream_stream.set_zero_linger().ok();
                return;
            }
        };
        match current_fault() {
            ProxyFault::Delay(time) => tokio::time::sleep(time).await,
            ProxyFault::Silence => continue,
            ProxyFault::OneWay if !from_caller => continue,
            ProxyFault::Reset | ProxyFault::Refuse => {
                caller_stream.set_zero_linger().ok();
                return;
            }
            _ => {}
        }
        let sent = if from_caller {
            upstream_stream.write_all(&caller_buffer[..count]).await
        } else {
            caller_stream.write_all(&upstream_buffer[..count]).await
        };
        if sent.is_err() {
            return;
        }
    }
}
