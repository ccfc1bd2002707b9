//! Copies of the store's tables that nodes keep and pass on to each other.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Removals that are remembered for other nodes. One that has missed more copies the whole table.
const MAX_REMOVALS: usize = 1_000;
/// Gaps that are remembered. A table is read whole every few seconds, which makes one.
const MAX_GAPS: usize = 16;

/// A table that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SharedTable {
    /// What operators declare.
    Operators,
    /// What upstreams say of themselves.
    Upstreams,
    /// Groups of the planner.
    Groups,
    /// Nodes of the gateway.
    Nodes,
}

impl SharedTable {
    /// All tables.
    pub const ALL: [Self; 4] = [Self::Operators, Self::Upstreams, Self::Groups, Self::Nodes];
}

/// A row as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key.
    pub key: Arc<str>,
    /// Version of the store at which the row was written or removed.
    pub version: u64,
    /// Value; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// What changed in a table, or the whole of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableChanges {
    /// Version of the store after which the rows changed; `None` for a whole table.
    pub since: Option<u64>,
    /// Version of the store up to which the changes are complete.
    pub version: u64,
    /// Rows.
    pub rows: Vec<RowChange>,
    /// Versions between which rows may have been written and removed again that are left out.
    pub gaps: Vec<VersionGap>,
}

/// Versions before and after a time in which a table was not followed. A row that was written and
/// removed in between is not known, but may be to a copy that is complete up to a version in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionGap {
    /// Version before.
    pub before: u64,
    /// Version after.
    pub after: u64,
}

/// Whether a copy that is complete up to `version` may know rows that `gaps` leave out.
fn has_gap<'a>(gaps: impl IntoIterator<Item = &'a VersionGap>, version: u64) -> bool {
    gaps.into_iter().any(|gap| gap.before < version && version < gap.after)
}

/// A copy of a table.
#[derive(Clone, Debug, Default)]
pub struct TableMirror {
    /// Version of the store up to which the copy is complete; `None` until the table was read once.
    version: Option<u64>,
    rows: BTreeMap<Arc<str>, (u64, Bytes)>,
    /// Removed rows, with the versions of their removals in rising order.
    removed: VecDeque<(u64, Arc<str>)>,
    /// Removals up to this version are forgotten.
    forgotten: u64,
    gaps: VecDeque<VersionGap>,
    /// The copy shows everything that the store had accepted at this time.
    fresh_at: Option<Instant>,
}

impl TableMirror {
    /// Version of the store up to which the copy is complete.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Version of a row.
    pub fn row_version(&self, key: &str) -> Option<u64> {
        self.rows.get(key).map(|(version, _)| *version)
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = (&Arc<str>, u64, &Bytes)> {
        self.rows.iter().map(|(key, (version, value))| (key, *version, value))
    }

    /// Time since the copy was known to be current; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_duration_since(at))
    }

    /// Notes that the copy showed everything that the store had accepted at `at`.
    pub fn note_fresh(&mut self, at: Instant) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Takes over changes. Returns the rows that differ from those known before.
    ///
    /// Changes that the copy already shows are skipped, so that sources may be mixed and their
    /// answers may overtake each other. Changes after a version that the copy has not reached are
    /// skipped as well: it would miss what lies between.
    pub fn take(&mut self, changes: TableChanges) -> Vec<RowChange> {
        let is_covered = |known: u64, since: u64| since <= known && !has_gap(&changes.gaps, known);
        match (changes.since, self.version) {
            (None, Some(known)) if known > changes.version => Vec::new(),
            (None, _) => self.replace(changes),
            (Some(since), Some(known)) if is_covered(known, since) => self.apply(changes, known),
            (Some(_), _) => Vec::new(),
        }
    }

    /// What a copy that is complete up to `since` lacks; `None` if it lacks nothing.
    pub fn changes_since(&self, since: Option<u64>) -> Option<TableChanges> {
        let version = self.version?;
        let is_covered = |since: &u64| *since >= self.forgotten && !has_gap(&self.gaps, *since);
        let since = since.filter(is_covered);
        if since.is_some_and(|since| since >= version) {
            return None;
        }
        let is_new = |version: u64| since.is_none_or(|since| version > since);
        let written = self.rows.iter().filter(|(_, (version, _))| is_new(*version));
        let written = written.map(|(key, (version, value))| RowChange {
            key: key.clone(),
            version: *version,
            value: Some(value.clone()),
        });
        let removed = self.removed.iter().filter(|(version, key)| {
            since.is_some() && is_new(*version) && !self.rows.contains_key(key)
        });
        let removed = removed.map(|(version, key)| RowChange {
            key: key.clone(),
            version: *version,
            value: None,
        });
        let gaps = self.gaps.iter().filter(|gap| since.is_some_and(|since| gap.after > since));
        let (rows, gaps) = (written.chain(removed).collect(), gaps.copied().collect());
        Some(TableChanges { since, version, rows, gaps })
    }

    fn replace(&mut self, all: TableChanges) -> Vec<RowChange> {
        let mut rows = BTreeMap::new();
        for row in all.rows {
            if let Some(value) = row.value {
                rows.insert(row.key, (row.version, value));
            }
        }
        // When a missing row was removed is not known, only that it was by now.
        let removed: Vec<_> = self
            .rows
            .keys()
            .filter(|key| !rows.contains_key(*key))
            .map(|key| RowChange { key: key.clone(), version: all.version, value: None })
            .collect();
        for row in &removed {
            self.note_removal(row.version, &row.key);
        }
        let changed = rows
            .iter()
            .filter(|(key, row)| self.rows.get(*key).map(|known| known.0) != Some(row.0))
            .map(|(key, row)| RowChange {
                key: key.clone(),
                version: row.0,
                value: Some(row.1.clone()),
            });
        let differences = removed.into_iter().chain(changed).collect();
        match self.version {
            Some(known) => self.note_gap(VersionGap { before: known, after: all.version }),
            None => self.forgotten = all.version,
        }
        self.rows = rows;
        self.version = Some(all.version);
        differences
    }

    fn apply(&mut self, changes: TableChanges, known: u64) -> Vec<RowChange> {
        let mut newer: Vec<_> =
            changes.rows.into_iter().filter(|row| row.version > known).collect();
        newer.sort_by_key(|row| row.version);
        for row in &newer {
            match &row.value {
                Some(value) => {
                    self.rows.insert(row.key.clone(), (row.version, value.clone()));
                }
                None => {
                    self.rows.remove(&row.key);
                    self.note_removal(row.version, &row.key);
                }
            }
        }
        for gap in changes.gaps {
            self.note_gap(gap);
        }
        self.version = Some(known.max(changes.version));
        newer
    }

    fn note_gap(&mut self, gap: VersionGap) {
        let is_known = self.gaps.contains(&gap) || gap.after <= self.forgotten;
        if !is_known && gap.after > gap.before + 1 {
            self.gaps.push_back(gap);
        }
        while self.gaps.len() > MAX_GAPS {
            if let Some(oldest) = self.gaps.pop_front() {
                self.forgotten = self.forgotten.max(oldest.after);
            }
        }
    }

    fn note_removal(&mut self, version: u64, key: &Arc<str>) {
        self.removed.push_back((version, key.clone()));
        while self.removed.len() > MAX_REMOVALS {
            if let Some((version, _)) = self.removed.pop_front() {
                self.forgotten = self.forgotten.max(version);
            }
        }
    }
}
