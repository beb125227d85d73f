//! Choice of the engines for a prompt, and of the number of parts that it is split into.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::ledger::{EngineLedger, LATE_VALUE_SHARE};
use super::request::{EnginePlacement, PlacementRequest, SplitPart};
use super::{DecisionPass, EngineDispatcher, MAX_SHORT_PREFILL, QueuedRequest, decode_pass_time};
use crate::ids::TargetName;
use crate::policy::engine_model::{decode_time, pass_time, prefill_time};

/// Share of an on-time request's value that is lost per objective that passes before its first
/// event: engines that are busy for longer delay the requests that follow.
const LATENCY_COST_SHARE: f64 = 0.15;
/// Share of the allowed event gap up to which a predicted gap counts as safe.
const SAFE_GAP_SHARE: f64 = 0.75;
/// Share of the objective up to which a predicted first event counts as safe.
const SAFE_OBJECTIVE_SHARE: f64 = 0.75;
/// Share of the cold limit that is used.
const COLD_LIMIT_SHARE: f64 = 0.75;
/// Time left of long prefills up to which an engine counts as available: a prompt that arrives
/// before they end is prefilled in the next pass.
const MAX_AVAILABLE_PREFILL_LEFT: Duration = Duration::from_millis(70);
/// Wait for the next prefill up to which an engine is preferred to those that are still busy.
const MAX_PREFERRED_PREFILL_WAIT: Duration = Duration::from_millis(35);
/// Most engines that one prompt is split over: the lead and 16 helpers.
pub(super) const MAX_PARTS: usize = 17;
/// Streams of short prompts that are packed onto an engine before the next one is used.
pub(super) const MAX_PACKED_SHORT_PROMPTS: usize = 13;
/// Share of an engine's memory that placements may fill.
pub(super) const PLANNED_MEMORY_SHARE: f64 = 0.96;

impl EngineDispatcher {
    /// Time to the first event if the prompt started now on as many idle engines as possible.
    pub fn min_first_event_time(&self, prompt_tokens: u64) -> Duration {
        let parts = self.accepting_engine_count().clamp(1, MAX_PARTS);
        prefill_time(&self.spec, prompt_tokens, parts) + pass_time(&self.spec, 1, prompt_tokens)
    }

    /// Time from the first event to the last one on an idle engine.
    pub fn min_decode_time(&self, prompt_tokens: u64, output_tokens: u64) -> Duration {
        decode_time(&self.spec, prompt_tokens, output_tokens)
    }

    /// Time to the first event of a short prompt that starts now on an engine with half of its
    /// slots in use; zero for a longer prompt.
    pub(super) fn typical_first_event_time(&self, prompt_tokens: u64) -> Duration {
        let prefill = prefill_time(&self.spec, prompt_tokens, 1);
        if prefill > MAX_SHORT_PREFILL {
            return Duration::ZERO;
        }
        let streams = self.spec.slots / 2;
        prefill + pass_time(&self.spec, streams, prompt_tokens * streams as u64).mul_f64(1.5)
    }

