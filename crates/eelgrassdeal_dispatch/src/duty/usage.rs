//! Counts of requests for the usage reports, and their relay between nodes.
//!
//! Addresses messages that are lost, repeated or reordered, and nodes that are killed: an entry is
//! written by one process only and never decreases, so that copies are merged by their maximum.

use std::collections::{BTreeMap, HashMap};

use eelgrassdeal_types::{ClientAccountId, NodeId};

/// A window further in the future than this is no window that a node counts in.
const MAX_WINDOWS_AHEAD: u64 = 60;

/// A process that counts requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageSource {
    /// Node of the process.
    pub node: NodeId,
    /// Random id of the process.
    pub start: u64,
}

/// Counts of one process in one window, by client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Requests of each client account.
    pub counts: Vec<(ClientAccountId, u64)>,
}

/// Counts of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceCounts {
    /// The process that counted.
    pub source: UsageSource,
    /// Its counts.
    pub windows: Vec<WindowCounts>,
}

/// Part of a message to another node: the entries that changed since the last message that the other
/// node acknowledged, and an acknowledgement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageDelta {
    /// Id of the sending process.
    pub start: u64,
    /// Sequence number of the message.
    pub sequence: u64,
    /// Sequence number after which the entries changed.
    pub since: u64,
    /// Id of the process whose message is acknowledged; 0 for none.
    pub acked_start: u64,
    /// Sequence number of the message that is acknowledged.
    pub acked_sequence: u64,
    /// Entries.
    pub sources: Vec<SourceCounts>,
}

/// Which entries a message contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageScope {
    /// None: the recipient does not report.
    Nothing,
    /// Those of the sender and of the leaves that exchange messages with it.
    OwnAndLeaves,
    /// All: the recipient reports, and has no other source.
    Everything,
}

#[derive(Clone, Copy, Debug, Default)]
struct UsageEntry {
    count: u64,
    /// Sequence number of the first message that contains the count.
    sequence: u64,
}

/// Entries of one process in one window.
#[derive(Clone, Debug, Default)]
struct SourceEntries {
    entries: HashMap<ClientAccountId, UsageEntry>,
    /// Highest sequence number of an entry. Entries of sources that did not change are not visited.
    latest: u64,
    /// Whether a leaf sent them.
    is_of_leaf: bool,
}

impl SourceEntries {
    fn changes(&self, window: u64, since: u64) -> Option<WindowCounts> {
        if self.latest <= since {
            return None;
        }
        let changed = self.entries.iter().filter(|(_, entry)| entry.sequence > since);
        let counts = changed.map(|(account, entry)| (account.clone(), entry.count)).collect();
        Some(WindowCounts { window, counts })
    }
}

#[derive(Clone, Debug, Default)]
struct WindowEntries {
    own: SourceEntries,
    others: HashMap<UsageSource, SourceEntries>,
}

/// Progress of the exchange with another node.
#[derive(Clone, Copy, Debug, Default)]
struct PeerProgress {
    /// Highest sequence number of this process that the node has acknowledged.
    acked: u64,
    /// Scope of the last message to the node.
    scope: Option<UsageScope>,
    /// First message with that scope. Earlier ones lacked entries, so that their acknowledgement does
    /// not count.
    scope_since: u64,
    /// Process of the node that sent the last message.
    applied_start: u64,
    /// All entries of that process up to this sequence number are merged.
    applied: u64,
}

/// Counts of the requests of each client account, of all processes that this one knows of.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    own: UsageSource,
    /// Sequence number of the last message.
    sequence: u64,
    windows: BTreeMap<u64, WindowEntries>,
    /// Windows before this one are over.
    first_window: u64,
    peers: HashMap<NodeId, PeerProgress>,
}

impl UsageLedger {
    /// Creates the ledger of a process.
    pub fn new(own: UsageSource) -> Self {
        Self { own, sequence: 0, windows: BTreeMap::new(), first_window: 0, peers: HashMap::new() }
    }

    /// Counts a request in a window.
    pub fn count(&mut self, window: u64, account: &ClientAccountId) {
        let sequence = self.sequence + 1;
        let own = &mut self.windows.entry(window).or_default().own;
        own.latest = sequence;
        match own.entries.get_mut(account) {
            Some(entry) => {
                entry.count += 1;
                entry.sequence = sequence;
            }
            None => {
                own.entries.insert(account.clone(), UsageEntry { count: 1, sequence });
            }
        }
    }

    /// Builds the part of a message to `recipient`, or to a node that is not known yet.
    pub fn delta_for(&mut self, recipient: Option<&NodeId>, scope: UsageScope) -> UsageDelta {
        self.sequence += 1;
        let mut progress = PeerProgress::default();
        if let Some(node) = recipient {
            let known = self.peers.entry(node.clone()).or_default();
            if known.scope != Some(scope) {
                (known.scope, known.scope_since) = (Some(scope), self.sequence);
            }
            progress = *known;
        }
        let since = if progress.acked < progress.scope_since { 0 } else { progress.acked };
        UsageDelta {
            start: self.own.start,
            sequence: self.sequence,
            since,
            acked_start: progress.applied_start,
            acked_sequence: progress.applied,
            sources: self.changes(scope, since, 0),
        }
    }

