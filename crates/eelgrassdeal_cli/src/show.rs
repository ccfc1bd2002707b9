//! The `show` command: prints parts of the newest accepted revision.

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::config::{Register, Rules, Vm};

use crate::history::ConfigHistory;
use crate::node_admin::{NodeAdminClient, status_line};
use crate::options::ShowOptions;
use crate::{CommandReport, CommandResult, ExitStatus, read_token};

pub(crate) async fn show(options: &ShowOptions) -> CommandResult<CommandReport> {
    if !["config", "groups", "nodes", "upstreams"].contains(&options.what.as_str()) {
        let text = "show: expected config, groups, nodes or upstreams\n";
        return Err(CommandReport::new(ExitStatus::UsageError, text));
    }
    let history = ConfigHistory::connect(&options.table_url, &options.token_file).await?;
    let fleet = history.head();
    let text = match options.what.as_str() {
        "config" => show_config(fleet)?,
        "groups" => show_groups(fleet),
        "nodes" => show_nodes(fleet, read_token(&options.admin_token_file)?).await,
        _ => show_upstreams(fleet),
    };
    let text = format!("# revision {}\n{text}", fleet.revision());
    Ok(CommandReport::new(ExitStatus::Success, text))
}

/// Prints the configuration in the format of the operators' files.
fn show_config(fleet: &FleetConfig) -> CommandResult<String> {
    let register = Register {
        data_centre: fleet.data_centres().cloned().collect(),
        vm: fleet.vms().cloned().collect(),
        model: fleet.models().cloned().collect(),
        service: fleet.services().cloned().collect(),
        upstream: fleet.upstreams().cloned().collect(),
    };
    let rules = Rules {
        client_account: fleet.client_accounts().cloned().collect(),
        serve: fleet.serve_rules().cloned().collect(),
    };
    let serialization_failure =
        |error| CommandReport::new(ExitStatus::Failed, format!("internal: {error}\n"));
    let register = toml::to_string(&register).map_err(serialization_failure)?;
    let rules = toml::to_string(&rules).map_err(serialization_failure)?;
    Ok(format!("# register.toml\n{register}\n# rules.toml\n{rules}"))
}

fn show_groups(fleet: &FleetConfig) -> String {
    let header = ["group", "generation", "model", "version", "domain", "state", "members"];
    let rows = fleet.groups().map(|group| {
        [
            group.id.clone(),
            group.generation.to_string(),
            group.model.clone(),
            group.version.clone(),
            format!("{}/{}", group.data_centre, group.fabric_domain),
            match fleet.is_centre_out(&group.data_centre) {
                true => "out".to_owned(),
                false => group.state.clone(),
            },
            (group.members.iter())
                .map(|member| match fleet.vm_loss(member) {
                    Some(_) => format!("{member}(lost)"),
                    None => member.clone(),
                })
                .collect::<Vec<_>>()
                .join(" "),
        ]
    });
    format_table(header, rows)
}

/// Prints the entry nodes. The column `state` follows from the configuration. With `admin_token`,
/// the column `answer` is the status that each node reports, or the reason why it could not be
/// read.
async fn show_nodes(fleet: &FleetConfig, admin_token: Option<String>) -> String {
    let nodes: Vec<&Vm> = fleet.vms().filter(|vm| vm.role == "entry").collect();
    let statuses: Vec<String> = match admin_token {
        None => vec!["-".to_owned(); nodes.len()],
        Some(token) => {
            let addresses = nodes.iter().map(|vm| vm.address.clone()).collect();
            let statuses = NodeAdminClient::new(addresses, token).status().await.into_iter();
            statuses
                .map(|(_, status)| status.map_or_else(|error| error, |s| status_line(&s)))
                .collect()
        }
    };
    let rows = nodes.iter().zip(statuses).map(|(vm, status)| {
        let state = match fleet.absent_node(&vm.id) {
            Some(_) => "absent".to_owned(),
            None => effective_state(fleet, &vm.state, &vm.data_centre),
        };
        [vm.id.clone(), vm.address.clone(), vm.data_centre.clone(), state, status]
    });
    format_table(["node", "address", "data centre", "state", "answer"], rows)
}

/// Prints the workers with their groups, followed by the upstreams of plain services (HTTP
/// services that are not models).
fn show_upstreams(fleet: &FleetConfig) -> String {
    let workers = fleet.vms().filter(|vm| vm.role == "worker").map(|vm| {
        let group = fleet.groups().find(|group| group.members.contains(&vm.id));
        let state = match fleet.vm_loss(&vm.id) {
            Some(_) => "lost".to_owned(),
            None => effective_state(fleet, &vm.state, &vm.data_centre),
        };
        let serves = group.map_or("spare".to_owned(), |group| group.id.clone());
        [vm.id.clone(), vm.address.clone(), vm.data_centre.clone(), state, serves]
    });
    let service_upstreams = fleet.upstreams().map(|upstream| {
        let state = effective_state(fleet, &upstream.state, &upstream.data_centre);
        let (id, address) = (upstream.id.clone(), upstream.address.clone());
        [id, address, upstream.data_centre.clone(), state, upstream.service.clone()]
    });
    let header = ["upstream", "address", "data centre", "state", "serves"];
    format_table(header, workers.chain(service_upstreams))
}

/// `state` is the state in the entry of a VM or an upstream. A data centre that is out of service
/// overrides it.
fn effective_state(fleet: &FleetConfig, state: &str, centre: &str) -> String {
    match fleet.is_centre_out(centre) {
        true => "out".to_owned(),
        false => state.to_owned(),
    }
}

/// Formats rows of text as left-aligned columns below `header`, separated by two spaces.
fn format_table<const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> String {
    let rows: Vec<[String; N]> = std::iter::once(header.map(str::to_owned)).chain(rows).collect();
    let widths: Vec<usize> =
        (0..N).map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0)).collect();
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
