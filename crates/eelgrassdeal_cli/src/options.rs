//! Command-line options. `--help` prints the doc comment of a command's options and the `help` text
//! of each field.

use gumdrop::Options;

/// Command-line tool for operators of eelgrassdeal; see docs/operators.md.
#[derive(Debug, Options)]
pub struct CtlOptions {
    /// Whether to print the help of the program and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command to run; `None` if the command line names none.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// Commands with their options.
#[derive(Debug, Options)]
pub enum CtlCommand {
    /// Validates the operators' files without a connection to the table service or a node.
    #[options(help = "check the files without a connection to any service")]
    Check(CheckOptions),
    /// Lists the entries in which the files differ from the newest accepted revision.
    #[options(help = "list the entries in which the files differ from the accepted configuration")]
    Diff(DiffOptions),
    /// Appends the changes in the files to the configuration log and pushes them to the nodes.
    #[options(help = "append the difference to the configuration log and push it to the nodes")]
    Apply(ApplyOptions),
    /// Prints a part of the newest accepted revision.
    #[options(help = "print the accepted config, groups, nodes or upstreams")]
    Show(ShowOptions),
    /// Explains from the newest accepted revision why a part of the fleet does not serve.
    #[options(help = "explain why a model, group, VM or upstream is not serving")]
    Why(WhyOptions),
}

/// Checks the register and rules files, or a configuration of the gateway, without a connection to any
/// service.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// Whether to print the help of the command and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// File with the data centres, VMs, models, services and upstreams.
    #[options(no_short, help = "register file", meta = "FILE", default = "register.toml")]
    pub register: String,
    /// File with the client accounts and the rules for serving models.
    #[options(no_short, help = "rules file", meta = "FILE", default = "rules.toml")]
    pub rules: String,
    /// Configuration of the gateway. If given, it is checked in place of the register and the rules.
    #[options(no_short, help = "check this configuration of the gateway", meta = "FILE")]
    pub gateway: String,
    /// Configuration of the gateway that is in force, with which `gateway` is compared.
    #[options(no_short, help = "configuration in force, to compare with", meta = "FILE")]
    pub previous: String,
    /// Time after which callers of the gateway give up, in milliseconds. `None` if it isn't known.
    #[options(no_short, help = "time after which callers give up", meta = "MS")]
    pub caller_deadline_ms: Option<u64>,
    /// Format of the report: `text` or `json`.
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    pub format: String,
}

/// Lists the entries in which the files differ from the accepted configuration.
#[derive(Debug, Options)]
pub struct DiffOptions {
    /// Whether to print the help of the command and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// File with the data centres, VMs, models, services and upstreams.
    #[options(no_short, help = "register file", meta = "FILE", default = "register.toml")]
    pub register: String,
    /// File with the client accounts and the rules for serving models.
    #[options(no_short, help = "rules file", meta = "FILE", default = "rules.toml")]
    pub rules: String,
    /// Base URL of the table service, which stores the configuration log.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service; empty to send no token.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
}

/// Appends the difference to the configuration log and pushes it to the nodes.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Whether to print the help of the command and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// File with the data centres, VMs, models, services and upstreams.
    #[options(no_short, help = "register file", meta = "FILE", default = "register.toml")]
    pub register: String,
    /// File with the client accounts and the rules for serving models.
    #[options(no_short, help = "rules file", meta = "FILE", default = "rules.toml")]
    pub rules: String,
    /// Base URL of the table service, which stores the configuration log.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service; empty to send no token.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
    /// Revision from which the files were edited. Entries that were changed after it are not
    /// overwritten. `None` means the newest revision.
    #[options(no_short, help = "revision from which the files were edited (default: the newest)")]
    pub base: Option<u64>,
    /// Whether to check and print the change without appending it.
    #[options(no_short, help = "check and show the change, but do not append it")]
    pub dry_run: bool,
    /// Name recorded as the author of the change. If empty, it is the variable `USER`, or
    /// `operator` if that is not set.
    #[options(no_short, help = "name recorded with the change (default: $USER)", meta = "NAME")]
    pub author: String,
    /// Maximum time to wait until the change is active on every node, in seconds. `None` means not
    /// to wait.
    #[options(no_short, help = "wait until the change is active on every node", meta = "SECONDS")]
    pub wait: Option<u64>,
    /// Addresses of the nodes to which the change is pushed. If empty, all entry nodes of the
    /// register that are not marked absent.
    #[options(no_short, help = "node to push to, repeatable (default: all)", meta = "IP:PORT")]
    pub node: Vec<String>,
    /// File with the token for the admin interface of the nodes. If empty, the change is not
    /// pushed.
    #[options(no_short, help = "file with the token for the nodes", meta = "FILE")]
    pub admin_token_file: String,
}

/// Prints a part of the accepted configuration.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// Whether to print the help of the command and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Part of the configuration to print: `config`, `groups`, `nodes` or `upstreams`.
    #[options(free, required, help = "config, groups, nodes or upstreams")]
    pub what: String,
    /// Base URL of the table service, which stores the configuration log.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service; empty to send no token.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
    /// File with the token for the admin interface of the nodes. If given, `show nodes` also prints
    /// the status of each node.
    #[options(
        no_short,
        help = "file with the token for the nodes; also shows their status",
        meta = "FILE"
    )]
    pub admin_token_file: String,
}

/// Explains why a model, group, VM or upstream is not serving.
#[derive(Debug, Options)]
pub struct WhyOptions {
    /// Whether to print the help of the command and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the model, group, VM or upstream to explain.
    #[options(free, required, help = "id of a model, group, VM or upstream")]
    pub id: String,
    /// Base URL of the table service, which stores the configuration log.
    #[options(no_short, help = "base URL of the table service", meta = "URL", required)]
    pub table_url: String,
    /// File with the token for the table service; empty to send no token.
    #[options(no_short, help = "file with the token for the table service", meta = "FILE")]
    pub token_file: String,
}
