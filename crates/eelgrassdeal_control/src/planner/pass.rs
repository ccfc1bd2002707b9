//! One planning pass.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, EntryKey, GroupRecord, Model, ServeRule};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::VmId;

use super::draft::GroupDraft;
use super::placement::{DomainKey, SparePool, is_allowed};
use super::{ConfigPlan, GroupReadiness};
use crate::fleet::{EntryKind, FleetConfig};

/// State of one planning pass. The pass edits drafts of the groups. The plan is the difference
/// between the drafts and the records, so it is empty if the pass changes no draft.
pub(super) struct PlanPass<'a> {
    fleet: &'a FleetConfig,
    pool: SparePool<'a>,
    drafts: Vec<GroupDraft<'a>>,
    /// Rules with an existing model, in the order in which their groups are formed and repaired.
    rules: Vec<(&'a ServeRule, &'a Model)>,
}

impl<'a> PlanPass<'a> {
    pub(super) fn new(
        fleet: &'a FleetConfig,
        vms: &BTreeMap<VmId, VmState>,
        readiness: &GroupReadiness,
        now_unix_ms: u64,
    ) -> Self {
        let pool = SparePool::new(fleet, vms);
        let mut rules: Vec<(&ServeRule, &Model)> = fleet
            .serve_rules()
            .filter_map(|rule| Some((rule, fleet.model(&rule.model)?)))
            .filter(|(_, model)| model.vms_per_replica > 0)
            .collect();
        // Among rules of equal priority, those with larger groups are placed first, because smaller
        // groups fit into the remaining spares more easily.
        rules
            .sort_by_key(|(rule, model)| (rule.priority, Reverse(model.vms_per_replica), &rule.id));
        let drafts = fleet
            .groups()
            .map(|group| {
                let is_ready = readiness.is_ready(group);
                GroupDraft::from_record(fleet, group, &pool, is_ready, now_unix_ms)
            })
            .collect();
        Self { fleet, pool, drafts, rules }
    }

    pub(super) fn run(mut self) -> ConfigPlan {
        self.drain_degraded_groups_out_of_service();
        for (rule, _) in self.rules.clone() {
            self.mark_surplus(rule);
        }
        self.remove_unwanted();
        self.repair();
        for (rule, model) in self.rules.clone() {
            self.form_groups(rule, model);
        }
        for (rule, model) in self.rules.clone() {
            self.update_outdated_group(rule, model);
        }
        self.into_plan()
    }

