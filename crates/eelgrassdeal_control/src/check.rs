//! Validates a configuration before it is accepted.

use std::collections::BTreeMap;
use std::fmt;

use eelgrassdeal_types::FindingKind;

use crate::fleet::{EntryKind, FleetConfig, entry_key};

/// A problem with a configuration entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigProblem {
    /// Kind of the invalid entry.
    pub kind: EntryKind,
    /// Id of the invalid entry.
    pub id: String,
    /// Name of the invalid field; empty if the problem concerns the whole entry.
    pub field: &'static str,
    /// What kind of problem it is.
    pub finding: FindingKind,
    /// Description of the problem, for operators.
    pub message: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {:?}", self.kind.name(), self.id)?;
        match self.field {
            "" => {}
            field => write!(formatter, ", {field}")?,
        }
        write!(formatter, ": {}", self.message)
    }
}

struct ProblemList {
    problems: Vec<ConfigProblem>,
}

impl ProblemList {
    /// Records a problem with the message `text` unless `holds` is true.
    fn check(&mut self, holds: bool, kind: EntryKind, id: &str, field: &'static str, text: &str) {
        self.check_as(FindingKind::InvalidField, holds, kind, id, field, text);
    }

    /// Like [`Self::check`], for a field that names another entry.
    fn check_known(
        &mut self,
        holds: bool,
        kind: EntryKind,
        id: &str,
        field: &'static str,
        text: &str,
    ) {
        self.check_as(FindingKind::UnknownReference, holds, kind, id, field, text);
    }

    fn check_as(
        &mut self,
        finding: FindingKind,
        holds: bool,
        kind: EntryKind,
        id: &str,
        field: &'static str,
        text: &str,
    ) {
        if !holds {
            let (id, message) = (id.to_owned(), text.to_owned());
            self.problems.push(ConfigProblem { kind, id, field, finding, message });
        }
    }

    fn check_one_of(
        &mut self,
        kind: EntryKind,
        id: &str,
        field: &'static str,
        value: &str,
        allowed: &[&str],
    ) {
        let text = format!("{value:?} is not one of {}", allowed.join(", "));
        self.check(allowed.contains(&value), kind, id, field, &text);
    }
}

/// Longest duration that a field in milliseconds may have. A larger value indicates that the
/// operator used a wrong unit.
const MAX_DURATION_FIELD_MS: u32 = 600_000;
/// Longest `rebuild_after_ms` of a serve rule: 24 h.
const MAX_REBUILD_AFTER_MS: u64 = 24 * 60 * 60 * 1000;
/// Greatest number of replicas of a rule. It limits the work that one rule can cause in the
/// planner, and is far above 212, the number of replicas in the large scenarios of
/// `eelgrassdeal_measure`.
const MAX_REPLICAS: u32 = 10_000;
const MAX_ID_BYTES: usize = 128;

/// Validates `fleet` and returns all problems: dangling references, values out of range, and groups
/// that violate an invariant.
pub fn check_fleet(fleet: &FleetConfig) -> Vec<ConfigProblem> {
    let mut list = ProblemList { problems: Vec::new() };
    check_ids(fleet, &mut list);
    check_centres_and_vms(fleet, &mut list);
    check_upstreams(fleet, &mut list);
    check_shared_addresses(fleet, &mut list);
    check_domain_centres(fleet, &mut list);
    check_models_and_rules(fleet, &mut list);
    check_accounts(fleet, &mut list);
    check_groups(fleet, &mut list);
    list.problems
}

fn check_ids(fleet: &FleetConfig, list: &mut ProblemList) {
    for (kind, id) in fleet.entries().filter_map(entry_key) {
        // Ids are used in URLs, headers and log lines.
        let is_allowed_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        let is_valid = (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed_byte);
        let text = "must be 1 to 128 letters, digits or any of - _ . :";
        list.check(is_valid || !kind.is_declared(), kind, id, "id", text);
    }
}

