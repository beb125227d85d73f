//! Which engines are chosen for a prompt, and over how many it is split.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::ask::{EnginePlacement, PlacementAsk, SplitPart};
use super::ledger::{EngineLedger, LATE_VALUE, prompt_value};
use super::{EngineDispatcher, SHORT_READ, WaitingAsk, step_of};
use crate::policy::engine_model::{pass_time, read_time};

/// Share of a request's value that a first event just within its objective costs: engines
/// that read longer hold up whatever comes next.
const SLOWNESS_SHARE: f64 = 0.15;
/// Share of the allowed pause that a pass may take.
const PAUSE_SHARE: f64 = 0.75;
/// Share of the objective within which a prediction counts as safe.
const SAFE_SHARE: f64 = 0.75;
/// Share of a cold target's limit that is used.
const COLD_SHARE: f64 = 0.75;
/// An engine whose long reading ends within this counts as free: what arrives by then is
/// read in the next pass.
const NEARLY_FREE: Duration = Duration::from_millis(70);
/// An engine that begins to read within this is taken before those that still read.
const FREE: Duration = Duration::from_millis(35);
/// Engines that one prompt may be split over: the lead and 16 helpers.
pub(super) const MAX_PARTS: usize = 17;
/// Streams of short prompts on an engine before the next engine is opened.
pub(super) const PACK_LIMIT: usize = 13;
/// Share of an engine's memory that is planned for.
pub(super) const MEMORY_SHARE: f64 = 0.96;

impl EngineDispatcher {
    /// Time to the first event if the prompt began now on as many engines as it may use.
    pub(super) fn least_time(&self, prompt: u64) -> Duration {
        let parts = self.usable_count().clamp(1, MAX_PARTS);
        read_time(&self.spec, prompt, parts) + pass_time(&self.spec, 1, prompt)
    }

    /// Time to the first event of a prompt that begins now on engines as busy as usual.
    pub(super) fn typical_time(&self, prompt: u64) -> Duration {
        let read = read_time(&self.spec, prompt, 1);
        if read > SHORT_READ {
            return Duration::ZERO;
        }
        let half = self.spec.slots / 2;
        read + pass_time(&self.spec, half, prompt * half as u64).mul_f64(1.5)
    }

    pub(super) fn place_short(
        &self,
        waiting: &WaitingAsk,
        now: Instant,
    ) -> Option<EnginePlacement> {
        let ask = &waiting.ask;
        let own_read = read_time(&self.spec, ask.prompt, 1);
        let left = waiting.objective_at().saturating_duration_since(now);
        let memory = ask.prompt + ask.output;
        let open = self.engines.values().filter(|engine| {
            engine.usable
                && !ask.avoid.contains(&engine.target.name)
                && engine.running() < self.spec.slots
                && engine.memory_used() + memory <= self.planned_memory()
                && self.bears_another(engine, now)
        });
        let predicted = |engine: &EngineLedger| {
            let step = self.pass_of(engine, ask.prompt);
            let next = engine.next_pass(step, now);
            next.begins_in + next.reading + own_read + step
        };
        let best = open.min_by_key(|engine| {
            let time = predicted(engine);
            let step = self.pass_of(engine, ask.prompt);
            let next_pause = step + engine.next_pass(step, now).reading + own_read;
            let safe = time <= left.mul_f64(SAFE_SHARE)
                && next_pause <= engine.least_pause(ask.pause).mul_f64(PAUSE_SHARE)
                && engine.harm_of(own_read, step, now) <= 0.0;
            let full = engine.shorts() >= PACK_LIMIT;
            (
                !safe,
                if safe { Duration::ZERO } else { time },
                full,
                if full {
                    engine.running() as i64
                } else {
                    -(engine.tender() as i64)
                },
                engine.target.domain != ask.domain,
                &engine.target.name,
            )
        })?;
        let time = predicted(best);
        (now + time <= waiting.leaves_at()).then(|| EnginePlacement {
            lead: best.target.name.clone(),
            lead_reserve: 0,
            helpers: Vec::new(),
            predicted: time,
        })
    }

    /// Until an engine begins to read what arrives now.
    fn wait_at(&self, engine: &EngineLedger, now: Instant) -> Duration {
        let next = engine.next_pass(self.pass_of(engine, 0), now);
        next.begins_in + next.reading
    }

    pub(super) fn pass_of(&self, engine: &EngineLedger, extra: u64) -> Duration {
        step_of(&self.spec, engine, extra)
    }

