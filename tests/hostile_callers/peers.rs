//! Callers at the port for peers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;

use crate::crowd::{Crowd, HostileBed, Sending, request};

const SENDERS: usize = 16;
const CALL_CONNECTIONS: usize = 4;
const CALLS_PER_CONNECTION: usize = 500;
const CALL_BYTES: usize = 60_000;

/// Sends bytes that are no calls.
pub fn send_garbage(crowd: &Crowd, peers: SocketAddr) {
    let requests = request("GET", "/metrics").repeat(100);
    crowd.send(SENDERS, peers, &Sending::fast(Vec::new(), requests));
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    // Empty SETTINGS frames, each of which must be acknowledged.
    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0].repeat(1_000);
    crowd.send(SENDERS, peers, &Sending::fast(preface, settings));
}

/// Begins many calls whose bodies do not end.
pub fn send_calls(crowd: &Crowd, peers: SocketAddr) {
    for _ in 0..CALL_CONNECTIONS {
        let ended = crowd.ended();
        crowd.keep(std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the runtime can be built");
            let mut sent = 0;
            let refused = runtime
                .block_on(begin_calls(peers, &ended, &mut sent))
                .is_err();
            (sent, refused)
        }));
    }
}

async fn begin_calls(
    peers: SocketAddr,
    ended: &AtomicBool,
    sent: &mut usize,
) -> Result<(), Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(peers).await?;
    let (mut client, connection) = h2::client::handshake(stream).await?;
    let connection = tokio::spawn(connection);
    let mut calls = Vec::new();
    while !ended.load(Ordering::Relaxed) && !connection.is_finished() {
        if calls.len() < CALLS_PER_CONNECTION {
            client = client.ready().await?;
            let request = http::Request::post("http://steward/call").body(())?;
            let (response, mut stream) = client.send_request(request, false)?;
            stream.reserve_capacity(CALL_BYTES);
            stream.send_data(Bytes::from(vec![0; CALL_BYTES]), false)?;
            *sent += CALL_BYTES;
            calls.push((response, stream));
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    if connection.is_finished() {
        return Err("the node closed the connection".into());
    }
    Ok(())
}

/// Guards against a process that holds what is sent to its port for peers, whoever sends it.
#[test]
fn garbage_and_unfinished_calls_at_the_peers_port_take_no_memory() {
    let hostile = HostileBed::start();
    let peers = hostile.bed.node_configs[0].peers;
    hostile.withstand(|crowd| {
        send_garbage(crowd, peers);
        send_calls(crowd, peers);
    });
}
