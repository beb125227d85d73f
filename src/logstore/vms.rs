//! Client of the platform's list of VMs, which lags.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::VmName;

const LIST_WITHIN: Duration = Duration::from_secs(2);

/// The platform's list.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// VMs that live or are leaving.
    pub vms: Vec<VmName>,
}

/// Asks for the list; `None` when the platform gives no good answer.
pub async fn fetch_vms(http: &awc::Client, platform: &str) -> Option<VmList> {
    let url = format!("{}/v1/vms", platform.trim_end_matches('/'));
    let mut answer = http.get(url).timeout(LIST_WITHIN).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json::<VmList>().await.ok()
}
