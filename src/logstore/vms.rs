//! Client of the platform's list of VMs, which lags behind the actual state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::VmName;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of the platform's response.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// VMs that run or are shutting down.
    pub vms: Vec<VmName>,
}

/// Fetches the list; `None` without a successful response that can be decoded.
pub async fn fetch_vms(http: &awc::Client, platform: &str) -> Option<VmList> {
    let url = format!("{}/v1/vms", platform.trim_end_matches('/'));
    let mut response = http.get(url).timeout(LIST_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json::<VmList>().await.ok()
}
