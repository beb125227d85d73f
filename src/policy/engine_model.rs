//! Performance model of a model engine: run times by the coefficients that its service declares.

use std::time::Duration;

use crate::fleet::routes::EngineSpec;

const THOUSAND: f64 = 1_000.0;
const MILLION: f64 = 1e6;

/// Prefill time of `prompt_tokens`, split evenly over `parts` otherwise idle engines.
///
/// Each pair of tokens costs attention time, so the time grows faster than the length.
///
/// ```
/// use plantainnotch::policy::engine_model::{example_spec, prefill_time};
/// let spec = example_spec();
/// assert!(prefill_time(&spec, 100_000, 4) < prefill_time(&spec, 100_000, 1) / 3);
/// ```
pub fn prefill_time(spec: &EngineSpec, prompt_tokens: u64, parts: usize) -> Duration {
    let tokens = prompt_tokens as f64;
    let pairs = tokens * tokens / 2.0 / MILLION;
    let unsplit_ms = tokens / spec.prefill_tokens_per_ms.max(f64::MIN_POSITIVE)
        + pairs * spec.ms_per_million_pairs;
    from_ms(unsplit_ms / parts.max(1) as f64)
}

/// Time of one pass, which is `spec.steps_per_pass` decode steps, while `generating` requests with
/// `context_tokens` in total generate and nothing is prefilled.
pub fn pass_time(spec: &EngineSpec, generating: usize, context_tokens: u64) -> Duration {
    let step_ms = spec.step_ms
        + spec.step_ms_per_request * generating as f64
        + spec.step_ms_per_thousand_tokens * context_tokens as f64 / THOUSAND;
    from_ms(step_ms * spec.steps_per_pass.max(1.0))
}

/// Time to generate `output_tokens` at a context of `context_tokens` on an engine with no other
/// request.
pub fn decode_time(spec: &EngineSpec, context_tokens: u64, output_tokens: u64) -> Duration {
    let step_ms = spec.step_ms
        + spec.step_ms_per_request
        + spec.helper_step_ms
        + spec.step_ms_per_thousand_tokens * context_tokens as f64 / THOUSAND;
    from_ms(step_ms * output_tokens as f64)
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / THOUSAND).clamp(0.0, 86_400.0))
}

/// Coefficients of an engine of the size that users run, for doc examples and tests.
pub fn example_spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 232_000,
        steps_per_pass: 43.0,
        step_ms: 1.02,
        step_ms_per_request: 0.002_26,
        step_ms_per_thousand_tokens: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        ms_per_million_pairs: 0.138,
        helper_step_ms: 0.075,
    }
}