    pub(super) fn place_short(
        &self,
        queued: &QueuedRequest,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> Option<EnginePlacement> {
        let request = &queued.request;
        let own_prefill = queued.times.unsplit_prefill;
        let objective_left = queued.objective_at().saturating_duration_since(now);
        let memory = request.prompt_tokens + request.max_output_tokens;
        if pass.failed_memory.is_some_and(|failed| memory >= failed) {
            return None;
        }
        let candidates = self.engines.values().filter(|engine| {
            !request.excluded_targets.contains(&engine.target.name)
                && engine.memory_used() + memory <= self.planned_memory()
                && self.takes_short(engine, now)
        });
        let safe_objective = objective_left.mul_f64(SAFE_OBJECTIVE_SHARE);
        let predicted = candidates.map(|engine| {
            let decode_pass = self.decode_pass_time(engine, request.prompt_tokens);
            let next = engine.next_pass(decode_pass, now);
            let own_prefill = engine.paced(own_prefill);
            let next_gap = next.prefill + own_prefill + decode_pass;
            (engine, decode_pass, next_gap, next.starts_in + next_gap)
        });
        let best = predicted.min_by_key(|&(engine, decode_pass, next_gap, first_event)| {
            let own_prefill = engine.paced(own_prefill);
            let safe = first_event <= safe_objective
                && next_gap
                    <= engine
                        .min_allowed_gap(request.max_event_gap)
                        .mul_f64(SAFE_GAP_SHARE)
                && engine.lateness_cost(own_prefill, decode_pass, now) <= 0.0;
            let full = engine.short_prompts() >= MAX_PACKED_SHORT_PROMPTS;
            // Safe engines first, unsafe ones by first event. Then slow engines last, and the fullest
            // engine below the packing limit; if all are above it, the one with the fewest requests.
            (
                !safe,
                if safe { Duration::ZERO } else { first_event },
                engine.is_slow(),
                full,
                if full {
                    engine.running() as i64
                } else {
                    -(engine.on_time_short_prompts() as i64)
                },
                engine.target.domain != request.domain,
                &engine.target.name,
            )
        });
        let Some((best, _, _, first_event)) = best else {
            pass.failed_memory = Some(self.first_failed_memory(now));
            return None;
        };
        (now + first_event <= queued.gives_up_at()).then(|| EnginePlacement {
            lead: best.target.name.clone(),
            lead_reserve_tokens: 0,
            helpers: Vec::new(),
            predicted_first_event: first_event,
        })
    }

    /// Whether `engine` can take a short prompt for which it has the memory.
    fn takes_short(&self, engine: &EngineLedger, now: Instant) -> bool {
        engine.accepts_work
            && engine.running() < self.spec.slots
            && self.within_cold_limit(engine, now)
            && engine.has_permit(now)
    }

    /// Smallest memory, in tokens, that no engine has for a short prompt.
    fn first_failed_memory(&self, now: Instant) -> u64 {
        let taking = self.engines.values().filter(|engine| {
            engine.memory_used() <= self.planned_memory() && self.takes_short(engine, now)
        });
        let most_free = taking.map(|engine| self.free_memory(engine)).max();
        most_free.map_or(0, |free| free + 1)
    }

    /// Most memory, in tokens, that a prompt can get when it is split over engines that are available
    /// now; `None` if none of them can be the lead.
    pub(super) fn split_memory(&self, pass: &mut DecisionPass, now: Instant) -> Option<u64> {
        if pass.split_memory.is_none() {
            let names = pass
                .available
                .get_or_insert_with(|| self.available_for_long(now));
            let available = || names.iter().filter_map(|name| self.engines.get(name));
            let mut free: Vec<u64> = available().map(|engine| self.free_memory(engine)).collect();
            free.sort_unstable_by_key(|free| Reverse(*free));
            let most_free = free.into_iter().take(MAX_PARTS).sum();
            let has_lead = available().any(|engine| engine.has_permit(now));
            pass.split_memory = Some(has_lead.then_some(most_free));
        }
        pass.split_memory.flatten()
    }

    /// Lower bound of the value that running streams lose if a prompt of at least `prompt_tokens` and
    /// without excluded targets is split over engines that are available now. It is computed for few
    /// lengths, since a longer prompt costs no less on each engine.
    pub(super) fn min_split_cost(
        &self,
        prompt_tokens: u64,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> f64 {
        let Some(log) = prompt_tokens.checked_ilog2() else {
            return 0.0;
        };
        let (whole, half) = (1 << log, (1 << log) + (1 << log) / 2);
        let is_over_half = prompt_tokens >= half;
        let tokens = if is_over_half { half } else { whole };
        let step = 2 * log + u32::from(is_over_half);
        if let Some(cost) = pass.split_costs.get(&step) {
            return *cost;
        }
        let names = pass
            .available
            .get_or_insert_with(|| self.available_for_long(now));
        let available: Vec<&EngineLedger> = names
            .iter()
            .take(MAX_PARTS)
            .filter_map(|name| self.engines.get(name))
            .collect();
        let costs = (1..=available.len()).map(|parts| {
            let prefill = prefill_time(&self.spec, tokens, parts);
            self.split_cost(&available[..parts], prefill, now)
        });
        let least = costs.fold(f64::INFINITY, f64::min);
        pass.split_costs.insert(step, least);
        least
    }

    /// Value that running streams lose if each of `engines` prefills a part that takes `prefill`.
    fn split_cost(&self, engines: &[&EngineLedger], prefill: Duration, now: Instant) -> f64 {
        engines
            .iter()
            .map(|engine| {
                let decode_pass = self.decode_pass_time(engine, 0);
                engine.lateness_cost(engine.paced(prefill), decode_pass, now)
            })
            .sum()
    }

    /// Time until `engine` starts the prefill of a prompt that arrives now.
    fn prefill_wait(&self, engine: &EngineLedger, now: Instant) -> Duration {
        let next = engine.next_pass(self.decode_pass_time(engine, 0), now);
        next.starts_in + next.prefill
    }

    pub(super) fn decode_pass_time(&self, engine: &EngineLedger, extra_tokens: u64) -> Duration {
        decode_pass_time(&self.spec, engine, extra_tokens)
    }

    pub(super) fn within_cold_limit(&self, engine: &EngineLedger, now: Instant) -> bool {
        if self.cold_requests_per_s <= 0.0 {
            return true;
        }
        let limit = (self.cold_requests_per_s * COLD_LIMIT_SHARE * self.limit_share).max(1.0);
        if (engine.recent_sends.len() as f64) < limit {
            return true;
        }
        let recent = engine
            .recent_sends
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < Duration::from_secs(1))
            .count();
        (recent as f64) < limit
    }

    pub(super) fn place_long(
        &self,
        queued: &QueuedRequest,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> Option<EnginePlacement> {
        let request = &queued.request;
        let names = pass
            .available
            .get_or_insert_with(|| self.available_for_long(now));
        let mut available: Vec<&EngineLedger> = names
            .iter()
            .filter(|name| !request.excluded_targets.contains(name))
            .filter_map(|name| self.engines.get(name))
            .collect();
        let objective_left = queued.objective_at().saturating_duration_since(now);
        let min_parts = self.parts_for_memory(
            &available,
            request.prompt_tokens + request.max_output_tokens,
        )?;
        let parts = self.part_count(&available, min_parts, queued, objective_left, now)?;
        let prefill = prefill_time(&self.spec, request.prompt_tokens, parts);
        // The lead needs a permit, its helpers do not.
        if !available[..parts]
            .iter()
            .any(|engine| engine.has_permit(now))
        {
            let permitted = available.iter().position(|engine| engine.has_permit(now))?;
            available.swap(parts - 1, permitted);
        }
        let chosen = &available[..parts];
        let predicted_first_event = chosen
            .iter()
            .map(|engine| {
                let decode_pass =
                    self.decode_pass_time(engine, request.prompt_tokens / parts as u64);
                let next = engine.next_pass(decode_pass, now);
                next.starts_in + next.prefill + engine.paced(prefill) + decode_pass
            })
            .max()?;
        if now + predicted_first_event > queued.gives_up_at() {
            return None;
        }
        Some(self.split_over(chosen, request, predicted_first_event, now))
    }

    /// Names of the engines that can take a part of a long prompt, best first.
    fn available_for_long(&self, now: Instant) -> Vec<TargetName> {
        let mut available: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| {
                engine.accepts_work
                    && engine.running() < self.spec.slots
                    && engine.long_prefill_left(self.decode_pass_time(engine, 0), now)
                        <= MAX_AVAILABLE_PREFILL_LEFT
                    && self.within_cold_limit(engine, now)
            })
            .collect();
        available.sort_by_cached_key(|engine| {
            let on_time_value = engine.on_time_generating_value().round() as u64;
            let busy = self.prefill_wait(engine, now) > MAX_PREFERRED_PREFILL_WAIT;
            (
                engine.is_slow(),
                engine.on_time_short_prompts(),
                busy,
                on_time_value,
                &engine.target.name,
            )
        });
        available
            .into_iter()
            .map(|engine| engine.target.name.clone())
            .collect()
    }

    /// The number of parts for a long prompt, one for each of the first engines of `available`;
    /// `None` if waiting for better engines is worth more. At least `min_parts` engines are
    /// needed for its memory; `objective_left` remains of its objective.
    pub(super) fn part_count(
        &self,
        available: &[&EngineLedger],
        min_parts: usize,
        queued: &QueuedRequest,
        objective_left: Duration,
        now: Instant,
    ) -> Option<usize> {
        let (request, value) = (&queued.request, queued.value());
        let max_parts = available.len().min(MAX_PARTS);
        let gain = |parts: usize| {
            let prefill = prefill_time(&self.spec, request.prompt_tokens, parts);
            let cost = self.split_cost(&available[..parts], prefill, now);
            let prefilled_in = available[..parts]
                .iter()
                .map(|engine| self.prefill_wait(engine, now) + engine.paced(prefill))
                .max()
                .unwrap_or(Duration::ZERO);
            let first_event = prefilled_in + self.decode_pass_time(available[parts - 1], 0);
            value * value_share(first_event, objective_left) - cost
        };
        let gains = (min_parts..=max_parts).map(|parts| (parts, gain(parts)));
        let (best, best_gain) = gains.max_by(|a, b| a.1.total_cmp(&b.1))?;
        if best_gain >= self.value_of_waiting(queued, objective_left, now) {
            return Some(best);
        }
        None
    }

    /// Value of a request that waits until all engines without on-time streams of short prompts
    /// have finished their long prefills, and is then split over these engines; 0 if they are
    /// available already or lack the memory.
    pub(super) fn value_of_waiting(
        &self,
        queued: &QueuedRequest,
        objective_left: Duration,
        now: Instant,
    ) -> f64 {
        let request = &queued.request;
        let candidates: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| engine.accepts_work && engine.on_time_short_prompts() == 0)
            .collect();
        let wait = candidates
            .iter()
            .map(|engine| engine.long_prefill_left(self.decode_pass_time(engine, 0), now))
            .max()
            .unwrap_or(Duration::ZERO);
        let memory: u64 = candidates
            .iter()
            .map(|engine| self.free_memory(engine))
            .sum();
        if wait <= MAX_AVAILABLE_PREFILL_LEFT
            || memory < request.prompt_tokens + request.max_output_tokens
        {
            return 0.0;
        }
        let parts = candidates.len().min(MAX_PARTS);
        let prefill = prefill_time(&self.spec, request.prompt_tokens, parts);
        queued.value()
            * value_share(
                wait + prefill + self.decode_pass_time(candidates[0], 0),
                objective_left,
            )
    }

