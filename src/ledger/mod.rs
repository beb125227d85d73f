//! Ledgers of what targets and teams can bear, and the grants taken from them.

pub mod fair_queue;
pub mod grant;
pub mod pool;
pub mod slow_start;
pub mod target_ledger;
pub mod team_ledger;
