//! Address directory for callers, and the platform's readiness check.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// Path at which callers look up addresses of nodes.
pub const DIRECTORY_PATH: &str = "/api/resolve";
/// Path of the platform's readiness check.
pub const READINESS_PATH: &str = "/api/ready";
/// Largest number of addresses in one response.
pub const MAX_ADDRESSES: usize = 64;

#[derive(Debug, Serialize)]
struct DirectoryBody {
    addresses: Vec<String>,
    ttl_s: f64,
}

/// Reads the caller's failure domain from the query string.
///
/// ```
/// use plantainnotch::platform::directory::caller_domain;
/// assert_eq!(caller_domain("name=a&region=r&zone=kgl-a"), Some("kgl-a"));
/// ```
pub fn caller_domain(query: &str) -> Option<&str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(name, value)| (name == "zone").then_some(value))
}

/// Encodes the directory's response; `ttl` is the time for which callers may cache it.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::platform::directory::encode_addresses;
/// let body = encode_addresses(&["10.0.0.1:80".parse().unwrap()], Duration::from_secs(2));
/// assert!(body.contains("10.0.0.1:80"));
/// ```
pub fn encode_addresses(addresses: &[SocketAddr], ttl: Duration) -> String {
    let body = DirectoryBody {
        addresses: addresses
            .iter()
            .take(MAX_ADDRESSES)
            .map(SocketAddr::to_string)
            .collect(),
        ttl_s: ttl.as_secs_f64(),
    };
    serde_json::to_string(&body).expect("strings and a finite number serialize to JSON")
}