    /// How many of the first engines of `available` have `memory` tokens free together, or
    /// `None` if [`MAX_PARTS`] of them do not.
    pub(super) fn parts_for_memory(
        &self,
        available: &[&EngineLedger],
        memory: u64,
    ) -> Option<usize> {
        let mut free_memory = 0;
        for (index, engine) in available.iter().take(MAX_PARTS).enumerate() {
            free_memory += self.free_memory(engine);
            if free_memory >= memory {
                return Some(index + 1);
            }
        }
        None
    }

    pub(super) fn free_memory(&self, engine: &EngineLedger) -> u64 {
        self.planned_memory().saturating_sub(engine.memory_used())
    }

    pub(super) fn split_over(
        &self,
        chosen: &[&EngineLedger],
        request: &PlacementRequest,
        predicted_first_event: Duration,
        now: Instant,
    ) -> EnginePlacement {
        let memory = request.prompt_tokens + request.max_output_tokens;
        let lead = chosen
            .iter()
            .max_by_key(|engine| {
                (
                    engine.has_permit(now),
                    !engine.is_slow(),
                    self.free_memory(engine) >= memory,
                    engine.target.domain == request.domain,
                    Reverse(engine.on_time_short_prompts()),
                    self.free_memory(engine),
                )
            })
            .expect("a split has an engine");
        let mut others: Vec<&&EngineLedger> = chosen
            .iter()
            .filter(|engine| engine.target.name != lead.target.name)
            .collect();
        others.sort_by_key(|engine| Reverse(self.free_memory(engine)));
        let mut missing_memory = memory.saturating_sub(self.free_memory(lead));
        let helpers = others
            .into_iter()
            .map(|engine| {
                let reserve_tokens = missing_memory.min(self.free_memory(engine));
                missing_memory -= reserve_tokens;
                SplitPart {
                    target: engine.target.name.clone(),
                    reserve_tokens,
                }
            })
            .collect();
        EnginePlacement {
            lead: lead.target.name.clone(),
            lead_reserve_tokens: 0,
            helpers,
            predicted_first_event,
        }
    }
}

/// The share of a prompt's value that remains if its first event comes after `time`, with
/// `objective_left` of its objective to go. A time beyond [`SAFE_OBJECTIVE_SHARE`] of that counts
/// as late already.
fn value_share(time: Duration, objective_left: Duration) -> f64 {
    if time <= objective_left.mul_f64(SAFE_OBJECTIVE_SHARE) {
        1.0 - LATENCY_COST_SHARE * time.as_secs_f64() / objective_left.as_secs_f64()
    } else {
        LATE_VALUE_SHARE
    }
}
