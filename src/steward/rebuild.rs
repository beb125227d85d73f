//! Builds a view anew from the log's checkpoints, or from a peer.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::Offset;
use crate::logstore::log::LogClient;
use crate::view::View;
use crate::view::checkpoint;
use crate::wire::{PeerCall, PeerClient, PeerReply};

const SNAPSHOT_WITHIN: Duration = Duration::from_secs(5);

/// A view newer than `own`, if the log or a peer has one.
pub(super) async fn rebuild_view(
    log: &LogClient,
    peers: &[Arc<PeerClient>],
    own: Offset,
) -> Option<View> {
    match log.read_all().await {
        Ok(all) => match checkpoint::rebuild(all.head, &all.entries) {
            Ok(view) if view.offset() > own => return Some(view),
            Ok(_) => {}
            Err(error) => tracing::warn!(%error, "the log alone does not give a view"),
        },
        Err(error) => tracing::warn!(%error, "the log cannot be read; asking peers"),
    }
    for peer in peers {
        let Ok(PeerReply::Snapshot { state }) =
            peer.call(&PeerCall::Snapshot, SNAPSHOT_WITHIN).await
        else {
            continue;
        };
        match checkpoint::decode(own, &state) {
            Ok(view) if view.offset() > own => return Some(view),
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, peer = peer.address(), "peer's view cannot be read");
            }
        }
    }
    None
}
