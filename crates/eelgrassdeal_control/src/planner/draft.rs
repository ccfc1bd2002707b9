//! A group while a planning pass works on it.

use std::time::Duration;

use eelgrassdeal_schema::config::{GroupRecord, Model, ServeRule};

use super::placement::{SparePool, is_allowed};
use crate::fleet::{EntryKind, FleetConfig};

/// A group that lacks a member and finds no spare is dissolved after this time, so that its other
/// VMs can serve elsewhere. Requests of a group that is to go have the same time to finish; later
/// ones continue on another replica.
const DISSOLVE_AFTER: Duration = Duration::from_secs(30);
/// Time that a group in a taken-out data centre stays formed, where the rule names none.
const DEFAULT_REBUILD_AFTER: Duration = Duration::from_secs(600);
/// A group counts as settled this long after its last change plus the time that the load of its
/// weights takes at [`ASSUMED_LOAD_RATE`]. The configuration does not say when engines are ready.
const SETTLE_MARGIN: Duration = Duration::from_secs(30);
/// Bytes/s for each group, low enough for a weight store that serves several groups at once.
const ASSUMED_LOAD_RATE: u64 = 500_000_000;

const SERVING: &str = "serving";
const DRAINING: &str = "draining";

/// A group with what the pass found out about it.
pub(super) struct GroupDraft<'a> {
    pub(super) original: Option<&'a GroupRecord>,
    pub(super) record: GroupRecord,
    pub(super) missing: Vec<String>,
    pub(super) is_out: bool,
    /// The data centre is out for so long that the group no longer counts.
    pub(super) is_abandoned: bool,
    pub(super) is_outdated: bool,
    pub(super) is_settled: bool,
    /// The group or its data centre changed a short time ago.
    pub(super) is_young: bool,
    pub(super) is_surplus: bool,
    pub(super) has_rule: bool,
    /// The group has been draining for long enough.
    pub(super) is_drained: bool,
    wants_drain: bool,
}

impl<'a> GroupDraft<'a> {
    pub(super) fn existing(
        fleet: &FleetConfig,
        group: &'a GroupRecord,
        pool: &SparePool<'_>,
        is_ready: Option<bool>,
        now_unix_ms: u64,
    ) -> Self {
        let rule = fleet.serve_rule(&group.rule);
        let model = rule.and_then(|rule| fleet.model(&rule.model));
        let is_out = fleet.is_centre_out(&group.data_centre);
        let age = |kind, id: &str| {
            let since = fleet.changed_unix_ms(kind, id).unwrap_or(0);
            Duration::from_millis(now_unix_ms.saturating_sub(since))
        };
        let age_of_group = age(EntryKind::Group, &group.id);
        let age_of_centre = age(EntryKind::DataCentre, &group.data_centre);
        let is_young = is_ready != Some(true)
            && (age_of_group < settle_time(model) || age_of_centre < SETTLE_MARGIN);
        Self {
            missing: pool.missing_members(group),
            is_out,
            is_abandoned: is_out && age_of_centre >= rebuild_after(rule),
            is_outdated: is_outdated(group, rule, model),
            is_settled: is_ready != Some(false) && !is_out && !is_young,
            is_young,
            is_surplus: false,
            has_rule: model.is_some(),
            // Members that were switched off for maintenance get the time to return.
            is_drained: group.state == DRAINING
                && age_of_group.min(age_of_centre) >= DISSOLVE_AFTER,
            wants_drain: false,
            record: GroupRecord { state: SERVING.to_owned(), ..group.clone() },
            original: Some(group),
        }
    }

    pub(super) fn new(record: GroupRecord) -> Self {
        Self {
            original: None,
            record: GroupRecord { state: SERVING.to_owned(), ..record },
            missing: Vec::new(),
            is_out: false,
            is_abandoned: false,
            is_outdated: false,
            is_settled: false,
            is_young: true,
            is_surplus: false,
            has_rule: true,
            is_drained: false,
            wants_drain: false,
        }
    }

    /// Whether the group counts towards the replicas of its rule.
    pub(super) fn counts(&self) -> bool {
        self.has_rule && !self.is_surplus && !self.is_abandoned
    }

    pub(super) fn is_healthy(&self) -> bool {
        self.missing.is_empty() && !self.is_out
    }

    pub(super) fn is_draining(&self) -> bool {
        self.original.is_some_and(|group| group.state == DRAINING)
    }

    /// Sorts groups from the first to keep to the first to give up.
    pub(super) fn badness(&self) -> [bool; 5] {
        let is_draining = self.original.is_some_and(|group| group.state == DRAINING);
        [!self.missing.is_empty(), self.is_out, self.is_outdated, is_draining, !self.is_settled]
    }

    /// Asks that the group takes no new work.
    pub(super) fn drain(&mut self) {
        self.wants_drain = true;
        self.record.state = DRAINING.to_owned();
    }

    pub(super) fn wants_drain(&self) -> bool {
        self.wants_drain
    }

    /// Puts each spare at the rank of a missing member, so that the others keep their rank and
    /// weights.
    pub(super) fn replace_missing(&mut self, spares: Vec<String>) {
        let mut spares = spares.into_iter();
        for member in &mut self.record.members {
            if self.missing.contains(member)
                && let Some(spare) = spares.next()
            {
                *member = spare;
            }
        }
        self.missing.clear();
        self.is_settled = false;
        self.start_generation();
    }

    /// Loads another model or version on the same members.
    pub(super) fn reload(&mut self, model: &Model) {
        self.record.model.clone_from(&model.id);
        self.record.version.clone_from(&model.version);
        self.is_outdated = false;
        self.is_settled = false;
        self.start_generation();
    }

    fn start_generation(&mut self) {
        self.record.generation += 1;
        self.record.state = SERVING.to_owned();
        self.wants_drain = false;
    }
}

fn is_outdated(group: &GroupRecord, rule: Option<&ServeRule>, model: Option<&Model>) -> bool {
    match (rule, model) {
        (Some(rule), Some(model)) => {
            group.model != model.id
                || group.version != model.version
                || group.members.len() != model.vms_per_replica as usize
                || !is_allowed(rule, &group.data_centre)
        }
        _ => true,
    }
}

fn rebuild_after(rule: Option<&ServeRule>) -> Duration {
    match rule.map_or(0, |rule| rule.rebuild_after_ms) {
        0 => DEFAULT_REBUILD_AFTER,
        wait_ms => Duration::from_millis(wait_ms),
    }
}

fn settle_time(model: Option<&Model>) -> Duration {
    let weights_bytes = model.map_or(0, |model| model.weights_bytes);
    SETTLE_MARGIN + Duration::from_secs(weights_bytes / ASSUMED_LOAD_RATE)
}
