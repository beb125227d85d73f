//! Rebuilds the view from a checkpoint in the log, or from a snapshot of a peer.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::Offset;
use crate::logstore::log::LogClient;
use crate::view::View;
use crate::view::checkpoint;
use crate::wire::{PeerCall, PeerClient, PeerReply};

const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a view newer than `own`, if the log or a peer has one.
pub(super) async fn rebuild_view(
    log: &LogClient,
    peers: &[Arc<PeerClient>],
    own: Offset,
) -> Option<View> {
    match log.read_all().await {
        Ok(log_read) => match checkpoint::rebuild(log_read.head, &log_read.entries) {
            Ok(view) if view.offset() > own => return Some(view),
            Ok(_) => {}
            Err(error) => tracing::warn!(%error, "no view can be built from the log; asking peers"),
        },
        Err(error) => tracing::warn!(%error, "the log cannot be read; asking peers"),
    }
    for peer in peers {
        let Ok(PeerReply::Snapshot { state }) =
            peer.call(&PeerCall::Snapshot, SNAPSHOT_TIMEOUT).await
        else {
            continue;
        };
        match checkpoint::decode(own, &state) {
            Ok(view) if view.offset() > own => return Some(view),
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, peer = peer.address(), "peer's snapshot cannot be decoded");
            }
        }
    }
    None
}
