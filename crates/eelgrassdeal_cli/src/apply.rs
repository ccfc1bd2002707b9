//! The `apply` command: appends the operators' changes to the configuration log and pushes them to
//! the nodes.

use std::fmt::Write as _;
use std::time::Duration;

use eelgrassdeal_control::{EntryDiff, FleetConfig, check_fleet, diff_fleet};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_store::AppendOutcome;
use eelgrassdeal_types::{ErrorKind, Revision};

use crate::history::ConfigHistory;
use crate::node_admin::NodeAdminClient;
use crate::options::ApplyOptions;
use crate::{CommandReport, CommandResult, ExitStatus, load_files, read_token};

/// Maximum number of attempts to append the change. An attempt fails if another writer appends the
/// same revision first. The planner and other operators are assumed to write a few revisions per
/// minute in a fleet of 410 nodes.
const MAX_APPEND_ATTEMPTS: u32 = 10;

pub(crate) async fn apply(options: &ApplyOptions) -> CommandResult<CommandReport> {
    let files = load_files(&options.register, &options.rules)?;
    let admin_token = read_token(&options.admin_token_file)?;
    if admin_token.is_none() && (options.wait.is_some() || !options.node.is_empty()) {
        let text = "--wait and --node require --admin-token-file\n";
        return Err(CommandReport::new(ExitStatus::UsageError, text));
    }
    let mut history = ConfigHistory::connect(&options.table_url, &options.token_file).await?;
    let base = options.base.unwrap_or(history.head().revision());
    let Some(base_fleet) = history.config_at(base) else {
        let text = format!("--base {base}: the newest revision is {}\n", history.head().revision());
        return Err(CommandReport::new(ExitStatus::UsageError, text));
    };
    let diffs = diff_fleet(&base_fleet, files.fleet());
    let author = author_name(options);
    for _ in 0..MAX_APPEND_ATTEMPTS {
        let remaining = select_remaining_diffs(&history, base, &diffs)?;
        let head = history.head().revision();
        if remaining.is_empty() {
            let text = format!("no difference to revision {head}\n");
            return Ok(CommandReport::new(ExitStatus::Success, text));
        }
        let change = EntryDiff::change_from_diffs(&remaining, head, &author);
        check_declared_entries(history.head(), &change)?;
        if options.dry_run {
            let text =
                format!("would become revision {}\n{}", change.revision, format_diffs(&remaining));
            return Ok(CommandReport::new(ExitStatus::Success, text));
        }
        match history.log().append(&change).await {
            AppendOutcome::Accepted => {
                let text = format!(
                    "accepted as revision {}\n{}",
                    change.revision,
                    format_diffs(&remaining)
                );
                history.refresh().await.ok();
                return push_to_nodes(options, admin_token, &history, &change, text).await;
            }
            AppendOutcome::Conflict(_) => history.refresh().await?,
            AppendOutcome::Unknown => return Err(unknown_outcome_report(&change)),
        }
    }
    let text = "config_conflict: other writers appended a revision before each attempt; \
                nothing was changed\n";
    Err(CommandReport::new(ExitStatus::Failed, text))
}

fn author_name(options: &ApplyOptions) -> String {
    match options.author.as_str() {
        "" => std::env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
        author => author.to_owned(),
    }
}