/// Checks that no two VMs share an address, whether for HTTP or for peers.
fn check_shared_addresses(fleet: &FleetConfig, list: &mut ProblemList) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for vm in fleet.vms() {
        for (field, address) in [("address", &vm.address), ("peer_address", &vm.peer_address)] {
            let other = match address.is_empty() {
                true => None,
                // HTTP uses TCP and the peer protocol uses UDP, so a VM may use one port for both.
                false => owners.insert(address, &vm.id).filter(|other| *other != vm.id),
            };
            let text = format!("VM {:?} has the same address", other.unwrap_or_default());
            list.check_as(
                FindingKind::DuplicateEntry,
                other.is_none(),
                EntryKind::Vm,
                &vm.id,
                field,
                &text,
            );
        }
    }
}

/// Checks that no fabric domain extends over several data centres: the members of a group share a
/// fabric domain, and a group must be in one data centre.
fn check_domain_centres(fleet: &FleetConfig, list: &mut ProblemList) {
    let mut centres: BTreeMap<&str, &str> = BTreeMap::new();
    for vm in fleet.vms().filter(|vm| !vm.fabric_domain.is_empty()) {
        let centre = *centres.entry(&vm.fabric_domain).or_insert(&vm.data_centre);
        let text = format!("domain {:?} is also in data centre {centre:?}", vm.fabric_domain);
        let is_same = centre == vm.data_centre;
        list.check(is_same, EntryKind::Vm, &vm.id, "fabric_domain", &text);
    }
}

fn check_centres_and_vms(fleet: &FleetConfig, list: &mut ProblemList) {
    for centre in fleet.data_centres() {
        let kind = EntryKind::DataCentre;
        list.check_one_of(kind, &centre.id, "state", &centre.state, &["in", "out"]);
    }
    for vm in fleet.vms() {
        let kind = EntryKind::Vm;
        let has_centre = fleet.data_centre(&vm.data_centre).is_some();
        list.check_known(has_centre, kind, &vm.id, "data_centre", "no such data centre");
        list.check(is_address(&vm.address), kind, &vm.id, "address", "not IP:PORT");
        list.check_one_of(kind, &vm.id, "role", &vm.role, &["entry", "worker"]);
        list.check_one_of(kind, &vm.id, "state", &vm.state, &["in_service", "leaving"]);
        match vm.role.as_str() {
            "worker" => {
                let has_domain = !vm.fabric_domain.is_empty();
                list.check(has_domain, kind, &vm.id, "fabric_domain", "must be set for a worker");
                let has_accelerators = vm.accelerators > 0;
                list.check(has_accelerators, kind, &vm.id, "accelerators", "must be at least 1");
                list.check_one_of(kind, &vm.id, "fencing", &vm.fencing, &["honoured", "ignored"]);
            }
            _ => {
                let is_valid = is_address(&vm.peer_address);
                list.check(is_valid, kind, &vm.id, "peer_address", "not IP:PORT");
            }
        }
    }
}

fn check_upstreams(fleet: &FleetConfig, list: &mut ProblemList) {
    for upstream in fleet.upstreams() {
        let kind = EntryKind::Upstream;
        let id = &upstream.id;
        let has_service = fleet.service(&upstream.service).is_some();
        list.check_known(has_service, kind, id, "service", "no such service");
        let has_centre = fleet.data_centre(&upstream.data_centre).is_some();
        list.check_known(has_centre, kind, id, "data_centre", "no such data centre");
        list.check(is_address(&upstream.address), kind, id, "address", "not IP:PORT");
        list.check_one_of(kind, id, "state", &upstream.state, &["in_service", "leaving"]);
        check_slots(list, kind, id, upstream.slots, upstream.cold_slots);
    }
}

