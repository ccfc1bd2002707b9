//! The `why` command: explains from the newest accepted revision why a model, group, VM or upstream
//! does not serve.

use std::collections::BTreeMap;

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::config::{GroupRecord, Model, ServeRule};

use crate::history::ConfigHistory;
use crate::options::WhyOptions;
use crate::{CommandReport, CommandResult, ExitStatus};

pub(crate) async fn why(options: &WhyOptions) -> CommandResult<CommandReport> {
    let history = ConfigHistory::connect(&options.table_url, &options.token_file).await?;
    let fleet = history.head();
    let id = options.id.as_str();
    let mut lines = Vec::new();
    if let Some(model) = fleet.model(id) {
        lines.extend(explain_model(fleet, model));
    }
    if let Some(group) = fleet.group(id) {
        lines.extend(explain_group(fleet, group));
    }
    if fleet.vm(id).is_some() || fleet.vm_loss(id).is_some() {
        lines.push(explain_vm(fleet, id));
    }
    if let Some(upstream) = fleet.upstream(id) {
        lines.push(match (fleet.is_centre_out(&upstream.data_centre), upstream.state.as_str()) {
            (true, _) => format!("upstream {id}: data centre {} is out", upstream.data_centre),
            (false, "leaving") => format!("upstream {id}: is leaving"),
            (false, _) => format!("upstream {id}: the configuration allows it to serve"),
        });
    }
    if lines.is_empty() {
        let text = format!("no model, group, VM or upstream {id:?} is in the configuration\n");
        return Err(CommandReport::new(ExitStatus::Failed, text));
    }
    Ok(CommandReport::new(ExitStatus::Success, lines.join("\n") + "\n"))
}

/// Explains every serve rule of the model: its missing groups and each of its groups.
fn explain_model(fleet: &FleetConfig, model: &Model) -> Vec<String> {
    let mut lines = Vec::new();
    let rules: Vec<&ServeRule> =
        fleet.serve_rules().filter(|rule| rule.model == model.id).collect();
    if rules.is_empty() {
        lines.push(format!("model {}: no serve rule refers to it", model.id));
    }
    for rule in rules {
        let groups: Vec<_> = fleet.groups().filter(|group| group.rule == rule.id).collect();
        lines.push(format!(
            "rule {}: requires {} groups (one per replica), the configuration contains {}",
            rule.id,
            rule.replicas,
            groups.len()
        ));
        if groups.len() < rule.replicas as usize {
            lines.push(explain_missing_groups(fleet, rule, model));
        }
        lines.extend(groups.into_iter().flat_map(|group| explain_group(fleet, group)));
    }
    lines
}

/// Explains why the rule has fewer groups than replicas: counts the spare VMs in each fabric domain
/// and compares the largest count with the number of VMs that a replica needs.
fn explain_missing_groups(fleet: &FleetConfig, rule: &ServeRule, model: &Model) -> String {
    let mut spare_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for vm in fleet.vms().filter(|vm| vm.role == "worker") {
        let is_allowed =
            rule.data_centres.is_empty() || rule.data_centres.contains(&vm.data_centre);
        let is_grouped = fleet.groups().any(|group| group.members.contains(&vm.id));
        let is_free = fleet.vm_loss(&vm.id).is_none() && !is_grouped;
        if is_allowed && is_free && fleet.is_vm_in_service(&vm.id) {
            *spare_counts.entry(&vm.fabric_domain).or_default() += 1;
        }
    }
    let size = model.vms_per_replica;
    match spare_counts.iter().max_by_key(|(_, count)| **count) {
        Some((domain, count)) if *count >= size => {
            format!(
                "rule {}: domain {domain} has enough spare VMs; the planner forms a group there",
                rule.id
            )
        }
        Some((domain, count)) => format!(
            "rule {}: a replica needs {size} spare VMs of one fabric domain; the largest \
             number is {count} in {domain}",
            rule.id
        ),
        None => format!("rule {}: no VM is spare", rule.id),
    }
}

/// Lists everything in the configuration that keeps the group from serving, or one line that says
/// that there is nothing.
fn explain_group(fleet: &FleetConfig, group: &GroupRecord) -> Vec<String> {
    let id = &group.id;
    let mut lines = Vec::new();
    if fleet.is_centre_out(&group.data_centre) {
        lines.push(format!("group {id}: data centre {} is out", group.data_centre));
    }
    if group.state == "draining" {
        lines.push(format!("group {id}: takes no new work until it is repaired or removed"));
    }
    for member in &group.members {
        let location = fleet.vm(member).map(|vm| (&vm.data_centre, &vm.fabric_domain));
        let is_lost = fleet.vm_loss(member).is_some();
        if is_lost || fleet.vm(member).is_none_or(|vm| vm.state == "leaving") {
            lines.push(format!("group {id}: {}", explain_vm(fleet, member)));
        } else if location != Some((&group.data_centre, &group.fabric_domain)) {
            lines.push(format!("group {id}: VM {member} was moved out of the fabric domain"));
        }
    }
    match fleet.model(&group.model) {
        Some(model) if model.version != group.version => lines.push(format!(
            "group {id}: has version {}, version {} is rolled out one group at a time",
            group.version, model.version
        )),
        _ => {}
    }
    if lines.is_empty() {
        lines.push(format!(
            "group {id}: the configuration allows it to serve; if it does not, its members are \
             loading (see the metrics of a node)"
        ));
    }
    lines
}

/// One line with the first reason that applies to the VM, or with what the VM is used for.
fn explain_vm(fleet: &FleetConfig, id: &str) -> String {
    let Some(vm) = fleet.vm(id) else { return format!("VM {id}: is not in the register") };
    let group = fleet.groups().find(|group| group.members.iter().any(|member| member == id));
    match (fleet.vm_loss(id), vm.role.as_str()) {
        (Some(loss), _) => {
            format!("VM {id}: has not answered since {} (Unix ms)", loss.since_unix_ms)
        }
        _ if vm.state == "leaving" => format!("VM {id}: is leaving"),
        _ if fleet.is_centre_out(&vm.data_centre) => {
            format!("VM {id}: data centre {} is out", vm.data_centre)
        }
        (None, "entry") => match fleet.absent_node(id) {
            Some(_) => format!("VM {id}: its heartbeat expired, so it is marked absent"),
            None => format!("VM {id}: is an entry node and not marked absent"),
        },
        _ => match group {
            Some(group) => format!("VM {id}: is a member of group {}", group.id),
            None => format!("VM {id}: is spare"),
        },
    }
}
