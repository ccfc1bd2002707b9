//! Spares: upstreams in no group that hold a model, to replace lost members.

use std::collections::HashMap;
use std::sync::Arc;

use eelgrassdeal_types::ModelId;

use crate::config::ModelSpec;
use crate::fleet::{GroupState, UpstreamRecord};

use super::layout::{DomainModel, FormPlan, JoinCost};
use super::{GroupPlanner, OrderKind, UpstreamOrder};

/// Value of a load that brings no group yet, against one that completes it.
const PARTIAL_VALUE: f64 = 0.4;
/// Value of a group of another model than the home model of its domain: its members have no spares.
const FOREIGN_VALUE: f64 = 0.7;
/// Shortest load time that is told apart from none.
const MIN_LOAD_TIME_S: f64 = 0.1;

/// A load that could begin.
struct LoadChoice<'a> {
    record: Arc<UpstreamRecord>,
    spec: &'a ModelSpec,
}

impl GroupPlanner {
    /// Stages models on upstreams that no group uses.
    pub(super) fn stage_spares(&mut self, plan: &FormPlan<'_>) {
        while self.may_load(plan.engine, 1, plan.has_traffic, plan.now) {
            let choice = self.best_load(plan);
            let Some(LoadChoice { record, spec }) = choice else { return };
            self.note_load(&record, spec, plan.has_traffic, plan.now);
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: None,
                kind: OrderKind::Stage { model: spec.model.clone() },
            };
            self.push_order(order, plan.now);
        }
    }

    /// Lets spares join a group of their own, which never opens: a member that had the model in its
    /// last group joins the next one within a fraction of the time.
    pub(super) fn warm_spares(&mut self, plan: &FormPlan<'_>) {
        let spares = plan.pools.values().flatten();
        let cold: Vec<_> = spares
            .filter(|record| record.loaded.is_none())
            .filter_map(|record| Some((record.clone(), record.staged.first()?.clone())))
            .collect();
        for (record, model) in cold {
            let is_joining = record
                .membership
                .as_ref()
                .is_some_and(|membership| membership.state == GroupState::Joining);
            if is_joining || !self.memory.try_warm(&record.upstream, plan.now) {
                continue;
            }
            let generation = self.next_generation;
            self.next_generation += 1;
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: Some((format!("w{generation}").into(), generation)),
                kind: OrderKind::Join { model, members: vec![record.upstream.clone()] },
            };
            self.push_order(order, plan.now);
        }
    }

    /// The load that brings a group soonest for the load time spent.
    fn best_load<'a>(&self, plan: &FormPlan<'a>) -> Option<LoadChoice<'a>> {
        let held = self.held_spares(plan);
        let held_in = |domain: &Arc<str>, model: &ModelId| {
            held.get(&(domain.clone(), model.clone())).copied().unwrap_or(0)
        };
        let mut best: Option<(f64, LoadChoice<'a>)> = None;
        for (domain, pool) in &plan.pools {
            let unused: Vec<_> =
                pool.iter().filter(|record| self.is_unused(record, plan)).collect();
            let Some(record) = unused.first() else { continue };
            let home = plan.engine.models.iter().find(|spec| plan.is_home(domain, spec));
            let home_spares = home.map_or(0, |home| held_in(domain, &home.model)) + unused.len();
            for spec in &plan.engine.models {
                let missing = spec.size - held_in(domain, &spec.model) % spec.size;
                let load_time = spec.load_time.as_secs_f64().max(MIN_LOAD_TIME_S);
                let is_reserved = home_spares < plan.reserve(domain) + missing;
                let chance = match (missing <= unused.len(), plan.is_home(domain, spec)) {
                    (true, true) => 1.0,
                    (true, false) if !is_reserved => FOREIGN_VALUE,
                    (false, true) => PARTIAL_VALUE,
                    (_, false) => 0.0,
                };
                let value = plan.need(spec) * chance / (missing as f64 * load_time);
                if value > 0.0 && best.as_ref().is_none_or(|(known, _)| value > *known) {
                    best = Some((value, LoadChoice { record: (*record).clone(), spec }));
                }
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Upstreams in no group that hold or load a model, by domain and model.
    fn held_spares(&self, plan: &FormPlan<'_>) -> HashMap<DomainModel, usize> {
        let mut held = HashMap::new();
        for (domain, pool) in &plan.pools {
            for spec in &plan.engine.models {
                let holds = |record: &&Arc<UpstreamRecord>| {
                    self.memory.join_cost(record, &spec.model, plan.now) < JoinCost::Missing
                };
                let count = pool.iter().filter(holds).count();
                held.insert((domain.clone(), spec.model.clone()), count);
            }
        }
        held
    }

    /// Whether an upstream holds no model and loads none.
    fn is_unused(&self, record: &UpstreamRecord, plan: &FormPlan<'_>) -> bool {
        plan.engine
            .models
            .iter()
            .all(|spec| self.memory.join_cost(record, &spec.model, plan.now) == JoinCost::Missing)
    }
}