fn check_models_and_rules(fleet: &FleetConfig, list: &mut ProblemList) {
    for model in fleet.models() {
        let kind = EntryKind::Model;
        let id = &model.id;
        list.check(model.vms_per_replica > 0, kind, id, "vms_per_replica", "must be at least 1");
        list.check(model.kv_tokens > 0, kind, id, "kv_tokens", "must be at least 1");
        check_slots(list, kind, id, model.slots, model.cold_slots);
        list.check(!model.version.is_empty(), kind, id, "version", "must not be empty");
        list.check(model.weights_bytes > 0, kind, id, "weights_bytes", "must be at least 1");
        for (field, value) in [
            ("ramp_step_ms", model.ramp_step_ms),
            ("first_token_target_ms", model.first_token_target_ms),
        ] {
            let text = format!("{value} is not from 1 to {MAX_DURATION_FIELD_MS} milliseconds");
            list.check((1..=MAX_DURATION_FIELD_MS).contains(&value), kind, id, field, &text);
        }
    }
    for rule in fleet.serve_rules() {
        let kind = EntryKind::Serve;
        list.check_known(
            fleet.model(&rule.model).is_some(),
            kind,
            &rule.id,
            "model",
            "no such model",
        );
        let text = format!("more than {MAX_REPLICAS}");
        list.check(rule.replicas <= MAX_REPLICAS, kind, &rule.id, "replicas", &text);
        let text = format!("more than {MAX_REBUILD_AFTER_MS} milliseconds (24 h)");
        let is_valid = rule.rebuild_after_ms <= MAX_REBUILD_AFTER_MS;
        list.check(is_valid, kind, &rule.id, "rebuild_after_ms", &text);
        for centre in &rule.data_centres {
            let text = format!("no data centre {centre:?}");
            let is_known = fleet.data_centre(centre).is_some();
            list.check_known(is_known, kind, &rule.id, "data_centres", &text);
        }
    }
}

fn check_slots(list: &mut ProblemList, kind: EntryKind, id: &str, slots: u32, cold_slots: u32) {
    list.check(slots > 0, kind, id, "slots", "must be at least 1");
    let is_valid = cold_slots > 0 && cold_slots <= slots;
    list.check(is_valid, kind, id, "cold_slots", "must be from 1 to slots");
}

fn check_accounts(fleet: &FleetConfig, list: &mut ProblemList) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for account in fleet.client_accounts() {
        let kind = EntryKind::ClientAccount;
        let id = &account.id;
        let is_digest = account.key_sha256.len() == 64
            && account.key_sha256.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let text = "not a SHA-256 digest in lower-case hexadecimal";
        list.check(is_digest, kind, id, "key_sha256", text);
        list.check(account.weight > 0, kind, id, "weight", "must be at least 1");
        if let Some(other) = owners.insert(&account.key_sha256, id) {
            let text = format!("account {other:?} has the same key");
            list.check_as(FindingKind::DuplicateEntry, false, kind, id, "key_sha256", &text);
        }
        for model in &account.models {
            let text = format!("no model {model:?}");
            list.check_known(fleet.model(model).is_some(), kind, id, "models", &text);
        }
        for service in &account.services {
            let text = format!("no service {service:?}");
            list.check_known(fleet.service(service).is_some(), kind, id, "services", &text);
        }
    }
}

/// Checks that no VM belongs to two groups and that the members of a group share a fabric domain.
fn check_groups(fleet: &FleetConfig, list: &mut ProblemList) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for group in fleet.groups() {
        let kind = EntryKind::Group;
        list.check(!group.members.is_empty(), kind, &group.id, "members", "must not be empty");
        for member in &group.members {
            if let Some(other) = owners.insert(member, &group.id) {
                let text = format!("VM {member:?} already belongs to group {other:?}");
                list.check(false, kind, &group.id, "members", &text);
            }
            let is_in_domain =
                fleet.vm(member).is_none_or(|vm| vm.fabric_domain == group.fabric_domain);
            let text = format!("VM {member:?} is outside the fabric domain");
            list.check(is_in_domain, kind, &group.id, "members", &text);
        }
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok()
}