    /// All entries from window `from` on, for the checkpoint.
    pub fn entries_from(&self, from: u64) -> Vec<SourceCounts> {
        self.changes(UsageScope::Everything, 0, from)
    }

    fn changes(&self, scope: UsageScope, since: u64, from: u64) -> Vec<SourceCounts> {
        let mut changes: BTreeMap<&UsageSource, Vec<WindowCounts>> = BTreeMap::new();
        let windows = match scope {
            UsageScope::Nothing => return Vec::new(),
            UsageScope::OwnAndLeaves | UsageScope::Everything => self.windows.range(from..),
        };
        for (window, entries) in windows {
            let others = entries
                .others
                .iter()
                .filter(|(_, others)| others.is_of_leaf || scope == UsageScope::Everything);
            for (source, entries) in others.chain([(&self.own, &entries.own)]) {
                if let Some(counts) = entries.changes(*window, since) {
                    changes.entry(source).or_default().push(counts);
                }
            }
        }
        changes
            .into_iter()
            .map(|(source, windows)| SourceCounts { source: source.clone(), windows })
            .collect()
    }

    /// Applies the part of a message of another node. `current` is the current window.
    pub fn apply(&mut self, sender: &NodeId, is_leaf: bool, delta: UsageDelta, current: u64) {
        let progress = self.peers.entry(sender.clone()).or_default();
        if progress.applied_start != delta.start {
            // A new process of the node lacks what the earlier one had.
            *progress =
                PeerProgress { applied_start: delta.start, applied: 0, acked: 0, ..*progress };
        }
        if delta.since <= progress.applied {
            progress.applied = progress.applied.max(delta.sequence);
        }
        let is_of_own_start = delta.acked_start == self.own.start;
        progress.acked = if is_of_own_start { delta.acked_sequence.min(self.sequence) } else { 0 };
        self.merge(delta.sources, is_leaf, current);
    }

    /// Merges entries of other processes. `are_of_leaf` is whether this node passes them on.
    pub fn merge(&mut self, sources: Vec<SourceCounts>, are_of_leaf: bool, current: u64) {
        let sequence = self.sequence + 1;
        for SourceCounts { source, windows } in sources {
            if source == self.own {
                continue;
            }
            for WindowCounts { window, counts } in windows {
                if window < self.first_window || window > current + MAX_WINDOWS_AHEAD {
                    continue;
                }
                let others = &mut self.windows.entry(window).or_default().others;
                let entries = others.entry(source.clone()).or_default();
                if are_of_leaf && !entries.is_of_leaf {
                    // Nothing of the source was passed on before.
                    entries.is_of_leaf = true;
                    entries.latest = sequence;
                    entries.entries.values_mut().for_each(|entry| entry.sequence = sequence);
                }
                for (account, count) in counts {
                    let entry = entries.entries.entry(account).or_default();
                    if count > entry.count {
                        *entry = UsageEntry { count, sequence };
                        entries.latest = sequence;
                    }
                }
            }
        }
    }

    /// Requests of each client account in a window, as far as this process knows.
    pub fn totals(&self, window: u64) -> BTreeMap<ClientAccountId, u64> {
        let mut totals: BTreeMap<ClientAccountId, u64> = BTreeMap::new();
        let entries = self.windows.get(&window);
        let sources =
            entries.into_iter().flat_map(|entries| entries.others.values().chain([&entries.own]));
        for (account, entry) in sources.flat_map(|source| &source.entries) {
            let total = totals.entry(account.clone()).or_default();
            *total = total.saturating_add(entry.count);
        }
        totals
    }

    /// The first window in which any request was counted, as far as this process knows.
    pub fn first_counted_window(&self) -> Option<u64> {
        let mut windows = self.windows.iter();
        let is_counted = |entries: &WindowEntries| {
            entries.others.values().chain([&entries.own]).any(|source| !source.entries.is_empty())
        };
        windows.find(|(_, entries)| is_counted(entries)).map(|(window, _)| *window)
    }

    /// A number that rises with every change of an entry from window `from` on.
    pub fn latest_change(&self, from: u64) -> u64 {
        let sources = self
            .windows
            .range(from..)
            .flat_map(|(_, entries)| entries.others.values().chain([&entries.own]));
        sources.map(|source| source.latest).max().unwrap_or_default()
    }

    /// Forgets the windows before `first_window`, which may be lower than the last one: true time goes
    /// back when a wrong clock has left the fleet.
    pub fn remove_before(&mut self, first_window: u64) {
        self.first_window = first_window;
        if self.windows.keys().next().is_some_and(|first| *first < first_window) {
            self.windows = self.windows.split_off(&first_window);
        }
    }
}
