//! Forms new groups.

use std::time::{Duration, Instant};

use eelgrassdeal_types::{ModelId, ServiceId};

use crate::config::EngineSpec;
use crate::fleet::{FleetView, GroupRecord};

use super::service_context::{JoinCost, ServiceContext, UpstreamRecords};
use super::{GroupPlanner, GroupWrite};

/// The first group of a service is planned once the number of its upstreams has not changed for
/// this long. Otherwise its members would be selected from only the first few upstreams to
/// register.
const FLEET_STABLE_TIME: Duration = Duration::from_millis(600);
/// Weight of a model's demand in the score by which the next group is selected. The score is a
/// weighted sum in which the demand counts most, then the size of the pool, then the number of
/// loads. A large difference in one of them can outweigh a small one in another.
const DEMAND_WEIGHT: f64 = 100.0;
/// Weight of the number of free upstreams in the domain.
const POOL_WEIGHT: f64 = 0.1;
/// Deduction for each load from the weight store that the group needs.
const LOAD_PENALTY: f64 = 0.01;

impl GroupPlanner {
    /// Forms new groups of a service, then stages models on its free upstreams that hold none, and
    /// warms its spares up. After the first client request, only groups that need no load are
    /// formed, and groups across domains are considered as well.
    pub(super) fn form_groups(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        engine: &EngineSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        if !self.state.pending_groups.is_empty() {
            // Members of groups whose records are still being written must not join another group.
            return;
        }
        self.remove_finished_loads(view, now);
        if !self.is_fleet_stable(view, service, now) {
            return;
        }
        let mut context = ServiceContext::new(
            view,
            service,
            engine,
            &self.state,
            &self.draft.removed_groups,
            has_traffic,
            now,
        );
        while let Some((model, members)) = self.best_group(&context) {
            let Some(spec) = engine.model(&model) else { break };
            self.record_loads(&members, spec, has_traffic, now);
            self.create_group(&mut context, &model, &members);
        }
        match has_traffic {
            true => self.plan_cross_domain_groups(view, &mut context),
            false => self.form_wide_groups(&mut context),
        }
        self.stage_models(&context);
        self.warm_up_spares(&context);
    }

    /// Selects the model and the members of the next group by the model's demand, the number of
    /// free upstreams in the domain and the number of loads. `None` if no group can be formed.
    fn best_group(&self, context: &ServiceContext<'_>) -> Option<(ModelId, UpstreamRecords)> {
        let mut best: Option<(f64, ModelId, UpstreamRecords)> = None;
        for (domain, pool) in &context.pools {
            for spec in &context.engine.models {
                let Some(members) = self.state.cheapest_members(pool, spec, context.now) else {
                    continue;
                };
                let loads = self.state.count_loads(&members, &spec.model, context.now);
                // After the first client request, models are loaded only outside of groups. A group
                // with a member that has yet to load the model would occupy the members that hold
                // it, which could form other groups in the meantime.
                let can_load_members = !context.has_traffic
                    && context.wants_group(domain, spec)
                    && self.may_start_loads(
                        context.engine,
                        loads,
                        context.has_traffic,
                        context.now,
                    );
                // No group is formed while one of its members is still loading the model.
                let has_loading_member = members.iter().any(|record| {
                    self.state.join_cost(record, &spec.model, context.now) == JoinCost::Loading
                });
                if has_loading_member || (loads > 0 && !can_load_members) {
                    continue;
                }
                let score = context.demand(spec) * DEMAND_WEIGHT + pool.len() as f64 * POOL_WEIGHT
                    - loads as f64 * LOAD_PENALTY;
                if best.as_ref().is_none_or(|(best_score, ..)| score > *best_score) {
                    best = Some((score, spec.model.clone(), members));
                }
            }
        }
        best.map(|(_, model, members)| (model, members))
    }

    /// Adds the creation of a group to the draft and removes its members from the pools.
    pub(super) fn create_group(
        &mut self,
        context: &mut ServiceContext<'_>,
        model: &ModelId,
        members: &UpstreamRecords,
    ) {
        context.claim_members(model, members);
        let group = self.new_group(context.service, model, members);
        self.state.pending_groups.insert(group.group.clone());
        self.draft.writes.push(GroupWrite::Create(group));
    }

    fn new_group(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        members: &UpstreamRecords,
    ) -> GroupRecord {
        let generation = self.next_generation;
        self.next_generation += 1;
        // The head receives all requests of the group, and a cold upstream (see
        // `UpstreamRecord::cold_left`) accepts requests only at a limited rate.
        let mut members = members.clone();
        members.sort_by_key(|record| record.cold_left);
        GroupRecord {
            // Differs from the ids of groups that warm spares up.
            group: format!("g{generation}").into(),
            generation,
            service: service.clone(),
            model: model.clone(),
            members: members
                .iter()
                .map(|record| (record.upstream.clone(), record.start_time_ms))
                .collect(),
            head_address: members.first().map_or("".into(), |head| head.address.clone()),
            is_closing: false,
        }
    }

    /// Whether the service already has groups or the number of its upstreams has been unchanged for
    /// [`FLEET_STABLE_TIME`].
    fn is_fleet_stable(&mut self, view: &FleetView, service: &ServiceId, now: Instant) -> bool {
        let count = view.upstreams.values().filter(|record| record.service == *service).count();
        let observed = self.state.fleet_sizes.entry(service.clone()).or_insert((count, now));
        if observed.0 != count {
            *observed = (count, now);
        }
        let has_groups = view.groups.values().any(|group| group.service == *service);
        has_groups || now.saturating_duration_since(observed.1) >= FLEET_STABLE_TIME
    }
}
