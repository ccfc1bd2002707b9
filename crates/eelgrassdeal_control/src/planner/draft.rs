//! State of a group during a planning pass.

use std::time::Duration;

use eelgrassdeal_schema::config::{GroupRecord, Model, ServeRule};

use super::placement::{SparePool, is_allowed};
use crate::fleet::{EntryKind, FleetConfig};

/// Time for which a group drains before it is torn down. A group that lacks a member and for which
/// there is no spare waits this long for the member to return; then its other VMs become available
/// to other groups. Requests of a group that is no longer needed have the same time to complete;
/// requests that take longer continue on another replica.
const TEARDOWN_DELAY: Duration = Duration::from_secs(30);
/// Time for which a group still counts as a replica after its data centre was taken out of service,
/// if `rebuild_after_ms` of its rule is 0 or the rule does not exist.
const DEFAULT_REBUILD_AFTER: Duration = Duration::from_secs(600);
/// Added to the time that a group needs to load its weights at [`ASSUMED_LOAD_BYTES_PER_S`]. A
/// group is assumed to be ready once the sum has passed since its last change, because the
/// configuration does not contain whether engines are ready.
const LOAD_TIME_MARGIN: Duration = Duration::from_secs(30);
/// Assumed rate at which one group loads its weights, in bytes per second. It is low enough for a
/// weight store from which several groups load at once.
const ASSUMED_LOAD_BYTES_PER_S: u64 = 500_000_000;

const SERVING: &str = "serving";
const DRAINING: &str = "draining";

/// A group record that the planning pass may edit, with the state that the pass derived for the
/// group.
pub(super) struct GroupDraft<'a> {
    /// Record in the configuration; `None` for a group that this pass forms.
    pub(super) original: Option<&'a GroupRecord>,
    /// Record that the plan writes if it differs from `original`.
    pub(super) record: GroupRecord,
    /// Members that must be replaced, see [`SparePool::unfit_members`].
    pub(super) unfit_members: Vec<String>,
    /// Whether operators have taken the group's data centre out of service.
    pub(super) is_centre_out: bool,
    /// Whether the data centre has been out for the rule's `rebuild_after_ms`, so that the group no
    /// longer counts as a replica.
    pub(super) is_rebuild_due: bool,
    /// Whether model, version, number of members or data centre no longer conform to the rule.
    pub(super) is_outdated: bool,
    /// Whether the group counts as ready: its data centre is in service, it is not reported
    /// unready, and `may_be_loading` is false.
    pub(super) is_assumed_ready: bool,
    /// Whether the group is not reported ready and it or its data centre changed so recently that
    /// its engines may still be loading.
    pub(super) may_be_loading: bool,
    /// Whether the rule has more groups than it needs and this one is to be removed.
    pub(super) is_surplus: bool,
    /// Whether the group's rule and the rule's model exist.
    pub(super) has_rule: bool,
    /// Whether the group has been draining for [`TEARDOWN_DELAY`].
    pub(super) is_drained: bool,
    /// Whether this pass has called [`Self::request_drain`].
    is_drain_requested: bool,
}

impl<'a> GroupDraft<'a> {
    /// Creates the draft of a group in the configuration. `is_ready` is the reported readiness of
    /// the group, see [`GroupReadiness::is_ready`](super::GroupReadiness::is_ready). The draft's
    /// state is `serving` unless the pass requests a drain.
    pub(super) fn from_record(
        fleet: &FleetConfig,
        group: &'a GroupRecord,
        pool: &SparePool<'_>,
        is_ready: Option<bool>,
        now_unix_ms: u64,
    ) -> Self {
        let rule = fleet.serve_rule(&group.rule);
        let model = rule.and_then(|rule| fleet.model(&rule.model));
        let is_centre_out = fleet.is_centre_out(&group.data_centre);
        let time_since_change = |kind, id: &str| {
            let since = fleet.changed_unix_ms(kind, id).unwrap_or(0);
            Duration::from_millis(now_unix_ms.saturating_sub(since))
        };
        let time_since_group_change = time_since_change(EntryKind::Group, &group.id);
        let time_since_centre_change = time_since_change(EntryKind::DataCentre, &group.data_centre);
        let may_be_loading = is_ready != Some(true)
            && (time_since_group_change < assumed_load_time(model)
                || time_since_centre_change < LOAD_TIME_MARGIN);
        Self {
            unfit_members: pool.unfit_members(group),
            is_centre_out,
            is_rebuild_due: is_centre_out && time_since_centre_change >= rebuild_after(rule),
            is_outdated: is_outdated(group, rule, model),
            is_assumed_ready: is_ready != Some(false) && !is_centre_out && !may_be_loading,
            may_be_loading,
            is_surplus: false,
            has_rule: model.is_some(),
            // The delay also counts from the last change of the data centre, so that members that
            // were switched off during its maintenance have time to return.
            is_drained: group.state == DRAINING
                && time_since_group_change.min(time_since_centre_change) >= TEARDOWN_DELAY,
            is_drain_requested: false,
            record: GroupRecord { state: SERVING.to_owned(), ..group.clone() },
            original: Some(group),
        }
    }

