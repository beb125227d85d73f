//! Admission: ledgers of the capacity of targets and teams, and the grants made from them.

pub mod fair_queue;
pub mod grant;
pub mod pool;
pub mod slow_start;
pub mod target_ledger;
pub mod team_ledger;