    pub(super) fn bears_another(&self, engine: &EngineLedger, now: Instant) -> bool {
        if self.cold_per_s <= 0.0 {
            return true;
        }
        let recent = engine
            .sends
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < Duration::from_secs(1))
            .count();
        let limit = (self.cold_per_s * COLD_SHARE * self.share).max(1.0);
        (recent as f64) < limit
    }

    pub(super) fn place_long(&self, waiting: &WaitingAsk, now: Instant) -> Option<EnginePlacement> {
        let ask = &waiting.ask;
        let mut free: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| {
                engine.usable
                    && !ask.avoid.contains(&engine.target.name)
                    && engine.running() < self.spec.slots
                    && engine.long_reading_left(self.pass_of(engine, 0), now) <= NEARLY_FREE
                    && self.bears_another(engine, now)
            })
            .collect();
        free.sort_by_cached_key(|engine| {
            let risk = engine.generating_value().round() as u64;
            let waits = self.wait_at(engine, now) > FREE;
            (engine.tender(), waits, risk, engine.target.name.clone())
        });
        let left = waiting.objective_at().saturating_duration_since(now);
        let needed = self.memory_parts(&free, ask.prompt + ask.output)?;
        let parts = self.part_count(&free, needed, ask, left, now)?;
        let read = read_time(&self.spec, ask.prompt, parts);
        let chosen = &free[..parts];
        let slowest = chosen
            .iter()
            .map(|engine| {
                let step = self.pass_of(engine, ask.prompt / parts as u64);
                let next = engine.next_pass(step, now);
                next.begins_in + next.reading + step
            })
            .max()?;
        let predicted = read + slowest;
        if now + predicted > waiting.leaves_at() {
            return None;
        }
        Some(self.split(chosen, ask, predicted))
    }

    /// Over how many of `free`, in order, a long prompt is split; none if it should wait for
    /// better engines. `needed` hold its memory, `left` remains of its objective.
    pub(super) fn part_count(
        &self,
        free: &[&EngineLedger],
        needed: usize,
        ask: &PlacementAsk,
        left: Duration,
        now: Instant,
    ) -> Option<usize> {
        let value = prompt_value(ask.prompt);
        let most = free.len().min(MAX_PARTS);
        let gain = |parts: usize| {
            let read = read_time(&self.spec, ask.prompt, parts);
            let harm: f64 = free[..parts]
                .iter()
                .map(|engine| engine.harm_of(read, self.pass_of(engine, 0), now))
                .sum();
            let wait = free[..parts]
                .iter()
                .map(|engine| self.wait_at(engine, now))
                .max()
                .unwrap_or(Duration::ZERO);
            let slowest = wait + read + self.pass_of(free[parts - 1], 0);
            value * earned_share(slowest, left) - harm
        };
        let best = (needed..=most).max_by(|a, b| gain(*a).total_cmp(&gain(*b)))?;
        if gain(best) >= self.gain_of_waiting(ask, left, now) {
            return Some(best);
        }
        None
    }

    /// What is earned by waiting until all engines without streams of short prompts have
    /// read what they are reading.
    pub(super) fn gain_of_waiting(&self, ask: &PlacementAsk, left: Duration, now: Instant) -> f64 {
        let clean: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| engine.usable && engine.tender() == 0)
            .collect();
        let wait = clean
            .iter()
            .map(|engine| engine.long_reading_left(self.pass_of(engine, 0), now))
            .max()
            .unwrap_or(Duration::ZERO);
        let memory: u64 = clean.iter().map(|engine| self.memory_left(engine)).sum();
        if wait <= NEARLY_FREE || memory < ask.prompt + ask.output {
            return 0.0;
        }
        let parts = clean.len().min(MAX_PARTS);
        let read = read_time(&self.spec, ask.prompt, parts);
        prompt_value(ask.prompt) * earned_share(wait + read + self.pass_of(clean[0], 0), left)
    }

    /// How many of `free`, in order, hold `memory` tokens; none if all together do not.
    pub(super) fn memory_parts(&self, free: &[&EngineLedger], memory: u64) -> Option<usize> {
        let mut held = 0;
        for (index, engine) in free.iter().take(MAX_PARTS).enumerate() {
            held += self.memory_left(engine);
            if held >= memory {
                return Some(index + 1);
            }
        }
        None
    }

    pub(super) fn memory_left(&self, engine: &EngineLedger) -> u64 {
        self.planned_memory().saturating_sub(engine.memory_used())
    }

    pub(super) fn split(
        &self,
        chosen: &[&EngineLedger],
        ask: &PlacementAsk,
        predicted: Duration,
    ) -> EnginePlacement {
        let memory = ask.prompt + ask.output;
        let lead = chosen
            .iter()
            .max_by_key(|engine| {
                (
                    self.memory_left(engine) >= memory,
                    engine.target.domain == ask.domain,
                    Reverse(engine.tender()),
                    self.memory_left(engine),
                )
            })
            .expect("a split has an engine");
        let mut others: Vec<&&EngineLedger> = chosen
            .iter()
            .filter(|engine| engine.target.name != lead.target.name)
            .collect();
        others.sort_by_key(|engine| Reverse(self.memory_left(engine)));
        let mut missing = memory.saturating_sub(self.memory_left(lead));
        let helpers = others
            .into_iter()
            .map(|engine| {
                let reserve = missing.min(self.memory_left(engine));
                missing -= reserve;
                SplitPart {
                    target: engine.target.name.clone(),
                    reserve,
                }
            })
            .collect();
        EnginePlacement {
            lead: lead.target.name.clone(),
            lead_reserve: 0,
            helpers,
            predicted,
        }
    }
}

/// The share of a prompt's value that a first event after `time` earns, with `left` of the
/// objective.
fn earned_share(time: Duration, left: Duration) -> f64 {
    if time <= left.mul_f64(SAFE_SHARE) {
        1.0 - SLOWNESS_SHARE * time.as_secs_f64() / left.as_secs_f64()
    } else {
        LATE_VALUE
    }
}
