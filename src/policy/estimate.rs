//! Moving estimates of the speed of a pool's targets and of the demand on them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const SAMPLE_WEIGHT: f64 = 0.1;
const SLOWER_SAMPLE_WEIGHT: f64 = 0.02;
const MIN_SAMPLE_TOKENS: u64 = 2_000; // below, the fixed cost of the first token dominates
const INITIAL_PREFILL_TOKENS_PER_S: f64 = 20_000.0;
const INITIAL_TOKEN_INTERVAL_S: f64 = 0.02;
const DEMAND_HALF_LIFE_S: f64 = 10.0;

/// Estimated speed of any one target of a pool and the used share of the allowed output, updated
/// by exponential moving averages over all targets of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateEstimate {
    prefill_tokens_per_s: f64,
    token_interval_s: f64,
    used_output_share: f64,
}

impl Default for RateEstimate {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: INITIAL_PREFILL_TOKENS_PER_S,
            token_interval_s: INITIAL_TOKEN_INTERVAL_S,
            used_output_share: 1.0,
        }
    }
}

impl RateEstimate {
    /// Updates the prefill speed from a target that had `backlog_tokens` to prefill until a
    /// first token, which took `elapsed`. Shorter prompts may have taken an unknown part of that
    /// time, so a sample below the estimate weighs less than one above it.
    pub fn record_prefill(&mut self, backlog_tokens: u64, elapsed: Duration) {
        if backlog_tokens < MIN_SAMPLE_TOKENS || elapsed.is_zero() {
            return;
        }
        let sample = backlog_tokens as f64 / elapsed.as_secs_f64();
        let weight = if sample < self.prefill_tokens_per_s {
            SLOWER_SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        };
        update_average(&mut self.prefill_tokens_per_s, sample, weight);
    }

    /// Updates the decode speed and the expected length from a response of `output_tokens`, out
    /// of `max_output_tokens` allowed, that took `elapsed` after its first token.
    pub fn record_decode(&mut self, output_tokens: u64, max_output_tokens: u64, elapsed: Duration) {
        if output_tokens < 2 || max_output_tokens == 0 {
            return;
        }
        update_average(
            &mut self.token_interval_s,
            elapsed.as_secs_f64() / output_tokens as f64,
            SAMPLE_WEIGHT,
        );
        update_average(
            &mut self.used_output_share,
            output_tokens as f64 / max_output_tokens as f64,
            SAMPLE_WEIGHT,
        );
    }

    /// Time to prefill `prompt_tokens` on one idle target.
    pub fn prefill_time(&self, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(prompt_tokens as f64 / self.prefill_tokens_per_s.max(1.0))
    }

    /// Expected time to generate a response of at most `max_output_tokens`.
    pub fn decode_time(&self, max_output_tokens: u64) -> Duration {
        let output_tokens = max_output_tokens as f64 * self.used_output_share.min(1.0);
        Duration::from_secs_f64(output_tokens * self.token_interval_s)
    }

    /// Prompt tokens per second that one target prefills.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        self.prefill_tokens_per_s
    }
}

fn update_average(value: &mut f64, sample: f64, weight: f64) {
    *value += weight * (sample - *value);
}

/// Rate of arriving prompt tokens, with exponential decay.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    /// Tokens that have arrived, as decayed by `updated_at`.
    tokens: f64,
    updated_at: Option<Instant>,
}

impl DemandMeter {
    /// Creates a meter at a rate of 0.
    pub fn new() -> Self {
        Self {
            tokens: 0.0,
            updated_at: None,
        }
    }

    /// Adds an arrival of `tokens`.
    pub fn record_arrival(&mut self, tokens: u64, now: Instant) {
        self.tokens = self.decayed_tokens(now) + tokens as f64;
        self.updated_at = Some(now);
    }

    /// Tokens per second at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use plantainnotch::policy::estimate::DemandMeter;
    /// let mut meter = DemandMeter::new();
    /// let now = Instant::now();
    /// meter.record_arrival(1_000, now);
    /// assert!(meter.tokens_per_s(now + Duration::from_secs(60)) < meter.tokens_per_s(now));
    /// ```
    pub fn tokens_per_s(&self, now: Instant) -> f64 {
        self.decayed_tokens(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }

    fn decayed_tokens(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        self.tokens * (-age * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S).exp()
    }
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::new()
    }
}
