//! A loopback proxy that delays, resets, silences or cuts connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::StandInRuntime;

/// What the proxy does to all its connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProxyFault {
    None,
    /// Holds every read up.
    Delay(Duration),
    /// Resets connections, new ones included.
    Reset,
    /// Swallows bytes both ways.
    Silence,
    /// Swallows answers.
    OneWay,
}

/// A running proxy.
#[derive(Clone)]
pub struct FaultProxy {
    pub address: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
}

impl FaultProxy {
    pub fn start(runtime: &StandInRuntime, upstream: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener
            .set_nonblocking(true)
            .expect("sockets can be non-blocking");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let fault = Arc::new(Mutex::new(ProxyFault::None));
        let proxy = Self {
            address,
            fault: fault.clone(),
        };
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("the runtime takes the socket");
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, upstream, fault.clone()));
            }
        });
        proxy
    }

    pub fn set(&self, fault: ProxyFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

async fn relay(mut near: TcpStream, upstream: SocketAddr, fault: Arc<Mutex<ProxyFault>>) {
    let now = || *fault.lock().unwrap_or_else(PoisonError::into_inner);
    if now() == ProxyFault::Reset {
        near.set_zero_linger().ok();
        return;
    }
    let Ok(mut far) = TcpStream::connect(upstream).await else {
        return;
    };
    near.set_nodelay(true).ok();
    far.set_nodelay(true).ok();
    let (mut up, mut down) = (vec![0; 16 * 1024], vec![0; 16 * 1024]);
    loop {
        let (count, from_near) = tokio::select! {
            count = near.read(&mut up) => (count, true),
            count = far.read(&mut down) => (count, false),
            () = tokio::time::sleep(Duration::from_millis(50)) => {
                if now() == ProxyFault::Reset {
                    near.set_zero_linger().ok();
                    far.set_zero_linger().ok();
                    return;
                }
                continue;
            }
        };
        let count = match count {
            Ok(count) if count > 0 => count,
            // What ends on one side ends on the other, unless nothing may pass.
            _ if matches!(now(), ProxyFault::Silence | ProxyFault::OneWay) => {
                tokio::time::sleep(Duration::from_secs(3)).await;
                return;
            }
            Ok(_) => return,
            Err(_) => {
                near.set_zero_linger().ok();
                far.set_zero_linger().ok();
                return;
            }
        };
        match now() {
            ProxyFault::Delay(time) => tokio::time::sleep(time).await,
            ProxyFault::Silence => continue,
            ProxyFault::OneWay if !from_near => continue,
            ProxyFault::Reset => {
                near.set_zero_linger().ok();
                return;
            }
            _ => {}
        }
        let sent = if from_near {
            far.write_all(&up[..count]).await
        } else {
            near.write_all(&down[..count]).await
        };
        if sent.is_err() {
            return;
        }
    }
}
