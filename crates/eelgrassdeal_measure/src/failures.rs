//! Failure arithmetic of the planned size: group downtime, stranded accelerators and spare VMs.
//! Computed from the sizes of `docs/design.md`, section 1.6; nothing is measured here.

use gumdrop::Options;

const VMS: f64 = 2110.0;
const WORKERS: f64 = 1700.0;
const ACCELERATORS: f64 = 6700.0;
const GROUPS: f64 = 212.0;
const VMS_PER_GROUP: f64 = 8.0;
const FAILURES_PER_DAY: f64 = 16.0;
const REPLACEMENTS_PER_DAY: f64 = 660.0;
const DAY_S: f64 = 86_400.0;
/// Time until a loss is recorded (1.5 s), planned (1 s) and the repaired group serves (5 s).
const REPAIR_S: f64 = 7.5;

/// Options of `failures`. The planned sizes leave these open.
#[derive(Debug, Options)]
pub(crate) struct FailureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "time until a lost VM is back, in s", default = "600")]
    return_s: f64,
    #[options(help = "weights of one member in GB", default = "20")]
    member_gb: f64,
    #[options(help = "rate of the weight store in GB/s, all transfers together", default = "1")]
    rate_gb_s: f64,
    #[options(help = "fabric domains", default = "26")]
    domains: f64,
}

/// Prints the arithmetic.
pub(crate) fn run(options: &FailureOptions) {
    let losses = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) * WORKERS / VMS;
    let transfer_s = options.member_gb / options.rate_gb_s;
    let free = WORKERS - GROUPS * VMS_PER_GROUP;
    println!("worker losses a day: {losses:.0} (failures and replacements, share of workers)");
    println!("workers outside of groups: {free:.0}");
    println!("transfer of one member: {transfer_s:.0} s; all members of a group: {:.0} s", {
        transfer_s * VMS_PER_GROUP
    });
    println!("weight store busy with repairs: {:.1}%", 100.0 * losses * transfer_s / DAY_S);
    for (name, down_s) in [
        ("spare VM in the domain", REPAIR_S + transfer_s),
        ("no spare, the lost VM returns", REPAIR_S + transfer_s + options.return_s),
    ] {
        let groups = losses * down_s / DAY_S;
        let stranded = groups * (VMS_PER_GROUP - 1.0) * ACCELERATORS / WORKERS;
        println!(
            "{name}: {down_s:.0} s a loss, {groups:.2} groups down on average ({:.2}%), \
             {stranded:.0} accelerators stranded",
            100.0 * groups / GROUPS
        );
    }
    let missing = losses * options.return_s / DAY_S / options.domains;
    println!("VMs missing in a domain on average: {missing:.3} of {} domains", options.domains);
    for spares in 0..=3 {
        println!(
            "{spares} spare VMs a domain ({:.0} in all): too few {:.3}% of the time",
            f64::from(spares) * options.domains,
            100.0 * poisson_tail(missing, spares)
        );
    }
}

/// Probability that a Poisson variable of mean `mean` is above `count`.
fn poisson_tail(mean: f64, count: i32) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = term;
    for step in 1..=count {
        term *= mean / f64::from(step);
        sum += term;
    }
    1.0 - sum
}
