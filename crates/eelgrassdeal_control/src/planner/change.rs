//! Builds the change of the configuration that carries out a plan.

use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_types::new_writer_mark;

use super::ConfigPlan;
use crate::check::{ConfigProblem, check_fleet};
use crate::fleet::FleetConfig;

/// Builds the change that applies `plan` to `fleet`, as the revision after that of `fleet`. Every
/// group that the plan writes gets this revision as its fencing number. `now_unix_ms` is in
/// milliseconds since the Unix epoch.
///
/// # Errors
///
/// Returns the problems that the plan would add to the configuration. Problems that `fleet` already
/// has are not errors, so that the planner can still repair other groups.
pub fn change_from_plan(
    fleet: &FleetConfig,
    plan: &ConfigPlan,
    author: &str,
    now_unix_ms: u64,
) -> Result<ConfigChange, Vec<ConfigProblem>> {
    let revision = fleet.revision() + 1;
    let mut upsert = plan.upsert.clone();
    for entry in &mut upsert {
        if let Some(Body::Group(group)) = &mut entry.body {
            group.fencing = revision;
        }
    }
    let change = ConfigChange {
        revision,
        writer_mark: new_writer_mark(),
        author: author.to_owned(),
        accepted_unix_ms: now_unix_ms,
        upsert,
        remove: plan.remove.clone(),
    };
    let mut next = fleet.clone();
    next.apply(&change);
    let existing_problems = check_fleet(fleet);
    let new_problems: Vec<ConfigProblem> = check_fleet(&next)
        .into_iter()
        .filter(|problem| !existing_problems.contains(problem))
        .collect();
    match new_problems.is_empty() {
        true => Ok(change),
        false => Err(new_problems),
    }
}
