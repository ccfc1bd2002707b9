//! From a plan to the next revision.

use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_types::new_writer_mark;

use super::GroupPlan;
use crate::check::{FleetProblem, check_fleet};
use crate::fleet::FleetConfig;

/// Makes the revision after `fleet` out of `plan`. Every written group gets the revision as its
/// fencing number. `now_unix_ms` is in milliseconds since the Unix epoch.
///
/// # Errors
///
/// The problems that the plan would add to the configuration. Problems that `fleet` has already do
/// not keep the planner from repairing other groups.
pub fn plan_change(
    fleet: &FleetConfig,
    plan: &GroupPlan,
    author: &str,
    now_unix_ms: u64,
) -> Result<ConfigChange, Vec<FleetProblem>> {
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
    let known = check_fleet(fleet);
    let added: Vec<FleetProblem> =
        check_fleet(&next).into_iter().filter(|problem| !known.contains(problem)).collect();
    match added.is_empty() {
        true => Ok(change),
        false => Err(added),
    }
}
