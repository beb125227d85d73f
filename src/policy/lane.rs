//! Lanes: short and long prompts are queued and placed apart.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::estimate::RateEstimate;

/// Longest prefill on an idle target that counts as short.
pub const MAX_SHORT_LANE_PREFILL: Duration = Duration::from_secs(1);

/// Capacity reserved for short prompts, as a multiple of their measured demand.
const SHORT_HEADROOM: f64 = 1.5;

/// Lane of a prompt, by its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PromptLane {
    /// Prefill takes at most [`MAX_SHORT_LANE_PREFILL`].
    Short,
    /// Prefill takes longer.
    Long,
}

impl PromptLane {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// The lane of a prompt of `prompt_tokens`, at the prefill speed of `rate`.
///
/// ```
/// use plantainnotch::policy::{estimate::RateEstimate, lane::{PromptLane, lane_of}};
/// let rate = RateEstimate::default();
/// assert_eq!(lane_of(1_000, &rate), PromptLane::Short);
/// assert_eq!(lane_of(1_000_000, &rate), PromptLane::Long);
/// ```
pub fn lane_of(prompt_tokens: u64, rate: &RateEstimate) -> PromptLane {
    if rate.prefill_time(prompt_tokens) <= MAX_SHORT_LANE_PREFILL {
        PromptLane::Short
    } else {
        PromptLane::Long
    }
}

/// How many of `targets` may prefill long prompts at the same time, if short prompts need
/// `short_share` of the pool's prefill capacity. At least 1.
///
/// ```
/// use plantainnotch::policy::lane::max_long_targets;
/// assert_eq!(max_long_targets(5, 0.0), 4);
/// assert_eq!(max_long_targets(5, 0.5), 1);
/// assert_eq!(max_long_targets(1, 0.0), 1);
/// ```
pub fn max_long_targets(targets: usize, short_share: f64) -> usize {
    let reserved = (targets as f64 * short_share.clamp(0.0, 1.0) * SHORT_HEADROOM).ceil() as usize;
    targets.saturating_sub(reserved.max(1)).max(1)
}

/// Priority of a prompt at its target; lower goes first. It rises by 1 with each doubling of the
/// length, so that a prompt waits for shorter ones and for running work, but not for longer ones.
///
/// ```
/// use plantainnotch::policy::lane::length_priority;
/// assert!(length_priority(1_000) < length_priority(10_000));
/// ```
pub fn length_priority(prompt_tokens: u64) -> i64 {
    i64::from((prompt_tokens / 1_000 + 1).ilog2())
}