/// Selects the differences that the newest revision does not contain yet. `diffs` are the
/// differences between the revision `base` and the operators' files.
///
/// An entry that another change wrote or removed after `base` is a conflict, unless the newest
/// revision agrees with the files about it. On any conflict the command fails and changes nothing.
fn select_remaining_diffs(
    history: &ConfigHistory,
    base: Revision,
    diffs: &[EntryDiff],
) -> CommandResult<Vec<EntryDiff>> {
    let changed_entries = history.entries_changed_after(base);
    let mut remaining = Vec::new();
    let mut conflicts = String::new();
    for diff in diffs {
        let Some((kind, id)) = diff.key() else { continue };
        let new_entry = match diff {
            EntryDiff::Added(entry) | EntryDiff::Changed(_, entry) => Some(entry),
            EntryDiff::Removed(_) => None,
        };
        if history.head().entry(kind, id) == new_entry {
            continue;
        }
        match changed_entries.get(&(kind, id.to_owned())) {
            None => remaining.push(diff.clone()),
            Some(other_change) => {
                let _ = writeln!(
                    conflicts,
                    "{} {id}: also changed by {:?} in revision {}",
                    kind.name(),
                    other_change.author,
                    other_change.revision
                );
            }
        }
    }
    match conflicts.is_empty() {
        true => Ok(remaining),
        false => {
            let kind = ErrorKind::ConfigConflict;
            let text = format!("{kind}: nothing was changed\n{conflicts}");
            Err(CommandReport::new(ExitStatus::Failed, text))
        }
    }
}

/// Validates the configuration that results from applying `change` to the newest revision. Only
/// problems of entries that operators write are errors. Problems of groups are ignored, because the
/// planner repairs a group whose VM was removed or moved.
fn check_declared_entries(head: &FleetConfig, change: &ConfigChange) -> CommandResult<()> {
    let mut next = head.clone();
    next.apply(change);
    let mut text = String::new();
    for problem in check_fleet(&next).iter().filter(|problem| problem.kind.is_declared()) {
        let _ = writeln!(text, "{problem}");
    }
    match text.is_empty() {
        true => Ok(()),
        false => {
            let kind = ErrorKind::ConfigInvalid;
            let text = format!("{kind}: nothing was changed\n{text}");
            Err(CommandReport::new(ExitStatus::Failed, text))
        }
    }
}

fn unknown_outcome_report(change: &ConfigChange) -> CommandReport {
    let text = format!(
        "{}: the table service did not respond; revision {} may be accepted later.\n\
         Run `diff` when the service responds again, and `apply` if it lists differences.\n",
        ErrorKind::OutcomeUnknown,
        change.revision
    );
    CommandReport::new(ExitStatus::OutcomeUnknown, text)
}

/// Pushes an accepted change to the nodes and, with `--wait`, waits until it is active on all of
/// them. Without an admin token nothing is pushed. `text` is the start of the command's output.
async fn push_to_nodes(
    options: &ApplyOptions,
    admin_token: Option<String>,
    history: &ConfigHistory,
    change: &ConfigChange,
    mut text: String,
) -> CommandResult<CommandReport> {
    let Some(token) = admin_token else {
        text.push_str(
            "not pushed: --admin-token-file is not given; the nodes read the change \
             from the log within 5 s\n",
        );
        return Ok(CommandReport::new(ExitStatus::Success, text));
    };
    let addresses = match options.node.is_empty() {
        false => options.node.clone(),
        // All entry nodes that are not marked absent.
        true => history.head().member_nodes().map(|vm| vm.address.clone()).collect(),
    };
    let nodes = NodeAdminClient::new(addresses, token);
    let failures = nodes.push_change(change).await;
    for (node, reason) in &failures {
        let _ = writeln!(text, "node {node}: push failed: {reason}");
    }
    let Some(wait_s) = options.wait else {
        return Ok(CommandReport::new(ExitStatus::Success, text));
    };
    let lagging = nodes.wait_until_active(change, Duration::from_secs(wait_s)).await;
    for (node, reason) in &lagging {
        let _ = writeln!(text, "node {node}: not active: {reason}");
    }
    let status = match lagging.is_empty() {
        true => {
            let _ = writeln!(text, "active on {} nodes", nodes.count());
            ExitStatus::Success
        }
        false => ExitStatus::NotActive,
    };
    Ok(CommandReport::new(status, text))
}

fn format_diffs(diffs: &[EntryDiff]) -> String {
    diffs.iter().map(|diff| format!("{diff}\n")).collect()
}
