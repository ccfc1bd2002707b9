//! Copies of the store's tables, and the fleet of upstreams and the configuration decoded from
//! them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    FleetView, NoticeTracker, RowChange, ServiceConfig, SharedTable, TableChanges, TableMirror,
    UpstreamRecord, UpstreamState,
};
use eelgrassdeal_platform::{
    CONFIG_KEY, decode_config, decode_group, decode_upstream, evacuated_zone,
};
use eelgrassdeal_types::UpstreamId;

/// Grace period after an outage of the store. Rows of upstreams may expire during the outage, and
/// running upstreams write them again within about two seconds. Until then a missing row does not
/// mean that its upstream is gone.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// Copies of all tables, and the state decoded from them.
#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    tables: BTreeMap<SharedTable, TableMirror>,
    config: Option<Arc<ServiceConfig>>,
    view: Arc<FleetView>,
    /// Upstreams whose rows disappeared during a grace period, and when they are removed from the
    /// fleet unless they are registered again.
    missing: BTreeMap<UpstreamId, Instant>,
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
        let mirror = self.tables.entry(table).or_default();
        let changes = mirror.apply(changes);
        let version = mirror.version().unwrap_or_default();
        self.apply_rows(table, &changes, now);
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
        if let Some(Ok(record)) = row.map(|(key, _, value)| decode_upstream(key, value, now)) {
            Arc::make_mut(&mut self.view).upstreams.insert(upstream.clone(), Arc::new(record));
        }
    }

    /// Removes the upstreams whose rows are still missing at the end of their grace period.
    pub(crate) fn remove_missing(&mut self, now: Instant) {
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
            }
            !is_over
        });
    }

    fn apply_rows(&mut self, table: SharedTable, changes: &[RowChange], now: Instant) {
        if changes.is_empty() {
            return;
        }
        match table {
            SharedTable::Operators => self.apply_operator_rows(changes),
            SharedTable::Upstreams => self.apply_upstream_rows(changes, now),
            SharedTable::Groups => self.apply_group_rows(changes),
            // Read from the copies of the tables when they are needed.
            SharedTable::Nodes | SharedTable::Suspects => {}
        }
    }

    fn apply_operator_rows(&mut self, changes: &[RowChange]) {
        for row in changes {
            match (&row.value, evacuated_zone(&row.key)) {
                (value, Some(data_centre)) => {
                    let view = Arc::make_mut(&mut self.view);
                    let is_evacuated = value.is_some();
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

    fn apply_config(&mut self, value: &[u8]) {
        match decode_config(value) {
            Ok(config) => {
                let known = self.config.as_ref().map_or(0, |config| config.revision);
                if config.revision >= known {
                    log::info!("event=config revision={} previous={known}", config.revision);
                    self.config = Some(Arc::new(config));
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

    fn apply_group_rows(&mut self, changes: &[RowChange]) {
        let view = Arc::make_mut(&mut self.view);
        for row in changes {
            let group = row.value.as_ref().map(|value| decode_group(&row.key, value));
            match group {
                Some(Ok(group)) => {
                    view.groups.insert(row.key.clone(), Arc::new(group));
                }
                Some(Err(error)) => {
                    log::warn!("event=group_unreadable group={} reason=\"{error}\"", row.key);
                }
                None => {
                    view.groups.remove(&row.key);
                }
            }
        }
    }
}