    /// Creates the draft of a group that this pass forms.
    pub(super) fn new(record: GroupRecord) -> Self {
        Self {
            original: None,
            record: GroupRecord { state: SERVING.to_owned(), ..record },
            unfit_members: Vec::new(),
            is_centre_out: false,
            is_rebuild_due: false,
            is_outdated: false,
            is_assumed_ready: false,
            may_be_loading: true,
            is_surplus: false,
            has_rule: true,
            is_drained: false,
            is_drain_requested: false,
        }
    }

    /// Whether the group counts towards the number of replicas of its rule.
    pub(super) fn counts_as_replica(&self) -> bool {
        self.has_rule && !self.is_surplus && !self.is_rebuild_due
    }

    /// Whether no member must be replaced and the data centre is in service.
    pub(super) fn is_healthy(&self) -> bool {
        self.unfit_members.is_empty() && !self.is_centre_out
    }

    /// Whether the configuration has the group as draining, regardless of the draft.
    pub(super) fn is_draining(&self) -> bool {
        self.original.is_some_and(|group| group.state == DRAINING)
    }

    /// Sort key of groups that may be removed or updated: the greatest goes first.
    pub(super) fn removal_priority(&self) -> [bool; 5] {
        let is_draining = self.original.is_some_and(|group| group.state == DRAINING);
        [
            !self.unfit_members.is_empty(),
            self.is_centre_out,
            self.is_outdated,
            is_draining,
            !self.is_assumed_ready,
        ]
    }

    /// Sets the state of the record to draining, so that the group takes no new work.
    pub(super) fn request_drain(&mut self) {
        self.is_drain_requested = true;
        self.record.state = DRAINING.to_owned();
    }

    pub(super) fn is_drain_requested(&self) -> bool {
        self.is_drain_requested
    }

    /// Replaces each unfit member by a spare at the same rank, so that the other members keep their
    /// rank and weights.
    pub(super) fn replace_unfit_members(&mut self, spares: Vec<String>) {
        let mut spares = spares.into_iter();
        for member in &mut self.record.members {
            if self.unfit_members.contains(member)
                && let Some(spare) = spares.next()
            {
                *member = spare;
            }
        }
        self.unfit_members.clear();
        self.is_assumed_ready = false;
        self.start_generation();
    }

    /// Changes the record to the current model and version with the same members.
    pub(super) fn reload(&mut self, model: &Model) {
        self.record.model.clone_from(&model.id);
        self.record.version.clone_from(&model.version);
        self.is_outdated = false;
        self.is_assumed_ready = false;
        self.start_generation();
    }

    /// Increments the generation after a change of members or model and sets the state to serving.
    fn start_generation(&mut self) {
        self.record.generation += 1;
        self.record.state = SERVING.to_owned();
        self.is_drain_requested = false;
    }
}

/// Whether `group` does not conform to its rule and model, or has none.
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

/// Time after a change for which a group may still be loading its weights.
fn assumed_load_time(model: Option<&Model>) -> Duration {
    let weights_bytes = model.map_or(0, |model| model.weights_bytes);
    LOAD_TIME_MARGIN + Duration::from_secs(weights_bytes / ASSUMED_LOAD_BYTES_PER_S)
}
