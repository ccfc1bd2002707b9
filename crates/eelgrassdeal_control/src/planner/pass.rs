//! One planning pass.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, EntryKey, GroupRecord, Model, ServeRule};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::VmId;

use super::draft::GroupDraft;
use super::placement::{DomainKey, SparePool, is_allowed};
use super::{GroupPlan, GroupReadiness};
use crate::fleet::{EntryKind, FleetConfig};

/// Works on drafts of the groups; the plan is the difference between the drafts and the records,
/// so a pass that finds nothing to do asks for no change.
pub(super) struct PlanPass<'a> {
    fleet: &'a FleetConfig,
    pool: SparePool<'a>,
    drafts: Vec<GroupDraft<'a>>,
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
        // Of equal priorities the larger groups are placed first: smaller ones fit into what is left.
        rules
            .sort_by_key(|(rule, model)| (rule.priority, Reverse(model.vms_per_replica), &rule.id));
        let drafts = fleet
            .groups()
            .map(|group| {
                let is_ready = readiness.of(group);
                GroupDraft::existing(fleet, group, &pool, is_ready, now_unix_ms)
            })
            .collect();
        Self { fleet, pool, drafts, rules }
    }

    pub(super) fn run(mut self) -> GroupPlan {
        self.mark_restarted();
        for (rule, _) in self.rules.clone() {
            self.mark_surplus(rule);
        }
        self.remove_unwanted();
        self.repair();
        for (rule, model) in self.rules.clone() {
            self.form(rule, model);
        }
        for (rule, model) in self.rules.clone() {
            self.roll(rule, model);
        }
        self.into_plan()
    }

    fn of_rule<'b>(&'b self, rule: &'b str) -> impl Iterator<Item = &'b GroupDraft<'a>> {
        self.drafts.iter().filter(move |draft| draft.record.rule == rule && draft.counts())
    }

    /// Gives up the groups that a rule no longer needs, degraded ones first. A healthy group goes
    /// only when enough others are settled, so that a returning data centre and a new version take
    /// over before the old groups leave. Groups of a data centre that is out are neither counted
    /// nor given up: they keep their weights for the return.
    fn mark_surplus(&mut self, rule: &ServeRule) {
        let wanted = rule.replicas as usize;
        let kept = self.of_rule(&rule.id).filter(|draft| !draft.is_out).count();
        for _ in wanted..kept.max(wanted) {
            let in_centre = |centre: &str| {
                self.of_rule(&rule.id).filter(|draft| draft.record.data_centre == centre).count()
            };
            let worst = (0..self.drafts.len())
                .filter(|&at| self.drafts[at].record.rule == rule.id && self.drafts[at].counts())
                .filter(|&at| !self.drafts[at].is_out)
                .max_by_key(|&at| {
                    let draft = &self.drafts[at];
                    (draft.badness(), in_centre(&draft.record.data_centre), at)
                });
            let Some(worst) = worst else { return };
            let settled = (self.drafts.iter().enumerate())
                .filter(|(at, draft)| {
                    *at != worst && draft.record.rule == rule.id && draft.counts()
                })
                .filter(|(_, draft)| draft.is_healthy() && draft.is_settled)
                .count();
            let draft = &self.drafts[worst];
            let must_wait = settled < wanted || (draft.is_young && !draft.is_draining());
            if draft.is_healthy() && must_wait {
                return;
            }
            self.drafts[worst].is_surplus = true;
        }
    }

    /// Marks the groups that lose members while their data centre is out: their weights are gone,
    /// and on return they count as settled only after the time of a load.
    fn mark_restarted(&mut self) {
        for draft in self.drafts.iter_mut().filter(|draft| draft.is_out) {
            if !draft.missing.is_empty() || draft.is_draining() {
                draft.drain();
            }
        }
    }

    fn remove_unwanted(&mut self) {
        for at in (0..self.drafts.len()).rev() {
            let draft = &mut self.drafts[at];
            match (draft.is_surplus || !draft.has_rule, draft.is_drained) {
                (true, true) => self.dissolve(at),
                (true, false) => draft.drain(),
                (false, _) => {}
            }
        }
    }

    /// Replaces missing members where the domain has spares. Without spares a group waits, and
    /// then gives its other members to the groups of higher priority that wait with it.
    fn repair(&mut self) {
        self.replace_missing();
        let mut waiting = self.degraded();
        while let Some(last) = waiting.pop() {
            match self.drafts.iter().position(|draft| draft.record.id == last) {
                Some(at) if self.drafts[at].is_drained => {
                    self.dissolve(at);
                    self.replace_missing();
                    let left: BTreeSet<String> = self.degraded().into_iter().collect();
                    waiting.retain(|id| left.contains(id));
                }
                Some(at) => self.drafts[at].drain(),
                None => {}
            }
        }
    }

    /// Ids of the groups to repair, the most urgent first.
    fn degraded(&self) -> Vec<String> {
        let mut ids = Vec::new();
        for (rule, _) in &self.rules {
            let degraded = self.of_rule(&rule.id).filter(|draft| needs_repair(draft));
            ids.extend(degraded.map(|draft| draft.record.id.clone()));
        }
        ids
    }

    fn replace_missing(&mut self) {
        for id in self.degraded() {
            let Some(draft) = self.drafts.iter_mut().find(|draft| draft.record.id == id) else {
                continue;
            };
            let domain = (&*draft.record.data_centre, &*draft.record.fabric_domain);
            if let Some(spares) = self.pool.take(domain, draft.missing.len()) {
                // A member that only moved to another domain is free for other groups.
                self.pool.release(&draft.missing);
                draft.replace_missing(spares);
            }
        }
    }

    fn form(&mut self, rule: &'a ServeRule, model: &'a Model) {
        let wanted = rule.replicas as usize;
        while self.of_rule(&rule.id).count() < wanted {
            let is_formed = self.form_one(rule, model)
                || (self.preempt(rule, model) && self.form_one(rule, model));
            if !is_formed {
                return;
            }
        }
        // Idle spares take over at once for a group that waits for its members or its data centre.
        // VMs of other groups are taken above, only when the wait is over. If the members or the
        // data centre return first, the surplus group is given up.
        while self.of_rule(&rule.id).filter(|draft| draft.is_healthy()).count() < wanted {
            if !self.form_one(rule, model) {
                return;
            }
        }
    }

    fn form_one(&mut self, rule: &ServeRule, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let groups_in = |centre: &str| {
            self.of_rule(&rule.id).filter(|draft| draft.record.data_centre == centre).count()
        };
        let Some((centre, domain)) = self.pool.choose_domain(rule, size, groups_in) else {
            return false;
        };
        let Some(members) = self.pool.take((centre, domain), size) else { return false };
        self.drafts.push(GroupDraft::new(GroupRecord {
            id: self.free_id(&rule.id),
            // A member that was unreachable may still run an older group of this id. Generations
            // rise by at most 1 with each revision, so this one is above all of that group.
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

    /// Dissolves as few groups of lower priority as possible so that a group of `rule` fits.
    fn preempt(&mut self, rule: &ServeRule, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let victims = (self.pool.domains().into_iter())
            .filter(|(centre, _)| is_allowed(rule, centre))
            .filter_map(|domain| self.victims_in(domain, rule, size))
            .min_by_key(Vec::len);
        let Some(victims) = victims else { return false };
        for id in victims {
            if let Some(at) = self.drafts.iter().position(|draft| draft.record.id == id) {
                self.dissolve(at);
            }
        }
        true
    }

    fn victims_in(
        &self,
        domain: DomainKey<'_>,
        rule: &ServeRule,
        size: usize,
    ) -> Option<Vec<String>> {
        let mut free = self.pool.count(domain);
        let mut victims = Vec::new();
        for (lower, _) in
            self.rules.iter().rev().filter(|(lower, _)| lower.priority > rule.priority)
        {
            let in_domain = self.drafts.iter().filter(|draft| {
                let record = &draft.record;
                record.rule == lower.id
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

    /// Brings one outdated group of the rule up to date: a new group takes over where a domain has
    /// room, otherwise the group drains and is changed in place.
    fn roll(&mut self, rule: &'a ServeRule, model: &'a Model) {
        let outdated = (0..self.drafts.len())
            .filter(|&at| {
                let draft = &self.drafts[at];
                draft.record.rule == rule.id
                    && draft.counts()
                    && draft.is_outdated
                    && draft.is_healthy()
            })
            .max_by_key(|&at| (self.drafts[at].badness(), Reverse(at)));
        let Some(at) = outdated else { return };
        let id = self.drafts[at].record.id.clone();
        let is_quiet = (self.of_rule(&rule.id).filter(|draft| draft.record.id != id))
            .all(|draft| draft.is_out || (draft.is_healthy() && draft.is_settled));
        let wanted = rule.replicas as usize;
        let kept = self.of_rule(&rule.id).count();
        let reachable = self.of_rule(&rule.id).filter(|draft| !draft.is_out).count();
        // A drain for a roll unsettles its group. While a surplus group drains, that would call the
        // surplus group back and start both drains again.
        let has_surplus =
            self.drafts.iter().any(|draft| draft.record.rule == rule.id && draft.is_surplus);
        if !is_quiet || has_surplus || kept < wanted || reachable > wanted {
            return;
        }
        let is_draining = self.drafts[at].is_draining();
        if !is_draining && self.form_one(rule, model) {
            return;
        }
        let draft = &mut self.drafts[at];
        let has_size = draft.record.members.len() == model.vms_per_replica as usize;
        let can_stay = has_size && is_allowed(rule, &draft.record.data_centre);
        match (draft.is_drained, can_stay) {
            (false, _) => draft.drain(),
            (true, true) => draft.reload(model),
            (true, false) => {
                self.dissolve(at);
                self.form(rule, model);
            }
        }
    }

    fn dissolve(&mut self, at: usize) {
        let draft = self.drafts.remove(at);
        self.pool.release(&draft.record.members);
    }

    fn free_id(&self, rule: &str) -> String {
        let is_taken = |id: &str| {
            self.fleet.group(id).is_some() || self.drafts.iter().any(|draft| draft.record.id == id)
        };
        let mut ids = (1..).map(|number: u32| format!("{rule}-{number}"));
        ids.find(|id| !is_taken(id)).unwrap_or_default()
    }

    fn into_plan(self) -> GroupPlan {
        let left: BTreeSet<&str> =
            self.drafts.iter().map(|draft| draft.record.id.as_str()).collect();
        let remove = (self.fleet.groups().filter(|group| !left.contains(group.id.as_str())))
            .map(|group| EntryKey {
                kind: EntryKind::Group.name().to_owned(),
                id: group.id.clone(),
            })
            .collect();
        let upsert = (self.drafts.iter())
            // A group of a taken-out data centre is left as it is until the data centre returns.
            .filter(|draft| !draft.is_out || draft.wants_drain())
            .filter(|draft| draft.original != Some(&draft.record))
            .map(|draft| ConfigEntry { body: Some(Body::Group(draft.record.clone())) })
            .collect();
        GroupPlan { upsert, remove }
    }
}

fn needs_repair(draft: &GroupDraft<'_>) -> bool {
    !draft.missing.is_empty() && !draft.is_out
}
