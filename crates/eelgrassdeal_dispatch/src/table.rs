//! Copies of the store's tables, which nodes keep and replicate among each other.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_types::version_era;

/// Maximum number of removed rows that are kept for other nodes. A node that has missed more gets a
/// snapshot of the table.
const MAX_REMOVALS: usize = 1_000;
/// Maximum number of entries in `TableMirror::gaps`. The reader, which follows the store on behalf
/// of all nodes, reads a snapshot every few seconds, and each adds at most one entry.
const MAX_GAPS: usize = 16;

/// A table of the store that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SharedTable {
    /// What operators write: the configuration and the data centres taken out of service.
    Operators,
    /// Records by which upstreams register themselves.
    Upstreams,
    /// Groups that the planner has formed.
    Groups,
    /// Peer addresses of the nodes, through which a starting node finds the others.
    Nodes,
    /// Quarantines of what crashes upstreams, kept for nodes that start.
    Suspects,
}

impl SharedTable {
    /// All tables. The position of a table is its number in messages between nodes.
    pub const ALL: [Self; 5] =
        [Self::Operators, Self::Upstreams, Self::Groups, Self::Nodes, Self::Suspects];
}

/// The last write to a row, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version of the store at which the row was written or removed.
    pub version: u64,
    /// Value of the row; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// Changes of a table since a version, or a snapshot of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableChanges {
    /// Version of the store after which the rows changed; `None` for a snapshot.
    pub since: Option<u64>,
    /// Version of the store up to which the changes are complete.
    pub version: u64,
    /// Changed rows, or all rows of a snapshot.
    pub rows: Vec<RowChange>,
    /// Version ranges for which `rows` may be incomplete: if a row was both written and removed
    /// within one of them, `rows` may not contain its removal.
    pub gaps: Vec<VersionGap>,
}

/// A range of versions that a node skipped by reading a snapshot instead of every change. The node
/// does not know of a row that was both written and removed within the range. A copy on another
/// node whose version lies within the range may hold such a row. Changes that this node sends would
/// never remove it, so they must not be applied to that copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionGap {
    /// Last version known before the gap.
    pub before: u64,
    /// First version known after the gap.
    pub after: u64,
}

/// Whether `version` lies within one of `gaps`.
fn has_gap<'a>(gaps: impl IntoIterator<Item = &'a VersionGap>, version: u64) -> bool {
    gaps.into_iter().any(|gap| gap.before < version && version < gap.after)
}

/// A node's copy of a table of the store.
#[derive(Clone, Debug, Default)]
pub struct TableMirror {
    /// Version of the store up to which the copy is complete; `None` until a snapshot was applied.
    version: Option<u64>,
    /// Version and value of each row by key.
    rows: BTreeMap<Arc<str>, (u64, Bytes)>,
    /// Removed rows with the versions of their removals, in ascending order.
    removed: VecDeque<(u64, Arc<str>)>,
    /// Version up to which removals may be missing from `removed`. Changes since an earlier version
    /// are not available.
    compacted_version: u64,
    /// Gaps between the versions that this copy was built from.
    gaps: VecDeque<VersionGap>,
    /// Latest time at which the copy included everything that the store had accepted.
    fresh_at: Option<Instant>,
}

impl TableMirror {
    /// Version of the store up to which the copy is complete; `None` if there is no copy yet.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Version at which a row was last written; `None` if there is no such row.
    pub fn row_version(&self, key: &str) -> Option<u64> {
        self.rows.get(key).map(|(version, _)| *version)
    }

    /// Key, version and value of all rows.
    pub fn rows(&self) -> impl Iterator<Item = (&Arc<str>, u64, &Bytes)> {
        self.rows.iter().map(|(key, (version, value))| (key, *version, value))
    }

