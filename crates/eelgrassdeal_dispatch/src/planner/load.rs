//! Loads from the weight store, which serves a few at a time.

use std::time::{Duration, Instant};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, UpstreamRecord};

use super::GroupPlanner;
use super::layout::{DomainPool, JoinCost};
use super::memory::LoadEntry;

/// Part of the permitted load starts that the planner uses.
const LOAD_RATE_PART: f64 = 0.8;
/// Before the first request, loads that run together beyond those at full speed: the next ones
/// begin without waiting for the reports of the ones before.
const EARLY_LOADS_FACTOR: usize = 20;
/// Before the first request a load takes this part of its time.
const EARLY_LOAD_PART: f64 = 0.1;
/// A load that shares the weight store with others may take this many times as long as alone, and
/// its report a little longer.
const SHARED_LOAD_FACTOR: f64 = 2.0;
const LOAD_MARGIN: Duration = Duration::from_secs(1);
/// Starts of loads that are remembered: more than any window permits.
const MAX_LOAD_STARTS: usize = 1_000;

impl GroupPlanner {
    /// Whether `loads` more may begin now.
    pub(super) fn may_load(
        &self,
        engine: &EngineSpec,
        loads: usize,
        has_traffic: bool,
        now: Instant,
    ) -> bool {
        let at_once = (engine.loads_at_once as usize).max(1);
        let under_way = self.memory.loads_under_way(now);
        if !has_traffic {
            return under_way < at_once * EARLY_LOADS_FACTOR;
        }
        let window = self.settings.load_window;
        let is_recent = |start: &&Instant| now.saturating_duration_since(**start) < window;
        let recent = self.memory.load_starts.iter().filter(is_recent).count();
        let permitted = engine.load_rate * window.as_secs_f64() * LOAD_RATE_PART;
        under_way + loads <= at_once && (recent + loads) as f64 <= permitted
    }

    pub(super) fn note_loads(
        &mut self,
        members: &DomainPool,
        spec: &ModelSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        for record in members {
            if self.memory.join_cost(record, &spec.model, now) == JoinCost::Missing {
                self.note_load(record, spec, has_traffic, now);
            }
        }
    }

    pub(super) fn note_load(
        &mut self,
        record: &UpstreamRecord,
        spec: &ModelSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        let part = if has_traffic { 1.0 } else { EARLY_LOAD_PART };
        // Loads that share the weight store take longer; a report ends the entry earlier.
        let longest = spec.load_time.mul_f64(part * SHARED_LOAD_FACTOR) + LOAD_MARGIN;
        let entry = LoadEntry { model: spec.model.clone(), ends_at: now + longest };
        self.memory.loads.insert(record.upstream.clone(), entry);
        self.memory.load_starts.push_back(now);
        while self.memory.load_starts.len() > MAX_LOAD_STARTS {
            self.memory.load_starts.pop_front();
        }
    }

    /// Ends the entries of loads whose upstream reports the model, or is gone.
    pub(super) fn note_finished_loads(&mut self, view: &FleetView, now: Instant) {
        self.memory.loads.retain(|upstream, load| {
            let is_done = view.upstreams.get(upstream).is_none_or(|record| {
                record.staged.contains(&load.model) || record.loaded.as_ref() == Some(&load.model)
            });
            !is_done && now < load.ends_at
        });
    }
}
