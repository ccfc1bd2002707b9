//! `apply`: from the files to an accepted revision.

use std::fmt::Write as _;
use std::time::Duration;

use eelgrassdeal_control::{EntryDiff, FleetConfig, check_fleet, diff_fleet};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_store::AppendOutcome;
use eelgrassdeal_types::{ErrorKind, Revision};

use crate::history::FleetHistory;
use crate::nodes::NodeClients;
use crate::options::ApplyOptions;
use crate::{CommandReport, CommandResult, ExitStatus, load_files, read_token};

/// Appends that may lose to another writer before the command gives up. The planner and other
/// operators write a few revisions a minute at the planned size.
const APPEND_TRIES: u32 = 10;

pub(crate) async fn apply(options: &ApplyOptions) -> CommandResult<CommandReport> {
    let files = load_files(&options.register, &options.rules)?;
    let admin_token = read_token(&options.admin_token_file)?;
    if admin_token.is_none() && (options.wait.is_some() || !options.node.is_empty()) {
        let text = "--wait and --node need --admin-token-file\n";
        return Err(CommandReport::new(ExitStatus::Usage, text));
    }
    let mut history = FleetHistory::connect(&options.table_url, &options.token_file).await?;
    let base = options.base.unwrap_or(history.head().revision());
    let Some(base_fleet) = history.at(base) else {
        let text = format!("--base {base}: the newest revision is {}\n", history.head().revision());
        return Err(CommandReport::new(ExitStatus::Usage, text));
    };
    let diffs = diff_fleet(&base_fleet, files.fleet());
    let author = author_name(options);
    for _ in 0..APPEND_TRIES {
        let left = rebase(&history, base, &diffs)?;
        let head = history.head().revision();
        if left.is_empty() {
            let text = format!("no difference to revision {head}\n");
            return Ok(CommandReport::new(ExitStatus::Done, text));
        }
        let change = EntryDiff::change_from_diffs(&left, head, &author);
        refuse_problems(history.head(), &change)?;
        if options.dry_run {
            let text = format!("would become revision {}\n{}", change.revision, list(&left));
            return Ok(CommandReport::new(ExitStatus::Done, text));
        }
        match history.log().append(&change).await {
            AppendOutcome::Accepted => {
                let text = format!("accepted as revision {}\n{}", change.revision, list(&left));
                history.refresh().await.ok();
                return distribute(options, admin_token, &history, &change, text).await;
            }
            AppendOutcome::Conflict(_) => history.refresh().await?,
            AppendOutcome::Unknown => return Err(unknown_outcome(&change)),
        }
    }
    let text = "config_conflict: other writers were faster each time; nothing was changed\n";
    Err(CommandReport::new(ExitStatus::Refused, text))
}

fn author_name(options: &ApplyOptions) -> String {
    match options.author.as_str() {
        "" => std::env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
        author => author.to_owned(),
    }
}

/// The part of `diffs` that the head still lacks. Entries that another change touched after `base`
/// are a conflict unless the head holds the wanted content already.
fn rebase(
    history: &FleetHistory,
    base: Revision,
    diffs: &[EntryDiff],
) -> CommandResult<Vec<EntryDiff>> {
    let touched = history.touched_after(base);
    let mut left = Vec::new();
    let mut conflicts = String::new();
    for diff in diffs {
        let Some((kind, id)) = diff.key() else { continue };
        let wanted = match diff {
            EntryDiff::Added(entry) | EntryDiff::Changed(_, entry) => Some(entry),
            EntryDiff::Removed(_) => None,
        };
        if history.head().entry(kind, id) == wanted {
            continue;
        }
        match touched.get(&(kind, id.to_owned())) {
            None => left.push(diff.clone()),
            Some(other) => {
                let _ = writeln!(
                    conflicts,
                    "{} {id}: also changed by {:?} in revision {}",
                    kind.name(),
                    other.author,
                    other.revision
                );
            }
        }
    }
    match conflicts.is_empty() {
        true => Ok(left),
        false => {
            let kind = ErrorKind::ConfigConflict;
            let text = format!("{kind}: nothing was changed\n{conflicts}");
            Err(CommandReport::new(ExitStatus::Refused, text))
        }
    }
}

/// Checks the entries of operators on the newest revision. Groups are left to the planner, which
/// repairs a group whose VM was removed or moved.
fn refuse_problems(head: &FleetConfig, change: &ConfigChange) -> CommandResult<()> {
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
            Err(CommandReport::new(ExitStatus::Refused, text))
        }
    }
}

fn unknown_outcome(change: &ConfigChange) -> CommandReport {
    let text = format!(
        "{}: the table service gave no answer; revision {} may be accepted later.\n\
         Run `diff` when the service answers again, and `apply` if a difference is left.\n",
        ErrorKind::OutcomeUnknown,
        change.revision
    );
    CommandReport::new(ExitStatus::OutcomeUnknown, text)
}

/// Pushes the change to the nodes and waits until it is in force.
async fn distribute(
    options: &ApplyOptions,
    admin_token: Option<String>,
    history: &FleetHistory,
    change: &ConfigChange,
    mut text: String,
) -> CommandResult<CommandReport> {
    let Some(token) = admin_token else {
        text.push_str("not pushed, as --admin-token-file is not given; nodes read it within 5 s\n");
        return Ok(CommandReport::new(ExitStatus::Done, text));
    };
    let addresses = match options.node.is_empty() {
        false => options.node.clone(),
        true => history.head().member_nodes().map(|vm| vm.address.clone()).collect(),
    };
    let nodes = NodeClients::new(addresses, token);
    let failed = nodes.push(change).await;
    for (node, reason) in &failed {
        let _ = writeln!(text, "node {node}: push failed: {reason}");
    }
    let Some(wait) = options.wait else {
        return Ok(CommandReport::new(ExitStatus::Done, text));
    };
    let behind = nodes.wait_until_in_force(change, Duration::from_secs(wait)).await;
    for (node, reason) in &behind {
        let _ = writeln!(text, "node {node}: not in force: {reason}");
    }
    let status = match behind.is_empty() {
        true => {
            let _ = writeln!(text, "in force on {} nodes", nodes.count());
            ExitStatus::Done
        }
        false => ExitStatus::NotInForce,
    };
    Ok(CommandReport::new(status, text))
}

fn list(diffs: &[EntryDiff]) -> String {
    diffs.iter().map(|diff| format!("{diff}\n")).collect()
}
