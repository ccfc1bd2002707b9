//! The configuration of the fleet at one revision, with access to its entries by kind.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{
    AbsentNode, ClientAccount, ConfigChange, ConfigEntry, ConfigSnapshot, DataCentre, EntryKey,
    GroupRecord, Model, RequestBan, ServeRule, Service, SnapshotEntry, Upstream, Vm, VmLoss,
};
use eelgrassdeal_types::Revision;

/// Kind of a configuration entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKind {
    /// A data centre, which operators can take out of service.
    DataCentre,
    /// A VM: an entry node, which accepts requests of clients, or a worker, which runs an engine.
    Vm,
    /// A model with its size and the limits of a replica.
    Model,
    /// A plain service: a service that is not an engine and has its own upstreams.
    Service,
    /// An upstream of a plain service.
    Upstream,
    /// A client account with its key digest and permissions.
    ClientAccount,
    /// A serve rule: the number of replicas of a model to run, and where.
    Serve,
    /// Marks an entry node whose heartbeat has expired.
    AbsentNode,
    /// Refuses a request that has crashed upstreams.
    RequestBan,
    /// A group of VMs that together run one replica of a model.
    Group,
    /// Marks a worker that the owner of its group, the node that probes its members, cannot reach.
    VmLoss,
}

impl EntryKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [Self; 11] = [
        Self::DataCentre,
        Self::Vm,
        Self::Model,
        Self::Service,
        Self::Upstream,
        Self::ClientAccount,
        Self::Serve,
        Self::AbsentNode,
        Self::RequestBan,
        Self::Group,
        Self::VmLoss,
    ];

    /// Name of the kind in the configuration log and in the operators' files.
    pub fn name(self) -> &'static str {
        match self {
            Self::DataCentre => "data_centre",
            Self::Vm => "vm",
            Self::Model => "model",
            Self::Service => "service",
            Self::Upstream => "upstream",
            Self::ClientAccount => "client_account",
            Self::Serve => "serve",
            Self::AbsentNode => "absent_node",
            Self::RequestBan => "request_ban",
            Self::Group => "group",
            Self::VmLoss => "vm_loss",
        }
    }

    /// Whether entries of this kind are written by operators; the others are written by nodes.
    pub fn is_declared(self) -> bool {
        !matches!(self, Self::AbsentNode | Self::RequestBan | Self::Group | Self::VmLoss)
    }

    /// The kind whose [`name`](Self::name) is `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Kind and id of an entry; `None` for an entry without a body.
pub fn entry_key(entry: &ConfigEntry) -> Option<(EntryKind, &str)> {
    let (kind, id) = match entry.body.as_ref()? {
        Body::DataCentre(centre) => (EntryKind::DataCentre, &centre.id),
        Body::Vm(vm) => (EntryKind::Vm, &vm.id),
        Body::Model(model) => (EntryKind::Model, &model.id),
        Body::Service(service) => (EntryKind::Service, &service.id),
        Body::Upstream(upstream) => (EntryKind::Upstream, &upstream.id),
        Body::ClientAccount(account) => (EntryKind::ClientAccount, &account.id),
        Body::Serve(rule) => (EntryKind::Serve, &rule.id),
        Body::AbsentNode(node) => (EntryKind::AbsentNode, &node.id),
        Body::RequestBan(ban) => (EntryKind::RequestBan, &ban.id),
        Body::Group(group) => (EntryKind::Group, &group.id),
        Body::VmLoss(loss) => (EntryKind::VmLoss, &loss.id),
    };
    Some((kind, id))
}

/// All configuration entries at one revision.
///
/// ```
/// use eelgrassdeal_control::FleetConfig;
/// use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, DataCentre, config_entry::Body};
///
/// let centre = DataCentre { id: "yul1".to_owned(), state: "out".to_owned(), ..Default::default() };
/// let entry = ConfigEntry { body: Some(Body::DataCentre(centre)) };
/// let mut fleet = FleetConfig::new();
/// assert!(fleet.apply(&ConfigChange { revision: 1, upsert: vec![entry], ..Default::default() }));
/// assert!(fleet.is_centre_out("yul1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    revision: Revision,
    entries: BTreeMap<(EntryKind, Arc<str>), FleetEntry>,
}

/// An entry with the time of its last change, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq)]
struct FleetEntry {
    entry: ConfigEntry,
    changed_unix_ms: u64,
}

/// Defines the two accessors of a kind: one for a single entry and one for all entries.
macro_rules! entry_accessors {
    ($one:ident, $all:ident, $body:ident, $kind:ident, $type:ty, $what:literal) => {
        #[doc = concat!("The ", $what, " with the given id, if there is one.")]
        pub fn $one(&self, id: &str) -> Option<&$type> {
            match self.entry(EntryKind::$kind, id)?.body.as_ref()? {
                Body::$body(body) => Some(body),
                _ => None,
            }
        }

        #[doc = concat!("Every ", $what, ", ordered by id.")]
        pub fn $all(&self) -> impl Iterator<Item = &$type> {
            self.entries_of(EntryKind::$kind).filter_map(|entry| match entry.body.as_ref() {
                Some(Body::$body(body)) => Some(body),
                _ => None,
            })
        }
    };
}

