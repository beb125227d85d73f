//! Lanes for short and long prompts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::estimate::RateEstimate;

/// A prompt whose prefill takes longer than this is long.
pub const SHORT_PREFILL: Duration = Duration::from_secs(1);

/// Room kept for short prompts beyond their measured demand.
const SHORT_HEADROOM: f64 = 1.5;

/// The lane of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PromptLane {
    /// Prefill under about a second.
    Short,
    /// The rest.
    Long,
}

impl PromptLane {
    /// The lane's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// The lane of a prompt of `prompt` tokens.
///
/// ```
/// use plantainnotch::policy::{estimate::RateEstimate, lane::{PromptLane, lane_of}};
/// let rate = RateEstimate::default();
/// assert_eq!(lane_of(1_000, &rate), PromptLane::Short);
/// assert_eq!(lane_of(1_000_000, &rate), PromptLane::Long);
/// ```
pub fn lane_of(prompt: u64, rate: &RateEstimate) -> PromptLane {
    if rate.prefill_time(prompt) <= SHORT_PREFILL {
        PromptLane::Short
    } else {
        PromptLane::Long
    }
}

/// How many of `targets` long prefill may hold, when short prompts need
/// `short_share` of the pool's prefill capacity.
///
/// ```
/// use plantainnotch::policy::lane::long_target_cap;
/// assert_eq!(long_target_cap(5, 0.0), 4);
/// assert_eq!(long_target_cap(5, 0.5), 1);
/// assert_eq!(long_target_cap(1, 0.0), 1);
/// ```
pub fn long_target_cap(targets: usize, short_share: f64) -> usize {
    let kept = (targets as f64 * short_share.clamp(0.0, 1.0) * SHORT_HEADROOM).ceil() as usize;
    targets.saturating_sub(kept.max(1)).max(1)
}

/// Priority at a target: each doubling of the prompt goes one step later, so that a
/// prompt waits for shorter ones and for work already begun, never behind longer ones.
///
/// ```
/// use plantainnotch::policy::lane::length_priority;
/// assert!(length_priority(1_000) < length_priority(10_000));
/// ```
pub fn length_priority(prompt: u64) -> i64 {
    i64::from((prompt / 1_000 + 1).ilog2())
}
