//! Client of the platform's list of VMs, which lags behind the actual state.

use std::time::Duration;

use actix_http::Method;
use serde::{Deserialize, Serialize};

use crate::http_client::client::{ClientRequest, HttpClient};
use crate::ids::VmName;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// Body of the platform's response.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// VMs that run or are shutting down.
    pub vms: Vec<VmName>,
}

/// Fetches the list; `None` without a successful response that can be decoded.
pub async fn fetch_vms(http: &HttpClient, platform: &str) -> Option<VmList> {
    let url = format!("{}/v1/vms", platform.trim_end_matches('/'));
    let request = ClientRequest::new(Method::GET, url);
    let fetched = http.fetch(request, LIST_TIMEOUT, MAX_RESPONSE_BYTES).await;
    let (_, body) = fetched.ok().filter(|(status, _)| status.is_success())?;
    serde_json::from_slice(&body).ok()
}
