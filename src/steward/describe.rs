//! Status of the steward as JSON, for operators.

use actix::{Handler, MessageResult};

use super::actor::StewardActor;
use super::messages::DescribeSteward;

impl Handler<DescribeSteward> for StewardActor {
    type Result = MessageResult<DescribeSteward>;

    fn handle(&mut self, _: DescribeSteward, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        let view = self.core.view();
        let members: Vec<serde_json::Value> = view
            .members()
            .iter()
            .map(|(vm, member)| {
                serde_json::json!({
                    "vm": vm,
                    "incarnation": member.join.incarnation,
                    "domain": member.join.domain,
                    "entry": member.join.entry_address,
                    "admin": member.join.admin_address,
                })
            })
            .collect();
        let targets: Vec<serde_json::Value> = self
            .core
            .pools()
            .iter()
            .flat_map(|(pool, ledger)| {
                ledger.targets().iter().map(move |(name, target)| {
                    serde_json::json!({
                        "pool": pool.to_string(),
                        "target": name,
                        "in_service": target.in_service,
                        "state": target.window.state(),
                        "limit": target.window.limit(),
                        "running": target.running(),
                        "used_tokens": target.used(),
                    })
                })
            })
            .collect();
        MessageResult(serde_json::json!({
            "vm": self.core.vm(),
            "incarnation": self.core.incarnation(),
            "member": self.core.is_member(),
            "leaving": self.core.is_leaving(),
            "offset": view.offset(),
            "fresh": self.core.is_fresh(now),
            "view_age_ms": self.core.fresh_age(now).map(|age| age.as_millis() as u64),
            "log_unreachable": self.core.heartbeat(now).log_unreachable,
            "claims": view.claims().len(),
            "members": members,
            "owned_targets": targets,
        }))
    }
}
