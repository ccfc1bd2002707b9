//! Prepares spares: free upstreams that hold a model, so that they can form a new group with the
//! remaining members of a group that was torn down. Stages models on the free upstreams that hold
//! none, and warms spares up.

use std::collections::HashMap;
use std::sync::Arc;

use eelgrassdeal_types::{GroupId, ModelId};

use crate::config::ModelSpec;
use crate::fleet::{GroupState, UpstreamRecord};

use super::service_context::{DomainModel, JoinCost, ServiceContext};
use super::{GroupPlanner, OrderKind, UpstreamOrder};

/// Relative value of a load if the domain lacks the upstreams to complete another group. The upstream
/// becomes a spare. The value is 1 if the group can be completed.
const SPARE_VALUE: f64 = 0.4;
/// Lower bound on the load time in the value of a load; avoids a division by 0.
const MIN_LOAD_TIME_S: f64 = 0.1;

/// Starts the ids of the groups that warm spares up.
const WARM_UP_PREFIX: char = 'w';

/// Whether a group only warms its single member up.
pub(super) fn is_warm_up_group(group: &GroupId) -> bool {
    group.starts_with(WARM_UP_PREFIX)
}

/// A load that could be started: the upstream and the model to stage on it.
struct LoadCandidate<'a> {
    record: Arc<UpstreamRecord>,
    spec: &'a ModelSpec,
}

impl GroupPlanner {
    /// Orders free upstreams that hold no model to stage a model, as far as the load limits permit.
    pub(super) fn stage_models(&mut self, context: &ServiceContext<'_>) {
        while self.may_start_loads(context.engine, 1, context.has_traffic, context.now) {
            let candidate = self.best_load(context);
            let Some(LoadCandidate { record, spec }) = candidate else { return };
            self.record_load(&record, spec, context.has_traffic, context.now);
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: None,
                kind: OrderKind::Stage { model: spec.model.clone() },
            };
            self.push_order(order, context.now);
        }
    }

    /// Warms spares up, that is, makes them load a model that their host has a copy of. Each is
    /// ordered to join a single-member group, which is neither written to the store nor opened. An
    /// upstream whose last group ran the same model joins the next one in a fraction of the usual
    /// time.
    pub(super) fn warm_up_spares(&mut self, context: &ServiceContext<'_>) {
        let free_upstreams = context.pools.values().flatten();
        let unloaded: Vec<_> = free_upstreams
            .filter(|record| record.loaded.is_none())
            .filter_map(|record| Some((record.clone(), record.staged.first()?.clone())))
            .collect();
        for (record, model) in unloaded {
            let is_joining = record
                .membership
                .as_ref()
                .is_some_and(|membership| membership.state == GroupState::Joining);
            if is_joining || !self.state.record_warm_up_if_due(&record.upstream, context.now) {
                continue;
            }
            let generation = self.next_generation;
            self.next_generation += 1;
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: Some((format!("{WARM_UP_PREFIX}{generation}").into(), generation)),
                kind: OrderKind::Join { model, members: vec![record.upstream.clone()] },
            };
            self.push_order(order, context.now);
        }
    }

    /// Selects the load with the highest value: the demand for the model, relative to the load time
    /// that is still needed to complete a group. `None` if no load is useful.
    fn best_load<'a>(&self, context: &ServiceContext<'a>) -> Option<LoadCandidate<'a>> {
        let spare_counts = self.count_spares_by_model(context);
        let spare_count = |domain: &Arc<str>, model: &ModelId| {
            spare_counts.get(&(domain.clone(), model.clone())).copied().unwrap_or(0)
        };
        let mut best: Option<(f64, LoadCandidate<'a>)> = None;
        for (domain, pool) in &context.pools {
            let without_model: Vec<_> =
                pool.iter().filter(|record| self.has_no_model(record, context)).collect();
            let Some(record) = without_model.first() else { continue };
            for spec in &context.engine.models {
                let spares = spare_count(domain, &spec.model);
                let missing = context.missing_holders(domain, spec, spares);
                if missing == 0 {
                    continue;
                }
                // Number of loads that complete the next group of this model. It is the full group
                // size if the spares make up complete groups, with none left over.
                let loads = spec.size - spares % spec.size;
                let load_time = spec.load_time.as_secs_f64().max(MIN_LOAD_TIME_S);
                let value_factor = if loads <= missing { 1.0 } else { SPARE_VALUE };
                let value = context.demand(spec) * value_factor / (loads as f64 * load_time);
                if value > 0.0 && best.as_ref().is_none_or(|(best_value, _)| value > *best_value) {
                    best = Some((value, LoadCandidate { record: (*record).clone(), spec }));
                }
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Number of free upstreams that hold or are loading a model, by domain and model.
    fn count_spares_by_model(&self, context: &ServiceContext<'_>) -> HashMap<DomainModel, usize> {
        let mut spare_counts = HashMap::new();
        for (domain, pool) in &context.pools {
            for spec in &context.engine.models {
                let holds_or_loads = |record: &&Arc<UpstreamRecord>| {
                    self.state.join_cost(record, &spec.model, context.now) < JoinCost::Missing
                };
                let count = pool.iter().filter(holds_or_loads).count();
                spare_counts.insert((domain.clone(), spec.model.clone()), count);
            }
        }
        spare_counts
    }

    /// Whether an upstream neither holds nor is loading any model of the service.
    pub(super) fn has_no_model(
        &self,
        record: &UpstreamRecord,
        context: &ServiceContext<'_>,
    ) -> bool {
        context
            .engine
            .models
            .iter()
            .all(|spec| self.state.join_cost(record, &spec.model, context.now) == JoinCost::Missing)
    }
}
