//! Estimates of how fast a pool's targets work, learned from what was served.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const SAMPLE_WEIGHT: f64 = 0.1;
const LOWER_SAMPLE_WEIGHT: f64 = 0.02;
const SHORTEST_SAMPLE_TOKENS: u64 = 2_000; // below, the first token's own overhead dominates
const INITIAL_PREFILL_PER_S: f64 = 20_000.0;
const INITIAL_DECODE_INTERVAL_S: f64 = 0.02;
const DEMAND_HALF_LIFE_S: f64 = 10.0;

/// Speed of one target of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateEstimate {
    prefill_per_s: f64,
    decode_interval_s: f64,
    output_share: f64,
}

impl Default for RateEstimate {
    fn default() -> Self {
        Self {
            prefill_per_s: INITIAL_PREFILL_PER_S,
            decode_interval_s: INITIAL_DECODE_INTERVAL_S,
            output_share: 1.0,
        }
    }
}

impl RateEstimate {
    /// Learns from a target that had `backlog` prompt tokens to prefill until a first
    /// token that took `elapsed`. What shorter prompts took in between is not known, so a
    /// lower sample counts for less than a higher one.
    pub fn learn_prefill(&mut self, backlog: u64, elapsed: Duration) {
        if backlog < SHORTEST_SAMPLE_TOKENS || elapsed.is_zero() {
            return;
        }
        let sample = backlog as f64 / elapsed.as_secs_f64();
        let weight = if sample < self.prefill_per_s {
            LOWER_SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        };
        blend(&mut self.prefill_per_s, sample, weight);
    }

    /// Learns from an answer of `output` tokens, of `max_output` allowed, that took
    /// `elapsed` after its first token.
    pub fn learn_decode(&mut self, output: u64, max_output: u64, elapsed: Duration) {
        if output < 2 || max_output == 0 {
            return;
        }
        blend(
            &mut self.decode_interval_s,
            elapsed.as_secs_f64() / output as f64,
            SAMPLE_WEIGHT,
        );
        blend(
            &mut self.output_share,
            output as f64 / max_output as f64,
            SAMPLE_WEIGHT,
        );
    }

    /// Time to prefill `prompt` tokens on one idle target.
    pub fn prefill_time(&self, prompt: u64) -> Duration {
        Duration::from_secs_f64(prompt as f64 / self.prefill_per_s.max(1.0))
    }

    /// Time to generate an answer of which at most `max_output` tokens are allowed.
    pub fn decode_time(&self, max_output: u64) -> Duration {
        let expected = max_output as f64 * self.output_share.min(1.0);
        Duration::from_secs_f64(expected * self.decode_interval_s)
    }

    /// Prompt tokens a second that one target prefills.
    pub fn prefill_per_s(&self) -> f64 {
        self.prefill_per_s
    }
}

fn blend(value: &mut f64, sample: f64, weight: f64) {
    *value += weight * (sample - *value);
}

/// Prompt tokens a second that arrive, with older arrivals counting less.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    tokens: f64,
    at: Option<Instant>,
}

impl DemandMeter {
    /// A meter that has seen nothing.
    pub fn new() -> Self {
        Self {
            tokens: 0.0,
            at: None,
        }
    }

    /// Notes an arrival of `tokens`.
    pub fn arrive(&mut self, tokens: u64, now: Instant) {
        self.tokens = self.decayed(now) + tokens as f64;
        self.at = Some(now);
    }

    /// Tokens a second at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use plantainnotch::policy::estimate::DemandMeter;
    /// let mut meter = DemandMeter::new();
    /// let now = Instant::now();
    /// meter.arrive(1_000, now);
    /// assert!(meter.per_s(now + Duration::from_secs(60)) < meter.per_s(now));
    /// ```
    pub fn per_s(&self, now: Instant) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.tokens * (-age * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S).exp()
    }
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::new()
    }
}
