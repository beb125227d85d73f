//! What the operators' commands read: the log, and the members' pages.

use std::time::Duration;

use eyre::{Result, WrapErr};

use crate::ids::{Offset, VmName};
use crate::logstore::log::{LogClient, LogRead};
use crate::view::View;
use crate::view::checkpoint;

const PAGE_WITHIN: Duration = Duration::from_secs(2);

/// The log and an HTTP client.
pub struct FleetClient {
    /// The log.
    pub log: LogClient,
    http: awc::Client,
}

/// How far one VM has folded.
#[derive(Debug, Clone)]
pub struct VmProgress {
    /// The VM.
    pub vm: VmName,
    /// The steward's status page, if it answered.
    pub steward: Option<serde_json::Value>,
    /// The entry's status page, if it answered.
    pub entry: Option<serde_json::Value>,
}

impl VmProgress {
    /// Whether both processes have folded `offset` and have a fresh view.
    pub fn has_folded(&self, offset: Offset) -> bool {
        [&self.steward, &self.entry].into_iter().all(|page| {
            let page = page.as_ref();
            page.is_some_and(|page| {
                page["offset"].as_u64() >= Some(offset.0) && page["fresh"] == true
            })
        })
    }
}

impl FleetClient {
    /// A client of the platform at a URL.
    pub fn new(platform: &str) -> Self {
        Self {
            log: LogClient::new(platform),
            http: awc::Client::builder().timeout(PAGE_WITHIN).finish(),
        }
    }

    /// All records and the view that they give.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read or does not give a view.
    pub async fn read_view(&self) -> Result<(View, LogRead)> {
        let all = self.log.read_all().await?;
        let view =
            checkpoint::rebuild(all.head, &all.entries).wrap_err("the table cannot be read")?;
        Ok((view, all))
    }

    /// A page as JSON; `None` when there is no good answer.
    pub async fn page(&self, address: &str, path: &str) -> Option<serde_json::Value> {
        let url = format!("http://{address}{path}");
        let mut answer = self.http.get(url).send().await.ok()?;
        answer.json().limit(16 << 20).await.ok()
    }

    /// How far each member has folded.
    pub async fn progress(&self, view: &View) -> Vec<VmProgress> {
        let asked = view.members().iter().map(|(vm, member)| async {
            let join = &member.join;
            VmProgress {
                vm: vm.clone(),
                steward: self.page(&join.admin_address, "/v1/status").await,
                entry: self.page(&join.entry_address, "/v1/status").await,
            }
        });
        futures_util::future::join_all(asked).await
    }
}
