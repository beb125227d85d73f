//! Client of the log and of the members' status pages.

use std::time::Duration;

use actix_http::Method;
use eyre::{Result, WrapErr};

use crate::clock::TimeSource;
use crate::http_client::client::{ClientOptions, ClientRequest, HttpClient};
use crate::ids::{Offset, VmName};
use crate::logstore::log::{LogClient, LogRead};
use crate::view::View;
use crate::view::checkpoint;

const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Reads and appends records, and fetches the members' pages as JSON.
pub struct FleetClient {
    /// Client of the log at the platform.
    pub log: LogClient,
    http: HttpClient,
}

/// Status pages of one VM's processes; each has the offset up to which it has folded the log.
#[derive(Debug, Clone)]
pub struct VmProgress {
    /// Name of the VM, from its join record.
    pub vm: VmName,
    /// The steward's status page, if it answered.
    pub steward: Option<serde_json::Value>,
    /// The entry's status page, if it answered.
    pub entry: Option<serde_json::Value>,
}

impl VmProgress {
    /// Whether both processes have folded `offset` and have a fresh view.
    pub fn is_in_force(&self, offset: Offset) -> bool {
        [&self.steward, &self.entry].into_iter().all(|page| {
            let page = page.as_ref();
            page.is_some_and(|page| {
                page["offset"].as_u64() >= Some(offset.0) && page["fresh"] == true
            })
        })
    }
}

impl FleetClient {
    /// A client of the platform with this URL.
    pub fn new(platform: &str) -> Self {
        Self {
            log: LogClient::new(platform, TimeSource::system()),
            http: HttpClient::new(ClientOptions::default(), TimeSource::system()),
        }
    }

    /// Reads all records that the log has, and rebuilds the view from them.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read or gives no valid view.
    pub async fn read_view(&self) -> Result<(View, LogRead)> {
        let log_read = self.log.read_all().await?;
        let view = checkpoint::rebuild(log_read.head, &log_read.entries)
            .wrap_err("the table cannot be read")?;
        Ok((view, log_read))
    }

    /// Fetches a page as JSON, whatever its status; `None` without a response in time or with
    /// an unreadable body.
    pub async fn fetch_page(&self, address: &str, path: &str) -> Option<serde_json::Value> {
        let url = format!("http://{address}{path}");
        let request = ClientRequest::new(Method::GET, url);
        let fetched = self.http.fetch(request, PAGE_TIMEOUT, MAX_PAGE_BYTES);
        let (_, body) = fetched.await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Fetches the status pages of all members.
    pub async fn progress(&self, view: &View) -> Vec<VmProgress> {
        let fetches = view.members().iter().map(|(vm, member)| async {
            let join = &member.join;
            VmProgress {
                vm: vm.clone(),
                steward: self.fetch_page(&join.admin_address, "/v1/status").await,
                entry: self.fetch_page(&join.entry_address, "/v1/status").await,
            }
        });
        futures_util::future::join_all(fetches).await
    }
}
