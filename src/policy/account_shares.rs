//! Recent use of a service's engines by client account, and which accounts are over their fair share.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::engine_model::{decode_time, prefill_time};
use crate::fleet::routes::EngineSpec;
use crate::ids::TeamName;

/// Time after which use and demand count half.
pub const HALF_LIFE: Duration = Duration::from_secs(10);
/// Multiple of its max-min share above which an account is over it: ordinary accounts differ by less,
/// and are served in the order of their objectives.
pub const MAX_SHARE_MULTIPLE: f64 = 2.0;
/// Time between two computations of the shares; use decays by 3 % in it.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Part of its demand from which on an account counts as served in full: prompts that wait for a second
/// are a tenth of the demand that [`HALF_LIFE`] remembers.
const MET_DEMAND_SHARE: f64 = 0.9;
/// Engine seconds below which an account is no longer kept.
const MIN_KEPT_DEMAND: f64 = 1e-6;
/// Half-lives after which the stored amounts are scaled down, so that they stay finite.
const MAX_HALF_LIVES: f64 = 64.0;

/// An account, or all callers without one.
pub type Account = Option<TeamName>;

/// What one account asked for and got, in engine seconds weighted by the time of recording.
#[derive(Debug, Clone, Copy, Default)]
struct AccountUse {
    demand: f64,
    used: f64,
}

impl AccountUse {
    fn is_met(self) -> bool {
        self.used >= self.demand * MET_DEMAND_SHARE
    }
}

/// Use and demand of a service's accounts, which decay with [`HALF_LIFE`].
///
/// Amounts are stored with a weight that doubles with each half-life instead of being decayed one by
/// one, so that recording one takes no pass over the accounts.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::TeamName;
/// use plantainnotch::policy::account_shares::AccountShares;
/// let (mut shares, now) = (AccountShares::default(), Instant::now());
/// let account = |name: &str| Some(TeamName::new(name));
/// for name in ["a", "b", "c", "d"] {
///     shares.record_demand(&account(name), 9.0, now);
/// }
/// shares.record_use(&account("a"), 9.0, now);
/// shares.refresh(now + Duration::from_secs(1));
/// assert!(shares.is_over(&account("a")));
/// assert!(!shares.is_over(&account("b")));
/// ```
#[derive(Debug, Default)]
pub struct AccountShares {
    accounts: BTreeMap<Account, AccountUse>,
    /// Time at which a recorded amount has the weight 1.
    origin: Option<Instant>,
    over: BTreeSet<Account>,
    refreshed_at: Option<Instant>,
}

impl AccountShares {
    /// Records that a prompt of `engine_seconds` arrived.
    pub fn record_demand(&mut self, account: &Account, engine_seconds: f64, now: Instant) {
        let weighted = engine_seconds * self.weight(now);
        self.entry(account).demand += weighted;
    }

    /// Records that a prompt of `engine_seconds` was placed.
    pub fn record_use(&mut self, account: &Account, engine_seconds: f64, now: Instant) {
        let weighted = engine_seconds * self.weight(now);
        self.entry(account).used += weighted;
    }

    /// Whether an account was over its share at the last [`Self::refresh`].
    pub fn is_over(&self, account: &Account) -> bool {
        self.over.contains(account)
    }

    /// The accounts that were over their share at the last [`Self::refresh`].
    pub fn over(&self) -> &BTreeSet<Account> {
        &self.over
    }

    /// Computes which accounts are over their share, if the last computation is 500 ms old; returns
    /// them if they changed.
    pub fn refresh(&mut self, now: Instant) -> Option<&BTreeSet<Account>> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return None;
        }
        self.refreshed_at = Some(now);
        let min_kept = MIN_KEPT_DEMAND * self.weight(now);
        self.accounts
            .retain(|_, account| account.demand.max(account.used) > min_kept);
        let limit = MAX_SHARE_MULTIPLE * self.max_min_share();
        let over: BTreeSet<Account> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.used > limit)
            .map(|(name, _)| name.clone())
            .collect();
        if over == self.over {
            return None;
        }
        self.over = over;
        Some(&self.over)
    }

    /// The largest amount that an account may use if all of them share what was used: an account whose
    /// demand is met claims what it used, any other one as much as it can get.
    fn max_min_share(&self) -> f64 {
        let mut left: f64 = self.accounts.values().map(|account| account.used).sum();
        let mut met: Vec<f64> = self
            .accounts
            .values()
            .filter(|account| account.is_met())
            .map(|account| account.used)
            .collect();
        if met.len() == self.accounts.len() {
            return f64::INFINITY;
        }
        met.sort_unstable_by(f64::total_cmp);
        let mut claiming = self.accounts.len();
        for used in met {
            if used * claiming as f64 >= left {
                break;
            }
            left -= used;
            claiming -= 1;
        }
        left / claiming as f64
    }

    fn entry(&mut self, account: &Account) -> &mut AccountUse {
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.clone(), AccountUse::default());
        }
        self.accounts
            .get_mut(account)
            .expect("the account was inserted")
    }

    /// Weight of an amount that is recorded at `now`.
    fn weight(&mut self, now: Instant) -> f64 {
        let origin = *self.origin.get_or_insert(now);
        let age = now.saturating_duration_since(origin);
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        if half_lives < MAX_HALF_LIVES {
            return half_lives.exp2();
        }
        let scale = (-half_lives).exp2();
        for account in self.accounts.values_mut() {
            account.demand *= scale;
            account.used *= scale;
        }
        self.origin = Some(now);
        1.0
    }
}

/// What a prompt takes of one engine, in seconds of that engine: its time, or its memory for the time
/// that it is held, whichever is the larger part.
///
/// ```
/// use plantainnotch::policy::account_shares::engine_seconds;
/// use plantainnotch::policy::engine_model::example_spec;
/// let spec = example_spec();
/// assert!(engine_seconds(&spec, 130_000, 400) > 12.0 * engine_seconds(&spec, 5_000, 400));
/// ```
pub fn engine_seconds(spec: &EngineSpec, prompt_tokens: u64, max_output_tokens: u64) -> f64 {
    let prefill = prefill_time(spec, prompt_tokens, 1).as_secs_f64();
    let decode = decode_time(spec, prompt_tokens, max_output_tokens).as_secs_f64();
    let memory_share =
        (prompt_tokens + max_output_tokens) as f64 / spec.memory_tokens.max(1) as f64;
    let time = prefill + decode / spec.slots.max(1) as f64;
    time.max(memory_share * (prefill + decode))
}
