//! Calculates the expected effects of VM losses at the planned size: group downtime, stranded
//! accelerators and the need for spare VMs. The sizes are those of `docs/design.md`, section 1.6;
//! nothing is measured.

use gumdrop::Options;

/// All VMs, including workers.
const VMS: f64 = 2110.0;
const WORKERS: f64 = 1700.0;
const ACCELERATORS: f64 = 6700.0;
const GROUPS: f64 = 212.0;
const VMS_PER_GROUP: f64 = 8.0;
/// Failures of VMs of all roles.
const FAILURES_PER_DAY: f64 = 16.0;
/// Replacements of VMs of all roles.
const REPLACEMENTS_PER_DAY: f64 = 660.0;
const DAY_S: f64 = 86_400.0;
/// Time to record a loss (1.5 s), plan the repair (1 s) and start the repaired group (5 s), without
/// the transfer of weights.
const REPAIR_TIME_S: f64 = 7.5;

/// Options of `failures`: the values that the planned size does not specify. Their defaults are
/// assumed values and differ from those of the simulation in `fleet_events`.
#[derive(Debug, Options)]
pub(crate) struct FailureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "time until a lost VM returns, in s", default = "600")]
    return_s: f64,
    #[options(help = "size of the weights of one group member, in GB", default = "20")]
    member_gb: f64,
    #[options(
        help = "bandwidth of the weight store for all transfers together, in GB/s",
        default = "1"
    )]
    rate_gb_s: f64,
    #[options(help = "number of fabric domains", default = "26")]
    domains: f64,
}

/// Calculates and prints the values.
pub(crate) fn run(options: &FailureOptions) {
    let losses_per_day = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) * WORKERS / VMS;
    let transfer_s = options.member_gb / options.rate_gb_s;
    let ungrouped_workers = WORKERS - GROUPS * VMS_PER_GROUP;
    println!(
        "worker losses a day: {losses_per_day:.0} (failures and replacements of all VMs, times \
         the fraction of VMs that are workers)"
    );
    println!("workers outside of groups: {ungrouped_workers:.0}");
    println!("transfer of one member: {transfer_s:.0} s; all members of a group: {:.0} s", {
        transfer_s * VMS_PER_GROUP
    });
    println!("weight store busy with repairs: {:.1}%", 100.0 * losses_per_day * transfer_s / DAY_S);
    for (name, downtime_s) in [
        ("spare VM in the domain", REPAIR_TIME_S + transfer_s),
        ("no spare, the lost VM returns", REPAIR_TIME_S + transfer_s + options.return_s),
    ] {
        let groups_down = losses_per_day * downtime_s / DAY_S;
        // Counts the other members of the groups that are down. The simulation in `groups` also
        // counts answering workers outside of groups.
        let stranded_accelerators = groups_down * (VMS_PER_GROUP - 1.0) * ACCELERATORS / WORKERS;
        println!(
            "{name}: {downtime_s:.0} s per loss, {groups_down:.2} groups down on average ({:.2}%), \
             {stranded_accelerators:.0} accelerators of their other members stranded",
            100.0 * groups_down / GROUPS
        );
    }
    let missing_vms = losses_per_day * options.return_s / DAY_S / options.domains;
    println!(
        "VMs missing in a domain on average: {missing_vms:.3}, with {} domains",
        options.domains
    );
    for spares in 0..=3 {
        println!(
            "{spares} spare VMs a domain ({:.0} in all): too few {:.3}% of the time",
            f64::from(spares) * options.domains,
            100.0 * poisson_tail(missing_vms, spares)
        );
    }
}

/// Probability that a Poisson-distributed variable with mean `mean` is greater than `count`.
fn poisson_tail(mean: f64, count: i32) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = term;
    for step in 1..=count {
        term *= mean / f64::from(step);
        sum += term;
    }
    1.0 - sum
}
