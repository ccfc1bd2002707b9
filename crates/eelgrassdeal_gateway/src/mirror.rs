//! Copies of the store's tables, and the fleet of upstreams and the configuration decoded from
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{
    FleetView, GroupRecord, NoticeTracker, RowChange, ServiceConfig, SharedTable, TableChanges,
    TableMirror, UpstreamRecord, UpstreamState,
};
use eelgrassdeal_platform::{
    CONFIG_KEY, decode_config, decode_group, decode_upstream, evacuated_zone, upstream_sequence,
};
use eelgrassdeal_types::{DataCentreId, GroupId, StoreEra, UpstreamId, version_era};

/// Grace period after an outage of the store, and after its restore from an older copy. Rows of
/// upstreams may expire during the outage or are lost, and running upstreams write them again within
/// about two seconds, as operators do with lost evacuations. Until then a missing row does not mean
/// that its upstream is gone.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// Copies of all tables, and the state decoded from them.
#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    tables: BTreeMap<SharedTable, TableMirror>,
    config: Option<Arc<ServiceConfig>>,
    /// Row of `config`.
    config_row: Option<Bytes>,
    /// Whether the store has an older configuration than `config`.
    is_config_lost: bool,
    view: Arc<FleetView>,
    /// Upstreams whose rows disappeared during a grace period, and when they are removed from the
    /// fleet unless they are registered again.
    missing: BTreeMap<UpstreamId, Instant>,
    /// Start time and `seq` of the newest known row of each upstream.
    sequences: BTreeMap<UpstreamId, (u64, u64)>,
    /// Evacuated data centres whose rows were lost with an era of the store, and when their
    /// evacuation ends unless its row is written again.
    missing_evacuations: BTreeMap<DataCentreId, Instant>,
    /// Groups in `view` whose rows were lost with an era of the store. The next planner writes them
    /// again.
    lost_groups: BTreeSet<GroupId>,
    /// End of the grace period after the last outage; `None` until the upstreams' table was read
    /// for the first time. That read starts a grace period too, as the store may have been
    /// unavailable before.
    grace_until: Option<Instant>,
}

impl StoreMirror {
    /// The newest configuration; `None` until one was read.
    pub(crate) fn config(&self) -> Option<Arc<ServiceConfig>> {
        self.config.clone()
    }