impl FleetConfig {
    entry_accessors!(data_centre, data_centres, DataCentre, DataCentre, DataCentre, "data centre");
    entry_accessors!(vm, vms, Vm, Vm, Vm, "VM");
    entry_accessors!(model, models, Model, Model, Model, "model");
    entry_accessors!(service, services, Service, Service, Service, "plain service");
    entry_accessors!(upstream, upstreams, Upstream, Upstream, Upstream, "upstream");
    entry_accessors!(
        client_account,
        client_accounts,
        ClientAccount,
        ClientAccount,
        ClientAccount,
        "client account"
    );
    entry_accessors!(serve_rule, serve_rules, Serve, Serve, ServeRule, "serve rule");
    entry_accessors!(absent_node, absent_nodes, AbsentNode, AbsentNode, AbsentNode, "absent node");
    entry_accessors!(request_ban, request_bans, RequestBan, RequestBan, RequestBan, "request ban");
    entry_accessors!(group, groups, Group, Group, GroupRecord, "group");
    entry_accessors!(vm_loss, vm_losses, VmLoss, VmLoss, VmLoss, "loss of a VM");

    /// Creates an empty configuration at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the last change that was applied; 0 if there was none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Creates the configuration that a snapshot contains.
    pub fn from_snapshot(snapshot: ConfigSnapshot) -> Self {
        let mut fleet = Self { revision: snapshot.revision, entries: BTreeMap::new() };
        for SnapshotEntry { entry, changed_unix_ms } in snapshot.entry {
            if let Some(entry) = entry {
                fleet.insert(entry, changed_unix_ms);
            }
        }
        fleet
    }

    /// Creates a snapshot of this configuration.
    pub fn to_snapshot(&self) -> ConfigSnapshot {
        let entry = self
            .entries
            .values()
            .map(|FleetEntry { entry, changed_unix_ms }| SnapshotEntry {
                entry: Some(entry.clone()),
                changed_unix_ms: *changed_unix_ms,
            })
            .collect();
        ConfigSnapshot { revision: self.revision, entry }
    }

    /// Adds or replaces an entry and keeps the revision. An entry without a body is ignored.
    /// `changed_unix_ms` is the time of the change in milliseconds since the Unix epoch.
    pub fn insert(&mut self, entry: ConfigEntry, changed_unix_ms: u64) {
        if let Some((kind, id)) = entry_key(&entry) {
            let key = (kind, Arc::from(id));
            self.entries.insert(key, FleetEntry { entry, changed_unix_ms });
        }
    }

    /// All entries, ordered by kind and id.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.values().map(|entry| &entry.entry)
    }

    /// The entry with the given kind and id, if there is one.
    pub fn entry(&self, kind: EntryKind, id: &str) -> Option<&ConfigEntry> {
        self.entries.get(&(kind, Arc::from(id))).map(|entry| &entry.entry)
    }

    /// Time of the entry's last change in milliseconds since the Unix epoch; `None` if there is no
    /// such entry.
    pub fn changed_unix_ms(&self, kind: EntryKind, id: &str) -> Option<u64> {
        self.entries.get(&(kind, Arc::from(id))).map(|entry| entry.changed_unix_ms)
    }

    /// Applies a change whose revision directly follows the current one. Returns false, and changes
    /// nothing, if `change` has any other revision, so that a configuration never goes back and
    /// never skips a change.
    pub fn apply(&mut self, change: &ConfigChange) -> bool {
        if change.revision != self.revision + 1 {
            return false;
        }
        for EntryKey { kind, id } in &change.remove {
            if let Some(kind) = EntryKind::from_name(kind) {
                self.entries.remove(&(kind, Arc::from(id.as_str())));
            }
        }
        for entry in &change.upsert {
            self.insert(entry.clone(), change.accepted_unix_ms);
        }
        self.revision = change.revision;
        true
    }

    /// Whether operators have taken the data centre out of service. False for an unknown data
    /// centre.
    pub fn is_centre_out(&self, id: &str) -> bool {
        self.data_centre(id).is_some_and(|centre| centre.state == "out")
    }

    /// Whether the VM takes new work according to the register: it is registered, not leaving, and
    /// its data centre is not out.
    pub fn is_vm_in_service(&self, id: &str) -> bool {
        self.vm(id).is_some_and(|vm| vm.state != "leaving" && !self.is_centre_out(&vm.data_centre))
    }

    /// The entry nodes that participate in the fleet: those in the register that are not marked
    /// absent.
    pub fn member_nodes(&self) -> impl Iterator<Item = &Vm> {
        self.vms().filter(|vm| vm.role == "entry" && self.absent_node(&vm.id).is_none())
    }

    /// The client account whose key has the SHA-256 digest `key_sha256`, in lower-case hexadecimal.
    pub fn account_by_key(&self, key_sha256: &str) -> Option<&ClientAccount> {
        self.client_accounts().find(|account| account.key_sha256 == key_sha256)
    }

    fn entries_of(&self, kind: EntryKind) -> impl Iterator<Item = &ConfigEntry> {
        self.entries
            .range((kind, Arc::from(""))..)
            .take_while(move |((entry_kind, _), _)| *entry_kind == kind)
            .map(|(_, entry)| &entry.entry)
    }
}
