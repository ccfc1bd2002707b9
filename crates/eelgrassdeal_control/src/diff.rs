//! Differences between two configurations.

use std::fmt;

use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, EntryKey};
use eelgrassdeal_types::{new_writer_mark, unix_ms_now};

use crate::fleet::{EntryKind, FleetConfig, entry_key};

/// An entry that differs between two configurations.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryDiff {
    /// The entry exists only in the second configuration.
    Added(ConfigEntry),
    /// The entry exists in both configurations with different content: old entry, new entry.
    Changed(Box<ConfigEntry>, ConfigEntry),
    /// The entry exists only in the first configuration.
    Removed(ConfigEntry),
}

impl fmt::Display for EntryDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sign, entry) = match self {
            Self::Added(entry) => ('+', entry),
            Self::Changed(_, entry) => ('~', entry),
            Self::Removed(entry) => ('-', entry),
        };
        let (kind, id) = entry_key(entry).map_or(("entry", ""), |(kind, id)| (kind.name(), id));
        write!(formatter, "{sign} {kind} {id}")
    }
}

/// Lists the entries in which `wanted` differs from `current`. Entries of kinds that nodes write,
/// such as groups, are not listed as removed, since the operators' files do not contain them.
pub fn diff_fleet(current: &FleetConfig, wanted: &FleetConfig) -> Vec<EntryDiff> {
    let mut diffs = Vec::new();
    for entry in wanted.entries() {
        let Some((kind, id)) = entry_key(entry) else { continue };
        match current.entry(kind, id) {
            None => diffs.push(EntryDiff::Added(entry.clone())),
            Some(old) if old != entry => {
                diffs.push(EntryDiff::Changed(Box::new(old.clone()), entry.clone()));
            }
            Some(_) => {}
        }
    }
    for entry in current.entries() {
        match entry_key(entry) {
            Some((kind, id)) if kind.is_declared() && wanted.entry(kind, id).is_none() => {
                diffs.push(EntryDiff::Removed(entry.clone()));
            }
            _ => {}
        }
    }
    diffs
}

impl EntryDiff {
    /// Kind and id of the entry; `None` for an entry without a body.
    pub fn key(&self) -> Option<(EntryKind, &str)> {
        match self {
            Self::Added(entry) | Self::Changed(_, entry) | Self::Removed(entry) => entry_key(entry),
        }
    }

    /// Builds the change that applies `diffs` to the configuration at revision `base`. The change
    /// has the revision `base + 1` and the current time.
    pub fn change_from_diffs(diffs: &[Self], base: u64, author: &str) -> ConfigChange {
        let mut change = ConfigChange {
            revision: base + 1,
            writer_mark: new_writer_mark(),
            author: author.to_owned(),
            accepted_unix_ms: unix_ms_now(),
            ..ConfigChange::default()
        };
        for diff in diffs {
            match diff {
                Self::Added(entry) | Self::Changed(_, entry) => change.upsert.push(entry.clone()),
                Self::Removed(entry) => {
                    if let Some((kind, id)) = entry_key(entry) {
                        let kind = kind.name().to_owned();
                        change.remove.push(EntryKey { kind, id: id.to_owned() });
                    }
                }
            }
        }
        change
    }
}
