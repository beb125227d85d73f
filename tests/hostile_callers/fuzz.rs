//! Seeded bytes from `notch-fake fuzz` against a node and an entry.
//!
//! `NOTCH_FUZZ_SECONDS` and `NOTCH_FUZZ_SEED` make a run longer, or another.

use std::net::SocketAddr;
use std::process::Command;

use crate::crowd::HostileBed;
use crate::entries::{AUTHORIZATION, CHAT_PATH, EntryBed, chat};

/// Runs the fuzzer, which fails if an ordinary request is not answered afterwards.
fn fuzz(address: SocketAddr, path: &str, headers: &[&str], body: &str) {
    let variable = |name: &str, default: &str| std::env::var(name).unwrap_or(default.to_owned());
    let mut command = Command::new(env!("CARGO_BIN_EXE_notch-fake"));
    command
        .args(["fuzz", "--method", "POST", "--path", path, "--body", body])
        .args(["--address", &address.to_string()])
        .args(["--seconds", &variable("NOTCH_FUZZ_SECONDS", "5")])
        .args(["--seed", &variable("NOTCH_FUZZ_SEED", "1")]);
    for header in headers {
        command.args(["--header", header]);
    }
    let output = command.output().expect("the program is built");
    let error = String::from_utf8_lossy(&output.stderr);
    println!("{}{error}", String::from_utf8_lossy(&output.stdout));
    assert!(output.status.success(), "the fuzzer failed: {error}");
}

/// Guards against bytes that end or hang a node, or take its memory.
#[test]
fn a_node_withstands_seeded_bytes() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    let headers = [
        "x-plantainnotch-key: key-a",
        "x-plantainnotch-deadline: 5000",
        "x-plantainnotch-token-count: 1000,400",
    ];
    hostile.withstand(|_| fuzz(callers, "/single/7", &headers, "prompt"));
}

/// Guards against bytes that end or hang an entry, or take its memory.
#[test]
fn an_entry_withstands_seeded_bytes() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    let headers = [AUTHORIZATION.trim(), "request-timeout-ms: 5000"];
    entry.withstand(|_| fuzz(callers, CHAT_PATH, &headers, &chat(true)));
}
