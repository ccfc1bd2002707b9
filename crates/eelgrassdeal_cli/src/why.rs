//! `why`: explains from the accepted configuration why something does not serve.

use std::collections::BTreeMap;

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::config::{GroupRecord, Model, ServeRule};

use crate::history::FleetHistory;
use crate::options::WhyOptions;
use crate::{CommandReport, CommandResult, ExitStatus};

pub(crate) async fn why(options: &WhyOptions) -> CommandResult<CommandReport> {
    let history = FleetHistory::connect(&options.table_url, &options.token_file).await?;
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
            (false, _) => format!("upstream {id}: may serve as far as the configuration says"),
        });
    }
    if lines.is_empty() {
        let text = format!("no model, group, VM or upstream {id:?} is in the configuration\n");
        return Err(CommandReport::new(ExitStatus::Refused, text));
    }
    Ok(CommandReport::new(ExitStatus::Done, lines.join("\n") + "\n"))
}

fn explain_model(fleet: &FleetConfig, model: &Model) -> Vec<String> {
    let mut lines = Vec::new();
    let rules: Vec<&ServeRule> =
        fleet.serve_rules().filter(|rule| rule.model == model.id).collect();
    if rules.is_empty() {
        lines.push(format!("model {}: no serve rule names it", model.id));
    }
    for rule in rules {
        let groups: Vec<_> = fleet.groups().filter(|group| group.rule == rule.id).collect();
        lines.push(format!(
            "rule {}: wants {} replicas, {} groups are recorded",
            rule.id,
            rule.replicas,
            groups.len()
        ));
        if groups.len() < rule.replicas as usize {
            lines.push(explain_shortage(fleet, rule, model));
        }
        lines.extend(groups.into_iter().flat_map(|group| explain_group(fleet, group)));
    }
    lines
}

fn explain_shortage(fleet: &FleetConfig, rule: &ServeRule, model: &Model) -> String {
    let mut spares: BTreeMap<&str, u32> = BTreeMap::new();
    for vm in fleet.vms().filter(|vm| vm.role == "worker") {
        let is_allowed =
            rule.data_centres.is_empty() || rule.data_centres.contains(&vm.data_centre);
        let is_grouped = fleet.groups().any(|group| group.members.contains(&vm.id));
        let is_free = fleet.vm_loss(&vm.id).is_none() && !is_grouped;
        if is_allowed && is_free && fleet.is_vm_in_service(&vm.id) {
            *spares.entry(&vm.fabric_domain).or_default() += 1;
        }
    }
    let size = model.vms_per_replica;
    match spares.iter().max_by_key(|(_, count)| **count) {
        Some((domain, count)) if *count >= size => {
            format!("rule {}: domain {domain} has room; the planner forms a group there", rule.id)
        }
        Some((domain, count)) => format!(
            "rule {}: a replica needs {size} spare VMs of one fabric domain; the most are {count} \
             in {domain}",
            rule.id
        ),
        None => format!("rule {}: no VM is spare", rule.id),
    }
}

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
        let place = fleet.vm(member).map(|vm| (&vm.data_centre, &vm.fabric_domain));
        let is_lost = fleet.vm_loss(member).is_some();
        if is_lost || fleet.vm(member).is_none_or(|vm| vm.state == "leaving") {
            lines.push(format!("group {id}: {}", explain_vm(fleet, member)));
        } else if place != Some((&group.data_centre, &group.fabric_domain)) {
            lines.push(format!("group {id}: VM {member} was moved out of the fabric domain"));
        }
    }
    match fleet.model(&group.model) {
        Some(model) if model.version != group.version => lines.push(format!(
            "group {id}: has version {}, version {} is rolled one group at a time",
            group.version, model.version
        )),
        _ => {}
    }
    if lines.is_empty() {
        lines.push(format!(
            "group {id}: may serve as far as the configuration says; if it does not, its members \
             are loading (see the metrics of a node)"
        ));
    }
    lines
}

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
            Some(_) => format!("VM {id}: its heartbeat lapsed, so it is marked absent"),
            None => format!("VM {id}: is a member of the entry nodes"),
        },
        _ => match group {
            Some(group) => format!("VM {id}: is a member of group {}", group.id),
            None => format!("VM {id}: is spare"),
        },
    }
}