    /// Time since the copy was known to be current; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_duration_since(at))
    }

    /// Records that the copy included everything that the store had accepted at `at`.
    pub fn record_fresh(&mut self, at: Instant) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Applies changes or a snapshot. Returns the rows that differ from those in the copy before.
    ///
    /// A snapshot of a newer era of the store replaces the copy, and nothing of an older era is
    /// applied. Changes that the copy already includes are skipped, so that they may come from several
    /// sources and arrive out of order. Changes since a version that the copy has not reached are
    /// skipped as well, because the changes in between would be missing.
    pub fn apply(&mut self, changes: TableChanges) -> Vec<RowChange> {
        let is_covered = |own_version: u64, since: u64| {
            let era = version_era(own_version);
            since <= own_version
                && [since, changes.version].into_iter().all(|one| version_era(one) == era)
                && !has_gap(&changes.gaps, own_version)
        };
        match (changes.since, self.version) {
            (None, Some(own_version)) if own_version > changes.version => Vec::new(),
            (None, _) => self.apply_snapshot(changes),
            (Some(since), Some(own_version)) if is_covered(own_version, since) => {
                self.apply_delta(changes, own_version)
            }
            (Some(_), _) => Vec::new(),
        }
    }

    /// Whether all changes since a version are known.
    fn covers(&self, since: u64) -> bool {
        since >= self.compacted_version && !has_gap(&self.gaps, since)
    }

    /// Bytes of the snapshot that [`Self::changes_since`] returns for a copy of the version `since`;
    /// `None` if it returns changes or nothing.
    pub fn snapshot_bytes_since(&self, since: Option<u64>) -> Option<usize> {
        let needs_snapshot = since.is_none_or(|since| !self.covers(since));
        let row_bytes = |(key, (_, value)): (&Arc<str>, &(u64, Bytes))| key.len() + value.len();
        let is_known = self.version.is_some();
        (is_known && needs_snapshot).then(|| self.rows.iter().map(row_bytes).sum())
    }

    /// Changes for another copy that is complete up to `since`, or a snapshot if `since` is `None`
    /// or the changes since that version are not available. Returns `None` if the other copy is up
    /// to date, or if there is no copy yet.
    pub fn changes_since(&self, since: Option<u64>) -> Option<TableChanges> {
        let version = self.version?;
        let since = since.filter(|since| self.covers(*since));
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

    fn apply_snapshot(&mut self, snapshot: TableChanges) -> Vec<RowChange> {
        let mut rows = BTreeMap::new();
        for row in snapshot.rows {
            if let Some(value) = row.value {
                rows.insert(row.key, (row.version, value));
            }
        }
        // At which version a missing row was removed is unknown; the snapshot's version is an upper
        // bound.
        let removed: Vec<_> = self
            .rows
            .keys()
            .filter(|key| !rows.contains_key(*key))
            .map(|key| RowChange { key: key.clone(), version: snapshot.version, value: None })
            .collect();
        for row in &removed {
            self.record_removal(row.version, &row.key);
        }
        let changed = rows
            .iter()
            .filter(|(key, row)| self.rows.get(*key).map(|old_row| old_row.0) != Some(row.0))
            .map(|(key, row)| RowChange {
                key: key.clone(),
                version: row.0,
                value: Some(row.1.clone()),
            });
        let differences = removed.into_iter().chain(changed).collect();
        match self.version {
            Some(own_version) if version_era(own_version) < version_era(snapshot.version) => {
                // Copies of the older era may hold rows that were lost, which no change removes.
                self.removed.clear();
                self.gaps.clear();
                self.compacted_version = snapshot.version;
            }
            Some(own_version) => {
                self.record_gap(VersionGap { before: own_version, after: snapshot.version })
            }
            None => self.compacted_version = snapshot.version,
        }
        self.rows = rows;
        self.version = Some(snapshot.version);
        differences
    }

    fn apply_delta(&mut self, changes: TableChanges, own_version: u64) -> Vec<RowChange> {
        let mut newer: Vec<_> =
            changes.rows.into_iter().filter(|row| row.version > own_version).collect();
        newer.sort_by_key(|row| row.version);
        for row in &newer {
            match &row.value {
                Some(value) => {
                    self.rows.insert(row.key.clone(), (row.version, value.clone()));
                }
                None => {
                    self.rows.remove(&row.key);
                    self.record_removal(row.version, &row.key);
                }
            }
        }
        for gap in changes.gaps {
            self.record_gap(gap);
        }
        self.version = Some(own_version.max(changes.version));
        newer
    }

    fn record_gap(&mut self, gap: VersionGap) {
        let is_known = self.gaps.contains(&gap) || gap.after <= self.compacted_version;
        if !is_known && gap.after > gap.before.saturating_add(1) {
            self.gaps.push_back(gap);
        }
        while self.gaps.len() > MAX_GAPS {
            if let Some(oldest) = self.gaps.pop_front() {
                self.compacted_version = self.compacted_version.max(oldest.after);
            }
        }
    }

    fn record_removal(&mut self, version: u64, key: &Arc<str>) {
        self.removed.push_back((version, key.clone()));
        while self.removed.len() > MAX_REMOVALS {
            if let Some((version, _)) = self.removed.pop_front() {
                self.compacted_version = self.compacted_version.max(version);
            }
        }
    }
}
