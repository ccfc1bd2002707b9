//! The command line.

use gumdrop::Options;

/// Operators' command line of eelgrassdeal; see docs/operators.md.
#[derive(Debug, Options)]
pub struct CtlOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum CtlCommand {
    /// Check the files.
    #[options(help = "check the files without contacting anything")]
    Check(CheckOptions),
    /// Compare the files with the configuration in force.
    #[options(help = "list the entries in which the files differ from the accepted configuration")]
    Diff(DiffOptions),
    /// Make the files the configuration in force.
    #[options(help = "append the difference to the configuration log and push it to the nodes")]
    Apply(ApplyOptions),
    /// Print a part of the configuration.
    #[options(help = "print the accepted config, groups, nodes or upstreams")]
    Show(ShowOptions),
    /// Explain why something does not serve.
    #[options(help = "tell why a model, group, VM or upstream is not serving")]
    Why(WhyOptions),
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Register file.
    #[options(no_short, help = "register file", meta = "FILE", default = "register.toml")]
    pub register: String,
    /// Rules file.
    #[options(no_short, help = "rules file", meta = "FILE", default = "rules.toml")]
    pub rules: String,
}

/// Options of `diff`.
#[derive(Debug, Options)]
pub struct DiffOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Register file.
    #[options(no_short, help = "register file", meta = "FILE", default = "register.toml")]
    pub register: String,
    /// Rules file.
    #[options(no_short, help = "rules file", meta = "FILE", default = "rules.toml")]
    pub rules: String,
    /// Base URL of the table service.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Register file.
    #[options(no_short, help = "register file", meta = "FILE", default = "register.toml")]
    pub register: String,
    /// Rules file.
    #[options(no_short, help = "rules file", meta = "FILE", default = "rules.toml")]
    pub rules: String,
    /// Base URL of the table service.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
    /// Revision that the files were made from.
    #[options(no_short, help = "revision that the files were made from (default: the newest)")]
    pub base: Option<u64>,
    /// Only show the change.
    #[options(no_short, help = "check and show the change, but do not append it")]
    pub dry_run: bool,
    /// Who makes the change.
    #[options(no_short, help = "name recorded with the change (default: $USER)", meta = "NAME")]
    pub author: String,
    /// Time to wait until the change is in force, in seconds.
    #[options(
        no_short,
        help = "wait until the change is in force on every node",
        meta = "SECONDS"
    )]
    pub wait: Option<u64>,
    /// Nodes to push to; empty means every entry node of the register.
    #[options(no_short, help = "node to push to, repeatable (default: all)", meta = "IP:PORT")]
    pub node: Vec<String>,
    /// File with the token for the nodes.
    #[options(no_short, help = "file with the token for the nodes", meta = "FILE")]
    pub admin_token_file: String,
}

/// Options of `show`.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to print.
    #[options(free, required, help = "config, groups, nodes or upstreams")]
    pub what: String,
    /// Base URL of the table service.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
    /// File with the token for the nodes.
    #[options(no_short, help = "file with the token for the nodes; asks them too", meta = "FILE")]
    pub admin_token_file: String,
}

/// Options of `why`.
#[derive(Debug, Options)]
pub struct WhyOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id to explain.
    #[options(free, required, help = "id of a model, group, VM or upstream")]
    pub id: String,
    /// Base URL of the table service.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
}