    /// Groups that count as replicas of the rule.
    fn replicas_of<'b>(&'b self, rule: &'b str) -> impl Iterator<Item = &'b GroupDraft<'a>> {
        self.drafts
            .iter()
            .filter(move |draft| draft.record.rule == rule && draft.counts_as_replica())
    }

    /// Marks groups beyond the number of replicas of the rule as surplus, degraded groups first.
    ///
    /// A healthy group is marked only when enough others are assumed ready, so that the groups of a
    /// returning data centre or a new version take over before the old groups are removed. A
    /// healthy group that may be loading is not marked either, unless it is draining already.
    ///
    /// Groups in a data centre that is out are neither counted nor marked: they keep their weights
    /// for the return of the data centre.
    fn mark_surplus(&mut self, rule: &ServeRule) {
        let wanted = rule.replicas as usize;
        let in_service_count =
            self.replicas_of(&rule.id).filter(|draft| !draft.is_centre_out).count();
        // Runs once for each group in service beyond the wanted number.
        for _ in wanted..in_service_count.max(wanted) {
            let in_centre = |centre: &str| {
                self.replicas_of(&rule.id)
                    .filter(|draft| draft.record.data_centre == centre)
                    .count()
            };
            let candidate = (0..self.drafts.len())
                .filter(|&index| {
                    self.drafts[index].record.rule == rule.id
                        && self.drafts[index].counts_as_replica()
                })
                .filter(|&index| !self.drafts[index].is_centre_out)
                .max_by_key(|&index| {
                    let draft = &self.drafts[index];
                    (draft.removal_priority(), in_centre(&draft.record.data_centre), index)
                });
            let Some(candidate) = candidate else { return };
            let ready_count = (self.drafts.iter().enumerate())
                .filter(|(index, draft)| {
                    *index != candidate && draft.record.rule == rule.id && draft.counts_as_replica()
                })
                .filter(|(_, draft)| draft.is_healthy() && draft.is_assumed_ready)
                .count();
            let draft = &self.drafts[candidate];
            let must_wait = ready_count < wanted || (draft.may_be_loading && !draft.is_draining());
            if draft.is_healthy() && must_wait {
                return;
            }
            self.drafts[candidate].is_surplus = true;
        }
    }

    /// Drains the groups that lose members while their data centre is out, because the weights of
    /// these members are lost. When the data centre returns, such a group changes from draining to
    /// serving, so it counts as ready only after its assumed load time.
    fn drain_degraded_groups_out_of_service(&mut self) {
        for draft in self.drafts.iter_mut().filter(|draft| draft.is_centre_out) {
            if !draft.unfit_members.is_empty() || draft.is_draining() {
                draft.request_drain();
            }
        }
    }

    /// Drains surplus groups and groups without a rule, and tears them down once they are drained.
    fn remove_unwanted(&mut self) {
        for index in (0..self.drafts.len()).rev() {
            let draft = &mut self.drafts[index];
            match (draft.is_surplus || !draft.has_rule, draft.is_drained) {
                (true, true) => self.tear_down(index),
                (true, false) => draft.request_drain(),
                (false, _) => {}
            }
        }
    }

    /// Replaces unfit members by spares of the same domain. A group for which there are no spares
    /// drains and is then torn down, starting with the least urgent group, so that its remaining
    /// members become spares for more urgent groups with unfit members.
    fn repair(&mut self) {
        self.replace_unfit_members();
        let mut waiting = self.degraded_group_ids();
        while let Some(last) = waiting.pop() {
            match self.drafts.iter().position(|draft| draft.record.id == last) {
                Some(index) if self.drafts[index].is_drained => {
                    self.tear_down(index);
                    self.replace_unfit_members();
                    let still_degraded: BTreeSet<String> =
                        self.degraded_group_ids().into_iter().collect();
                    waiting.retain(|id| still_degraded.contains(id));
                }
                Some(index) => self.drafts[index].request_drain(),
                None => {}
            }
        }
    }

    /// Ids of the groups that need a repair, in the order of the rules: the most urgent first.
    fn degraded_group_ids(&self) -> Vec<String> {
        let mut ids = Vec::new();
        for (rule, _) in &self.rules {
            let degraded = self.replicas_of(&rule.id).filter(|draft| needs_repair(draft));
            ids.extend(degraded.map(|draft| draft.record.id.clone()));
        }
        ids
    }

    /// Replaces the unfit members of each group whose domain has enough spares.
    fn replace_unfit_members(&mut self) {
        for id in self.degraded_group_ids() {
            let Some(draft) = self.drafts.iter_mut().find(|draft| draft.record.id == id) else {
                continue;
            };
            let domain = (&*draft.record.data_centre, &*draft.record.fabric_domain);
            if let Some(spares) = self.pool.take(domain, draft.unfit_members.len()) {
                // An unfit member that was registered in another domain is available there.
                self.pool.release(&draft.unfit_members);
                draft.replace_unfit_members(spares);
            }
        }
    }

    /// Forms the groups that the rule lacks, if necessary with VMs of groups of lower priority.
    fn form_groups(&mut self, rule: &'a ServeRule, model: &'a Model) {
        let wanted = rule.replicas as usize;
        while self.replicas_of(&rule.id).count() < wanted {
            let is_formed = self.form_group(rule, model)
                || (self.preempt(rule, model) && self.form_group(rule, model));
            if !is_formed {
                return;
            }
        }
        // While a group waits for its members or its data centre, idle spares form a replacement
        // group immediately. VMs of other groups are taken only by the loop above, once the waiting
        // group no longer counts as a replica, because it is torn down or its data centre has been
        // out for `rebuild_after_ms`. If the members or the data centre return before that, one of
        // the groups is surplus and is removed.
        while self.replicas_of(&rule.id).filter(|draft| draft.is_healthy()).count() < wanted {
            if !self.form_group(rule, model) {
                return;
            }
        }
    }

    /// Forms one group of the rule from spares. Returns false if no permitted domain has enough.
    fn form_group(&mut self, rule: &ServeRule, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let groups_in = |centre: &str| {
            self.replicas_of(&rule.id).filter(|draft| draft.record.data_centre == centre).count()
        };
        let Some((centre, domain)) = self.pool.choose_domain(rule, size, groups_in) else {
            return false;
        };
        let Some(members) = self.pool.take((centre, domain), size) else { return false };
        self.drafts.push(GroupDraft::new(GroupRecord {
            id: self.unused_id(&rule.id),
            // A member that was unreachable may still run an earlier group with the same id.
            // Generations increase by at most 1 with each revision, so this generation is greater
            // than all generations of that group.
            generation: self.fleet.revision() + 1,
            model: model.id.clone(),
            version: model.version.clone(),
            rule: rule.id.clone(),
            data_centre: centre.to_owned(),
            fabric_domain: domain.to_owned(),
            members,
            ..GroupRecord::default()
        }));
        true
    }

    /// Tears down groups of lower priority to make room for a group of `rule`, in the domain where
    /// the fewest groups must be torn down. Returns false if no domain can provide enough VMs.
    fn preempt(&mut self, rule: &ServeRule, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let victims = (self.pool.domains().into_iter())
            .filter(|(centre, _)| is_allowed(rule, centre))
            .filter_map(|domain| self.preemption_victims(domain, rule, size))
            .min_by_key(Vec::len);
        let Some(victims) = victims else { return false };
        for id in victims {
            if let Some(index) = self.drafts.iter().position(|draft| draft.record.id == id) {
                self.tear_down(index);
            }
        }
        true
    }

    /// Ids of the groups in `domain` that must be torn down for a group of `size` members, the
    /// lowest priority first. Groups that this pass has formed are not considered. Returns `None`
    /// if the domain would not have enough VMs even then.
    fn preemption_victims(
        &self,
        domain: DomainKey<'_>,
        rule: &ServeRule,
        size: usize,
    ) -> Option<Vec<String>> {
        let mut free = self.pool.count(domain);
        let mut victims = Vec::new();
        // Priority 0 is the highest, so rules of lower priority have a greater number.
        for (lower_rule, _) in
            self.rules.iter().rev().filter(|(lower_rule, _)| lower_rule.priority > rule.priority)
        {
            let in_domain = self.drafts.iter().filter(|draft| {
                let record = &draft.record;
                record.rule == lower_rule.id
                    && (&*record.data_centre, &*record.fabric_domain) == domain
                    && draft.original.is_some()
            });
            for draft in in_domain {
                if free < size {
                    free += self.pool.count_usable(&draft.record.members);
                    victims.push(draft.record.id.clone());
                }
            }
        }
        (free >= size).then_some(victims)
    }

    /// Continues the rolling update of the rule with one outdated group. If a domain has enough
    /// spares, a new group is formed and the outdated one becomes surplus later. Otherwise the
    /// outdated group drains and then either loads the new model or version with the same members
    /// or, if its size or data centre is no longer permitted, is torn down and formed again.
    fn update_outdated_group(&mut self, rule: &'a ServeRule, model: &'a Model) {
        let outdated = (0..self.drafts.len())
            .filter(|&index| {
                let draft = &self.drafts[index];
                draft.record.rule == rule.id
                    && draft.counts_as_replica()
                    && draft.is_outdated
                    && draft.is_healthy()
            })
            .max_by_key(|&index| (self.drafts[index].removal_priority(), Reverse(index)));
        let Some(index) = outdated else { return };
        let id = self.drafts[index].record.id.clone();
        let are_others_ready = (self.replicas_of(&rule.id).filter(|draft| draft.record.id != id))
            .all(|draft| draft.is_centre_out || (draft.is_healthy() && draft.is_assumed_ready));
        let wanted = rule.replicas as usize;
        let replica_count = self.replicas_of(&rule.id).count();
        let in_service_count =
            self.replicas_of(&rule.id).filter(|draft| !draft.is_centre_out).count();
        // A group that drains for an update no longer counts as ready. If a surplus group were
        // draining at the same time, too few others would be ready for the next pass to mark it as
        // surplus again, so both groups would return to serving and both drains would start over.
        let has_surplus =
            self.drafts.iter().any(|draft| draft.record.rule == rule.id && draft.is_surplus);
        if !are_others_ready || has_surplus || replica_count < wanted || in_service_count > wanted {
            return;
        }
        let is_draining = self.drafts[index].is_draining();
        if !is_draining && self.form_group(rule, model) {
            return;
        }
        let draft = &mut self.drafts[index];
        let has_required_size = draft.record.members.len() == model.vms_per_replica as usize;
        let can_reload = has_required_size && is_allowed(rule, &draft.record.data_centre);
        match (draft.is_drained, can_reload) {
            (false, _) => draft.request_drain(),
            (true, true) => draft.reload(model),
            (true, false) => {
                self.tear_down(index);
                self.form_groups(rule, model);
            }
        }
    }

    /// Removes the draft of a group and makes its usable members spares.
    fn tear_down(&mut self, index: usize) {
        let draft = self.drafts.remove(index);
        self.pool.release(&draft.record.members);
    }

    /// First id of the form `RULE-NUMBER` that no group of the configuration or of this pass has.
    fn unused_id(&self, rule: &str) -> String {
        let is_taken = |id: &str| {
            self.fleet.group(id).is_some() || self.drafts.iter().any(|draft| draft.record.id == id)
        };
        let mut ids = (1..).map(|number: u32| format!("{rule}-{number}"));
        ids.find(|id| !is_taken(id)).unwrap_or_default()
    }

    fn into_plan(self) -> ConfigPlan {
        let remaining: BTreeSet<&str> =
            self.drafts.iter().map(|draft| draft.record.id.as_str()).collect();
        let remove = (self.fleet.groups().filter(|group| !remaining.contains(group.id.as_str())))
            .map(|group| EntryKey {
                kind: EntryKind::Group.name().to_owned(),
                id: group.id.clone(),
            })
            .collect();
        let upsert = (self.drafts.iter())
            // A group in a data centre that is out stays unchanged until the data centre returns,
            // unless it has lost members.
            .filter(|draft| !draft.is_centre_out || draft.is_drain_requested())
            .filter(|draft| draft.original != Some(&draft.record))
            .map(|draft| ConfigEntry { body: Some(Body::Group(draft.record.clone())) })
            .collect();
        ConfigPlan { upsert, remove }
    }
}

fn needs_repair(draft: &GroupDraft<'_>) -> bool {
    !draft.unfit_members.is_empty() && !draft.is_centre_out
}
