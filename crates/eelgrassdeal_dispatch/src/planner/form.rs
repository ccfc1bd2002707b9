//! Forming new groups.

use std::time::{Duration, Instant};

use eelgrassdeal_types::{ModelId, ServiceId};

use crate::config::EngineSpec;
use crate::fleet::{FleetView, GroupRecord};

use super::layout::{DomainPool, FormPlan, JoinCost};
use super::{GroupPlanner, GroupWrite};

/// While no group exists, groups are planned once the fleet has not grown for this long: their
/// members would be chosen from the first few upstreams otherwise.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Weights by which the next group is chosen: the need of its model decides, then the free upstreams
/// of its domain, then its loads.
const NEED_WEIGHT: f64 = 100.0;
const POOL_WEIGHT: f64 = 0.1;
const LOAD_WEIGHT: f64 = 0.01;

impl GroupPlanner {
    /// Forms the groups that are possible without a load, then those worth one, then stages models
    /// on the spares.
    pub(super) fn form_groups(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        engine: &EngineSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        if !self.memory.pending_groups.is_empty() {
            // The members of a group that is being written must not be used twice.
            return;
        }
        self.note_finished_loads(view, now);
        if !self.is_settled(view, service, now) {
            return;
        }
        let mut plan = FormPlan::new(
            view,
            service,
            engine,
            &self.memory,
            &self.draft.removed,
            has_traffic,
            now,
        );
        while let Some((model, members)) = self.best_group(&plan) {
            let Some(spec) = engine.model(&model) else { break };
            self.note_loads(&members, spec, has_traffic, now);
            self.create_group(&mut plan, &model, &members);
        }
        if has_traffic {
            self.plan_far_groups(view, &mut plan);
        }
        self.stage_spares(&plan);
        self.warm_spares(&plan);
    }

    /// The group to form next: of the model that lacks most, in the domain with the most free
    /// upstreams, with the fewest loads.
    fn best_group(&self, plan: &FormPlan<'_>) -> Option<(ModelId, DomainPool)> {
        let mut best: Option<(f64, ModelId, DomainPool)> = None;
        for (domain, pool) in &plan.pools {
            for spec in &plan.engine.models {
                let Some(members) = self.memory.cheapest_members(pool, spec, plan.now) else {
                    continue;
                };
                let loads = self.memory.count_loads(&members, &spec.model, plan.now);
                // With requests to serve, spares load while the others stay free to regroup.
                let is_loadable = !plan.has_traffic
                    && plan.is_home(domain, spec)
                    && self.may_load(plan.engine, loads, plan.has_traffic, plan.now);
                let is_loading = members.iter().any(|record| {
                    self.memory.join_cost(record, &spec.model, plan.now) == JoinCost::Loading
                });
                if is_loading || (loads > 0 && !is_loadable) {
                    continue;
                }
                let rank = plan.need(spec) * NEED_WEIGHT + pool.len() as f64 * POOL_WEIGHT
                    - loads as f64 * LOAD_WEIGHT;
                if best.as_ref().is_none_or(|(known, ..)| rank > *known) {
                    best = Some((rank, spec.model.clone(), members));
                }
            }
        }
        best.map(|(_, model, members)| (model, members))
    }

    /// Plans a new group and takes its members out of the pools.
    pub(super) fn create_group(
        &mut self,
        plan: &mut FormPlan<'_>,
        model: &ModelId,
        members: &DomainPool,
    ) {
        plan.take(model, members);
        let group = self.new_group(plan.service, model, members);
        self.memory.pending_groups.insert(group.group.clone());
        self.draft.writes.push(GroupWrite::Create(group));
    }

    fn new_group(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        members: &DomainPool,
    ) -> GroupRecord {
        let generation = self.next_generation;
        self.next_generation += 1;
        // The head takes all requests, of which a cold one bears few.
        let mut members = members.clone();
        members.sort_by_key(|record| record.cold_left);
        GroupRecord {
            group: format!("g{generation}").into(),
            generation,
            service: service.clone(),
            model: model.clone(),
            members: members.iter().map(|record| (record.upstream.clone(), record.born)).collect(),
            head_address: members.first().map_or("".into(), |head| head.address.clone()),
            is_closing: false,
        }
    }

    /// Whether the fleet is known well enough to form the first groups.
    fn is_settled(&mut self, view: &FleetView, service: &ServiceId, now: Instant) -> bool {
        let count = view.upstreams.values().filter(|record| record.service == *service).count();
        let seen = self.memory.fleet_sizes.entry(service.clone()).or_insert((count, now));
        if seen.0 != count {
            *seen = (count, now);
        }
        let has_groups = view.groups.values().any(|group| group.service == *service);
        has_groups || now.saturating_duration_since(seen.1) >= SETTLE_TIME
    }
}
