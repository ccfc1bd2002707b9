//! Limits and tracks loads of model weights from the weight store, which serves only a few at full
//! speed at the same time.

use std::time::{Duration, Instant};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, UpstreamRecord};

use super::GroupPlanner;
use super::service_context::{JoinCost, UpstreamRecords};
use super::state::ModelLoad;

/// Fraction of the permitted rate of load starts that the planner uses.
const LOAD_RATE_FRACTION: f64 = 0.8;
/// Before the first client request, loads may start while fewer than this multiple of
/// [`EngineSpec::loads_at_once`] count as running. A load counts until it is reported complete;
/// with the higher limit, further loads do not wait for these reports.
const PRE_TRAFFIC_LOADS_FACTOR: usize = 20;
/// Before the first client request, a load is assumed to take this fraction of its configured time.
/// The weight store is assumed to be faster then.
const PRE_TRAFFIC_LOAD_TIME_FRACTION: f64 = 0.1;
/// A load counts as running for at most this multiple of its assumed time, plus [`LOAD_MARGIN`],
/// even if it takes longer. The assumed time is the configured one or, before the first client
/// request, [`PRE_TRAFFIC_LOAD_TIME_FRACTION`] of it. The factor allows for loads that share the
/// weight store with others.
const SHARED_LOAD_FACTOR: f64 = 2.0;
/// Allowance for the delay until the completion of a load is reported.
const LOAD_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of load start times that are kept; assumed to be more than the rate limit permits
/// in any window.
const MAX_LOAD_STARTS: usize = 1_000;

impl GroupPlanner {
    /// Whether `loads` further loads may start now. After the first client request, the running and
    /// the further loads together are limited to [`EngineSpec::loads_at_once`], and the rate of
    /// load starts is limited as well. Before it, any number may start while fewer loads are
    /// running than [`PRE_TRAFFIC_LOADS_FACTOR`] permits.
    pub(super) fn may_start_loads(
        &self,
        engine: &EngineSpec,
        loads: usize,
        has_traffic: bool,
        now: Instant,
    ) -> bool {
        let max_concurrent = (engine.loads_at_once as usize).max(1);
        let running = self.state.running_loads(now);
        if !has_traffic {
            return running < max_concurrent * PRE_TRAFFIC_LOADS_FACTOR;
        }
        let window = self.settings.load_window;
        let is_recent = |start: &&Instant| now.saturating_duration_since(**start) < window;
        let recent = self.state.load_starts.iter().filter(is_recent).count();
        let max_recent = engine.load_rate * window.as_secs_f64() * LOAD_RATE_FRACTION;
        running + loads <= max_concurrent && (recent + loads) as f64 <= max_recent
    }

    /// Records a load for each of `members` that has to load the model from the weight store.
    pub(super) fn record_loads(
        &mut self,
        members: &UpstreamRecords,
        spec: &ModelSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        for record in members {
            if self.state.join_cost(record, &spec.model, now) == JoinCost::Missing {
                self.record_load(record, spec, has_traffic, now);
            }
        }
    }

    /// Records that `record` starts to load a model.
    pub(super) fn record_load(
        &mut self,
        record: &UpstreamRecord,
        spec: &ModelSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        let time_fraction = if has_traffic { 1.0 } else { PRE_TRAFFIC_LOAD_TIME_FRACTION };
        // The entry is removed earlier if the upstream reports the model.
        let max_load_time =
            spec.load_time.mul_f64(time_fraction * SHARED_LOAD_FACTOR) + LOAD_MARGIN;
        let entry = ModelLoad { model: spec.model.clone(), expires_at: now + max_load_time };
        self.state.loads.insert(record.upstream.clone(), entry);
        self.state.load_starts.push_back(now);
        while self.state.load_starts.len() > MAX_LOAD_STARTS {
            self.state.load_starts.pop_front();
        }
    }

    /// Removes loads whose upstream reports the model or has disappeared, and loads that expired.
    pub(super) fn remove_finished_loads(&mut self, view: &FleetView, now: Instant) {
        self.state.loads.retain(|upstream, load| {
            let is_done = view.upstreams.get(upstream).is_none_or(|record| {
                record.staged.contains(&load.model) || record.loaded.as_ref() == Some(&load.model)
            });
            !is_done && now < load.expires_at
        });
    }
}