    /// The fleet of upstreams: the upstreams, their groups and the evacuated data centres.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.view.clone()
    }

    /// The copy of a table; `None` if nothing is known of it yet.
    pub(crate) fn table(&self, table: SharedTable) -> Option<&TableMirror> {
        self.tables.get(&table)
    }

    /// Version of the store up to which the copy of a table is complete; `None` before the first
    /// snapshot.
    pub(crate) fn version(&self, table: SharedTable) -> Option<u64> {
        self.tables.get(&table).and_then(TableMirror::version)
    }

    /// Whether the configuration and all tables that are needed to serve requests were read.
    pub(crate) fn is_loaded(&self) -> bool {
        let needed = [SharedTable::Operators, SharedTable::Upstreams, SharedTable::Groups];
        self.config.is_some() && needed.iter().all(|table| self.version(*table).is_some())
    }

    /// Whether the last grace period is over, so that a missing row means that its upstream is
    /// gone.
    pub(crate) fn is_past_grace(&self, now: Instant) -> bool {
        self.grace_until.is_none_or(|until| until <= now)
    }

    /// Time since the copy of a table was last known to be current; `None` if it never was.
    pub(crate) fn age(&self, table: SharedTable, now: Instant) -> Option<Duration> {
        self.tables.get(&table)?.age(now)
    }

    /// Records that the copy of `table` is fresh as of `at`: it contains all writes that the store
    /// had accepted until then. If the copy was not known to be current for longer than `outage`,
    /// the store was unavailable or this node was partitioned from the store and its peers: a grace
    /// period starts.
    pub(crate) fn record_fresh(
        &mut self,
        table: SharedTable,
        at: Instant,
        outage: Duration,
        now: Instant,
    ) {
        let mirror = self.tables.entry(table).or_default();
        let was_outage = mirror.age(at).is_none_or(|age| age > outage);
        mirror.record_fresh(at);
        if table == SharedTable::Upstreams && was_outage {
            self.grace_until = Some(now + EXPIRY_GRACE);
        }
    }

    /// Applies changes of a table. Returns whether any row changed.
    pub(crate) fn apply(
        &mut self,
        table: SharedTable,
        changes: TableChanges,
        now: Instant,
    ) -> bool {
        let changes = self.keep_newest_config(table, changes);
        let mirror = self.tables.entry(table).or_default();
        let known_era = mirror.version().map(version_era);
        let changes = mirror.apply(changes);
        let version = mirror.version().unwrap_or_default();
        let era = version_era(version);
        let is_restored = known_era.is_some_and(|known| known < era);
        if is_restored {
            log::info!("event=table_restored table={table:?} era={era}");
        }
        if is_restored && table == SharedTable::Upstreams {
            self.grace_until = Some(now + EXPIRY_GRACE);
        }
        self.apply_rows(table, &changes, is_restored, now);
        if table == SharedTable::Groups && self.view.groups_version != version {
            Arc::make_mut(&mut self.view).groups_version = version;
        }
        !changes.is_empty()
    }

    /// Shows the upstreams whose processes leave as draining.
    pub(crate) fn mark_draining(&mut self, notices: &NoticeTracker) {
        for upstream in notices.leaving() {
            let record = self.view.upstreams.get(upstream).filter(|record| {
                record.state == UpstreamState::Ready && notices.is_leaving(record)
            });
            if let Some(record) = record {
                let state = UpstreamState::Draining;
                let record = Arc::new(UpstreamRecord { state, ..(**record).clone() });
                Arc::make_mut(&mut self.view).upstreams.insert(upstream.clone(), record);
            }
        }
    }

    /// Shows an upstream as its row describes it again.
    pub(crate) fn reload_upstream(&mut self, upstream: &UpstreamId, now: Instant) {
        let rows = self.tables.get(&SharedTable::Upstreams).into_iter().flat_map(TableMirror::rows);
        let row = rows.into_iter().find(|(key, ..)| *key == upstream);
        let Some((key, version, value)) = row else { return };
        if let Ok(record) = decode_upstream(key, value, now)
            && !self.is_older_row(&record, value, version_era(version))
        {
            Arc::make_mut(&mut self.view).upstreams.insert(upstream.clone(), Arc::new(record));
        }
    }

    /// Groups whose rows were lost with an era of the store although members report them.
    pub(crate) fn lost_groups(&self) -> Vec<Arc<GroupRecord>> {
        let groups = self.lost_groups.iter().filter_map(|group| self.view.groups.get(group));
        groups.filter(|group| is_reported(&self.view, group)).cloned().collect()
    }

    /// Groups that came back with an era of the store although they had been torn down: no member
    /// reports them, and one reports a later group. With the versions of their rows.
    pub(crate) fn superseded_groups(&self) -> Vec<(GroupId, u64)> {
        let has_later_group = |group: &GroupRecord| {
            group.members.iter().any(|(upstream, _)| {
                let membership =
                    self.view.upstreams.get(upstream).and_then(|one| one.membership.as_ref());
                membership.is_some_and(|membership| {
                    membership.generation > group.generation
                        && self.view.groups.contains_key(&membership.group)
                })
            })
        };
        let groups = self.view.groups.values();
        let superseded =
            groups.filter(|group| !is_reported(&self.view, group) && has_later_group(group));
        let table = self.tables.get(&SharedTable::Groups);
        superseded
            .filter_map(|group| Some((group.group.clone(), table?.row_version(&group.group)?)))
            .collect()
    }

    /// Changes with the configuration for a node whose copy is as new as this one. Empty unless the
    /// store has an older configuration, which that node may have read.
    pub(crate) fn lost_config(&self, table: SharedTable) -> Option<TableChanges> {
        let value = self.config_row.clone().filter(|_| self.is_config_lost)?;
        let version = self.version(table).filter(|_| table == SharedTable::Operators)?;
        let row = RowChange { key: Arc::from(CONFIG_KEY), version, value: Some(value) };
        Some(TableChanges { since: Some(version), version, rows: vec![row], gaps: Vec::new() })
    }

    /// Removes what is still missing at the end of its grace period: upstreams, evacuations, and
    /// lost groups that no member reports any more.
    pub(crate) fn remove_missing(&mut self, now: Instant) {
        self.remove_missing_evacuations(now);
        self.remove_lost_groups();
        if !self.missing.values().any(|until| *until <= now) {
            return;
        }
        let view = Arc::make_mut(&mut self.view);
        self.missing.retain(|upstream, until| {
            let is_over = *until <= now;
            if is_over {
                log::info!(
                    "event=upstream_gone upstream={upstream} reason=\"row missing after the grace period\""
                );
                view.upstreams.remove(upstream);
                self.sequences.remove(upstream);
            }
            !is_over
        });
    }

    fn remove_missing_evacuations(&mut self, now: Instant) {
        if !self.missing_evacuations.values().any(|until| *until <= now) {
            return;
        }
        let view = Arc::make_mut(&mut self.view);
        self.missing_evacuations.retain(|data_centre, until| {
            let is_over = *until <= now;
            if is_over {
                log::info!(
                    "event=data_centre data_centre={data_centre} out=false reason=\"row lost with the store's older copy\""
                );
                view.evacuated.remove(data_centre);
            }
            !is_over
        });
    }

    fn remove_lost_groups(&mut self) {
        let view = &self.view;
        let is_over =
            |group: &GroupId| view.groups.get(group).is_none_or(|group| !is_reported(view, group));
        let over: Vec<_> =
            self.lost_groups.iter().filter(|group| is_over(group)).cloned().collect();
        for group in over {
            log::info!("event=group_gone group={group} reason=\"row lost, reported by no member\"");
            self.lost_groups.remove(&group);
            Arc::make_mut(&mut self.view).groups.remove(&group);
        }
    }

    /// Replaces an older configuration in changes of the operators' table by the one in force, so
    /// that this node's copy passes that one on. A newer one comes into force even if this node's
    /// copy is as new as the changes: another node may know it although the store has lost it. Only
    /// after a restore of the store, as nothing is lost before.
    fn keep_newest_config(
        &mut self,
        table: SharedTable,
        mut changes: TableChanges,
    ) -> TableChanges {
        let era = version_era(changes.version);
        let own_era = self.version(table).map_or(0, version_era);
        if table != SharedTable::Operators || era == 0 || era < own_era {
            return changes;
        }
        let is_snapshot = changes.since.is_none();
        // Such changes are those of `lost_config`, which the store does not have.
        let is_lost = changes.since == Some(changes.version);
        let row = changes.rows.iter_mut().find(|row| &*row.key == CONFIG_KEY);
        match (row, self.config_row.clone(), &self.config) {
            (Some(RowChange { value: Some(value), .. }), Some(known), Some(config)) => {
                let revision = match *value == known {
                    true => Some(config.revision),
                    false => decode_config(value).ok().map(|config| config.revision),
                };
                if revision.is_none_or(|revision| revision < config.revision) {
                    *value = known;
                    self.is_config_lost = true;
                } else if revision > Some(config.revision) {
                    let value = value.clone();
                    self.apply_config(&value);
                    self.is_config_lost = is_lost;
                } else if !is_lost {
                    self.is_config_lost = false;
                }
            }
            (None, Some(known), _) if is_snapshot => {
                let (key, version) = (Arc::from(CONFIG_KEY), changes.version);
                changes.rows.push(RowChange { key, version, value: Some(known) });
                self.is_config_lost = true;
            }
            _ => {}
        }
        changes
    }

    fn apply_rows(
        &mut self,
        table: SharedTable,
        changes: &[RowChange],
        is_restored: bool,
        now: Instant,
    ) {
        if changes.is_empty() {
            return;
        }
        match table {
            SharedTable::Operators => self.apply_operator_rows(changes, is_restored, now),
            SharedTable::Upstreams => self.apply_upstream_rows(changes, now),
            SharedTable::Groups => self.apply_group_rows(changes, is_restored),
            // Read from the copies of the tables when they are needed.
            SharedTable::Nodes | SharedTable::Suspects => {}
        }
    }

    fn apply_operator_rows(&mut self, changes: &[RowChange], is_restored: bool, now: Instant) {
        for row in changes {
            match (&row.value, evacuated_zone(&row.key)) {
                (None, Some(data_centre)) if is_restored => {
                    self.missing_evacuations.insert(data_centre, now + EXPIRY_GRACE);
                }
                (value, Some(data_centre)) => {
                    let view = Arc::make_mut(&mut self.view);
                    let is_evacuated = value.is_some();
                    self.missing_evacuations.remove(&data_centre);
                    // `out` means that operators have taken the data centre out of service.
                    log::info!(
                        "event=data_centre data_centre={data_centre} out={is_evacuated} version={}",
                        row.version
                    );
                    match is_evacuated {
                        true => view.evacuated.insert(data_centre),
                        false => view.evacuated.remove(&data_centre),
                    };
                }
                (Some(value), None) if &*row.key == CONFIG_KEY => {
                    self.apply_config(value);
                }
                _ => {}
            }
        }
    }

    fn apply_config(&mut self, value: &Bytes) {
        match decode_config(value) {
            Ok(config) => {
                let known = self.config.as_ref().map_or(0, |config| config.revision);
                if config.revision >= known {
                    log::info!("event=config revision={} previous={known}", config.revision);
                    self.config = Some(Arc::new(config));
                    self.config_row = Some(value.clone());
                }
            }
            Err(error) => log::error!("event=config_unreadable reason=\"{error}\""),
        }
    }

    fn apply_upstream_rows(&mut self, changes: &[RowChange], now: Instant) {
        let grace = self.grace_until.filter(|until| now < *until);
        let view = Arc::make_mut(&mut self.view);
        for row in changes {
            let record = row.value.as_ref().map(|value| decode_upstream(&row.key, value, now));
            match (record, grace) {
                (Some(Ok(record)), _) => {
                    self.missing.remove(&row.key);
                    let value = row.value.as_deref().unwrap_or_default();
                    if is_older_row(&self.sequences, &record, value, version_era(row.version)) {
                        log::info!("event=upstream_row_older upstream={}", row.key);
                        continue;
                    }
                    if let Some(sequence) = upstream_sequence(value) {
                        let sequence = (record.start_time_ms, sequence);
                        self.sequences.insert(row.key.clone(), sequence);
                    }
                    view.upstreams.insert(row.key.clone(), Arc::new(record));
                }
                (Some(Err(reason)), _) => {
                    log::warn!(
                        "event=upstream_unreadable upstream={} reason=\"{reason}\"",
                        row.key
                    );
                    view.upstreams.remove(&row.key);
                }
                (None, Some(until)) => {
                    self.missing.insert(row.key.clone(), until);
                }
                (None, None) => {
                    self.sequences.remove(&row.key);
                    if view.upstreams.remove(&row.key).is_some() {
                        log::info!(
                            "event=upstream_gone upstream={} version={}",
                            row.key,
                            row.version
                        );
                    }
                }
            }
        }
    }

    fn apply_group_rows(&mut self, changes: &[RowChange], is_restored: bool) {
        let view = Arc::make_mut(&mut self.view);
        for row in changes {
            let group = row.value.as_ref().map(|value| decode_group(&row.key, value));
            match group {
                Some(Ok(group)) => {
                    self.lost_groups.remove(&row.key);
                    view.groups.insert(row.key.clone(), Arc::new(group));
                }
                Some(Err(error)) => {
                    log::warn!("event=group_unreadable group={} reason=\"{error}\"", row.key);
                }
                None if is_restored => {
                    self.lost_groups.insert(row.key.clone());
                }
                None => {
                    self.lost_groups.remove(&row.key);
                    view.groups.remove(&row.key);
                }
            }
        }
    }

    fn is_older_row(&self, record: &UpstreamRecord, value: &[u8], era: StoreEra) -> bool {
        is_older_row(&self.sequences, record, value, era)
    }
}

/// Whether a member reports a group and its generation.
fn is_reported(view: &FleetView, group: &GroupRecord) -> bool {
    let mut records = group.members.iter().filter_map(|(id, _)| view.upstreams.get(id));
    records.any(|record| record.state_in(&group.group, group.generation).is_some())
}

/// Whether the process of an upstream has written a row after this one. Only after a restore of the
/// store, which brings older rows back. The start time tells the process from others; 0 is unknown.
fn is_older_row(
    sequences: &BTreeMap<UpstreamId, (u64, u64)>,
    record: &UpstreamRecord,
    value: &[u8],
    era: StoreEra,
) -> bool {
    let Some((start_time_ms, known)) = sequences.get(&record.upstream) else { return false };
    era > 0
        && record.start_time_ms != 0
        && record.start_time_ms == *start_time_ms
        && upstream_sequence(value).is_some_and(|sequence| sequence < *known)
}
