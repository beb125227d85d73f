//! How long a model engine takes, by the formula that its service declares.

use std::time::Duration;

use crate::fleet::routes::EngineSpec;

const TOKENS_PER_THOUSAND: f64 = 1_000.0;
const PAIRS_PER_MILLION: f64 = 1e6;

/// Time to read `prompt` tokens split evenly over `parts` engines that do nothing else.
///
/// ```
/// use plantainnotch::policy::engine_model::{example_spec, read_time};
/// let spec = example_spec();
/// assert!(read_time(&spec, 100_000, 4) < read_time(&spec, 100_000, 1) / 3);
/// ```
pub fn read_time(spec: &EngineSpec, prompt: u64, parts: usize) -> Duration {
    let prompt = prompt as f64;
    let pairs = prompt * prompt / 2.0 / PAIRS_PER_MILLION;
    let whole =
        prompt / spec.read_per_ms.max(f64::MIN_POSITIVE) + pairs * spec.ms_per_million_pairs;
    from_ms(whole / parts.max(1) as f64)
}

/// Time of one pass in which requests with `context` tokens in all are generating.
pub fn pass_time(spec: &EngineSpec, generating: usize, context: u64) -> Duration {
    let step = spec.step_ms
        + spec.step_ms_per_request * generating as f64
        + spec.step_ms_per_thousand * context as f64 / TOKENS_PER_THOUSAND;
    from_ms(step * spec.stride.max(1.0))
}

/// Time to generate `output` tokens with `context` tokens in memory and little beside.
pub fn generate_time(spec: &EngineSpec, context: u64, output: u64) -> Duration {
    let step = spec.step_ms
        + spec.step_ms_per_request
        + spec.split_step_ms
        + spec.step_ms_per_thousand * context as f64 / TOKENS_PER_THOUSAND;
    from_ms(step * output as f64)
}

fn from_ms(value: f64) -> Duration {
    Duration::from_secs_f64((value / TOKENS_PER_THOUSAND).clamp(0.0, 86_400.0))
}

/// An engine of the size that the users run, for examples and tests.
pub fn example_spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 232_000,
        stride: 43.0,
        step_ms: 1.02,
        step_ms_per_request: 0.002_26,
        step_ms_per_thousand: 0.004_31,
        read_per_ms: 206.0,
        ms_per_million_pairs: 0.138,
        split_step_ms: 0.075,
    }
}
