//! Replies of stewards and nodes, over HTTP/2.

use std::net::SocketAddr;
use std::time::Duration;

use plantainnotch::wire::client::PeerClient;
use plantainnotch::wire::codec::encode;
use plantainnotch::wire::{PeerCall, PeerReply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::BackgroundRuntime;

const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_SIZE: usize = 64; // more than the preface, and less than that and a call
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const STATUS_200: &[u8] = &[0x88]; // in HPACK's static table

/// Encodes an HTTP/2 frame.
fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("the payloads are short");
    let head = [0, 0, length, kind, flags, 0, 0, 0, stream];
    [&head, payload].concat()
}

/// Encodes a field in HPACK, not indexed.
fn field(name: &str, value: &str) -> Vec<u8> {
    let length = |text: &str| u8::try_from(text.len()).expect("the fields are short");
    let mut encoded = vec![0, length(name)];
    encoded.extend_from_slice(name.as_bytes());
    encoded.push(length(value));
    encoded.extend_from_slice(value.as_bytes());
    encoded
}

async fn serve(mut stream: TcpStream, reply: &[u8]) {
    let mut received = Vec::new();
    while received.len() < CALL_SIZE {
        if !matches!(stream.read_buf(&mut received).await, Ok(count) if count > 0) {
            return;
        }
    }
    stream.write_all(&frame(SETTINGS, 0, 0, &[])).await.ok();
    stream.write_all(reply).await.ok();
    stream.shutdown().await.ok();
    while stream
        .read(&mut [0; 4096])
        .await
        .is_ok_and(|count| count > 0)
    {}
}

/// Whether a client takes the reply in these frames, after which the connection ends.
fn takes_reply(frames: &[Vec<u8>]) -> bool {
    let runtime = BackgroundRuntime::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener
        .set_nonblocking(true)
        .expect("sockets can be non-blocking");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    let _guard = runtime.enter();
    let listener = TcpListener::from_std(listener).expect("the runtime accepts the socket");
    let reply = frames.concat();
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            serve(stream, &reply).await;
        }
    });
    let client = PeerClient::new(address.to_string());
    let replied = actix::System::new().block_on(client.call(&PeerCall::Snapshot, REPLY_TIMEOUT));
    matches!(replied, Ok(PeerReply::Done))
}

#[test]
fn a_peers_reply_is_taken_only_with_a_sound_head_and_to_its_end() {
    let done = encode(&PeerReply::Done).expect("the reply can be encoded");
    let data = frame(DATA, END_STREAM, 1, &done);
    let head = |fields: &[u8]| frame(HEADERS, END_HEADERS, 1, fields);
    let with_field = |name: &str| head(&[STATUS_200, &field(name, "a")].concat());
    let sound = [head(STATUS_200), data.clone()];
    let broken = [
        (
            "status 000",
            vec![head(&field(":status", "000")), data.clone()],
        ),
        (
            "status 099",
            vec![head(&field(":status", "099")), data.clone()],
        ),
        (
            "status 600",
            vec![head(&field(":status", "600")), data.clone()],
        ),
        (
            "status 20",
            vec![head(&field(":status", "20")), data.clone()],
        ),
        ("no status", vec![head(&field("x-note", "a")), data.clone()]),
        ("blank in a name", vec![with_field("x note"), data.clone()]),
        (
            "blank before the colon",
            vec![with_field("x-note "), data.clone()],
        ),
        ("tab in a name", vec![with_field("x\tnote"), data.clone()]),
        (
            "control byte in a name",
            vec![with_field("x\u{1}note"), data.clone()],
        ),
        ("NUL in a name", vec![with_field("x\0note"), data.clone()]),
        (
            "DEL in a name",
            vec![with_field("x\u{7f}note"), data.clone()],
        ),
        ("empty name", vec![with_field(""), data.clone()]),
        (
            "body without its end",
            vec![head(STATUS_200), frame(DATA, 0, 1, &done)],
        ),
        (
            "body that is reset",
            vec![
                head(STATUS_200),
                frame(DATA, 0, 1, &done),
                frame(RST_STREAM, 0, 1, &[0, 0, 0, 2]),
            ],
        ),
        (
            "body shorter than its length",
            vec![
                head(&[STATUS_200, &field("content-length", "9")].concat()),
                data,
            ],
        ),
    ];

    let taken: Vec<&str> = broken
        .iter()
        .filter(|(_, frames)| takes_reply(frames))
        .map(|(name, _)| *name)
        .collect();

    assert!(takes_reply(&sound));
    assert!(taken.is_empty(), "taken: {taken:?}");
}
