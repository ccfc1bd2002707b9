//! Copies of the store's tables, and the fleet and configuration that they show.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    FleetView, RowChange, ServiceConfig, SharedTable, TableChanges, TableMirror,
};
use eelgrassdeal_platform::{
    CONFIG_KEY, decode_config, decode_group, decode_upstream, evacuated_zone,
};
use eelgrassdeal_types::UpstreamId;

/// After an outage of the store the rows of upstreams that lapsed meanwhile are written again
/// within about two seconds. Until then a missing row does not mean that its upstream is gone.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// All tables, and what they show.
#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    tables: BTreeMap<SharedTable, TableMirror>,
    config: Option<Arc<ServiceConfig>>,
    view: Arc<FleetView>,
    /// Upstreams whose rows are missing since an outage, and when they count as gone.
    lapsed: BTreeMap<UpstreamId, Instant>,
    /// End of the grace after the last outage, or after the first read: the store may have been
    /// away until then.
    grace_until: Option<Instant>,
}

impl StoreMirror {
    /// The newest configuration, if any was read.
    pub(crate) fn config(&self) -> Option<Arc<ServiceConfig>> {
        self.config.clone()
    }

    /// The fleet.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.view.clone()
    }

    /// A table.
    pub(crate) fn table(&self, table: SharedTable) -> Option<&TableMirror> {
        self.tables.get(&table)
    }

    /// Version up to which a table is known.
    pub(crate) fn version(&self, table: SharedTable) -> Option<u64> {
        self.tables.get(&table).and_then(TableMirror::version)
    }

    /// Whether the tables that serving needs were read.
    pub(crate) fn is_loaded(&self) -> bool {
        let needed = [SharedTable::Operators, SharedTable::Upstreams, SharedTable::Groups];
        self.config.is_some() && needed.iter().all(|table| self.version(*table).is_some())
    }

    /// Whether a missing row means that its upstream is gone.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.grace_until.is_none_or(|until| until <= now)
    }

    /// Time since a table was known to be current; `None` if it never was.
    pub(crate) fn age(&self, table: SharedTable, now: Instant) -> Option<Duration> {
        self.tables.get(&table)?.age(now)
    }

    /// Notes that a table showed everything that the store had accepted at `at`. If that was not
    /// known for longer than `outage`, the store was away, or this node from all others.
    pub(crate) fn note_fresh(
        &mut self,
        table: SharedTable,
        at: Instant,
        outage: Duration,
        now: Instant,
    ) {
        let mirror = self.tables.entry(table).or_default();
        let was_away = mirror.age(at).is_none_or(|age| age > outage);
        mirror.note_fresh(at);
        if table == SharedTable::Upstreams && was_away {
            self.grace_until = Some(now + LAPSE_GRACE);
        }
    }

    /// Takes over changes of a table; false if they show nothing new.
    pub(crate) fn take(&mut self, table: SharedTable, changes: TableChanges, now: Instant) -> bool {
        let changes = self.tables.entry(table).or_default().take(changes);
        self.show(table, &changes, now);
        !changes.is_empty()
    }

    /// Removes the upstreams whose grace is over.
    pub(crate) fn end_grace(&mut self, now: Instant) {
        if !self.lapsed.values().any(|until| *until <= now) {
            return;
        }
        let view = Arc::make_mut(&mut self.view);
        self.lapsed.retain(|upstream, until| {
            let is_over = *until <= now;
            if is_over {
                log::info!(
                    "event=upstream_gone upstream={upstream} reason=\"not back after outage\""
                );
                view.upstreams.remove(upstream);
            }
            !is_over
        });
    }

    fn show(&mut self, table: SharedTable, changes: &[RowChange], now: Instant) {
        if changes.is_empty() {
            return;
        }
        match table {
            SharedTable::Operators => self.show_operators(changes),
            SharedTable::Upstreams => self.show_upstreams(changes, now),
            SharedTable::Groups => self.show_groups(changes),
            SharedTable::Nodes => {}
        }
    }

    fn show_operators(&mut self, changes: &[RowChange]) {
        for row in changes {
            match (&row.value, evacuated_zone(&row.key)) {
                (value, Some(zone)) => {
                    let view = Arc::make_mut(&mut self.view);
                    let is_out = value.is_some();
                    log::info!(
                        "event=data_centre data_centre={zone} out={is_out} version={}",
                        row.version
                    );
                    match is_out {
                        true => view.evacuated.insert(zone),
                        false => view.evacuated.remove(&zone),
                    };
                }
                (Some(value), None) if &*row.key == CONFIG_KEY => {
                    self.show_config(value);
                }
                _ => {}
            }
        }
    }

    fn show_config(&mut self, value: &[u8]) {
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

    fn show_upstreams(&mut self, changes: &[RowChange], now: Instant) {
        let grace = self.grace_until.filter(|until| now < *until);
        let view = Arc::make_mut(&mut self.view);
        for row in changes {
            let record = row.value.as_ref().map(|value| decode_upstream(&row.key, value, now));
            match (record, grace) {
                (Some(Ok(record)), _) => {
                    self.lapsed.remove(&row.key);
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
                    self.lapsed.insert(row.key.clone(), until);
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

    fn show_groups(&mut self, changes: &[RowChange]) {
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
