//! Tests of the messages about problems in the operators' files.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use eelgrassdeal_control::{FleetFiles, load_fleet_files};
use expect_test::{Expect, expect};

/// Directory with the operators' files of one test, deleted on drop.
struct TestFiles {
    directory: PathBuf,
}

impl TestFiles {
    fn new(name: &str, register: &str, rules: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("eelgrassdeal-files-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        std::fs::write(directory.join("register.toml"), register)
            .expect("the register can be written");
        std::fs::write(directory.join("rules.toml"), rules).expect("the rules can be written");
        Self { directory }
    }

    /// Messages of all problems, one a line, with file names relative to the directory.
    fn messages(&self) -> String {
        let files = FleetFiles::load(
            &self.directory.join("register.toml"),
            &self.directory.join("rules.toml"),
        );
        let problems = match files {
            Ok(files) => files.check(),
            Err(report) => report.current_context().problems.clone(),
        };
        let mut text = String::new();
        for problem in problems {
            let line = problem.to_string();
            let directory = format!("{}/", self.directory.display());
            writeln!(text, "{}", line.replace(&directory, ""))
                .expect("a write to a string succeeds");
        }
        text
    }
}

impl Drop for TestFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn check_messages(name: &str, register: &str, rules: &str, expected: Expect) {
    expected.assert_eq(&TestFiles::new(name, register, rules).messages());
}

/// Guards against misspelt field names that are ignored, values of the wrong type that are
/// accepted, and reports that contain only the first problem.
#[test]
fn schema_violations_are_reported_with_their_lines() {
    let register = r#"
[[data_centre]]
id = "a"

[[vm]]
id = "w1"
data_center = "a"

[[vm]]
id = "w2"
accelerators = "4"

[[model]]
id = "m"
ramp_step_ms = 1.5

[[model]]
id = "n"
slots = -1

[[data_centre]]
id = "a"

[[vms]]
id = "w3"
"#;
    let rules = "[serve]\nid = \"x\"\n";
    check_messages(
        "schema",
        register,
        rules,
        expect![[r#"
            register.toml:7: vm: unknown field `data_center`, expected one of `id`, `address`, `peer_address`, `data_centre`, `fabric_domain`, `role`, `accelerators`, `fencing`, `authenticates_orders`, `state`
            register.toml:11: vm: invalid type: string "4", expected u32
            register.toml:15: model: invalid type: floating point `1.5`, expected u32
            register.toml:19: model: invalid value: integer `-1`, expected u32
            register.toml:21: data_centre "a" is already declared in line 2
            register.toml:24: unknown section "vms"; this file may contain [[data_centre]], [[vm]], [[model]], [[service]], [[upstream]]
            rules.toml:1: expected double brackets: one [[serve]] section for each entry
        "#]],
    );
}

/// Guards against reports of invalid TOML or of a missing file that do not name the file.
#[test]
fn unreadable_files_are_reported_by_name() {
    check_messages(
        "syntax",
        "[[vm]]\nid = \n",
        "",
        expect![[r#"
        register.toml:2: string values must be quoted, expected literal string
    "#]],
    );
    let result = load_fleet_files(Path::new("/nonexistent/register.toml"), Path::new("/dev/null"));
    let report = result.expect_err("no such file");
    expect![[r#"
        cannot load the operators' files
        /nonexistent/register.toml:0: No such file or directory (os error 2)"#]]
    .assert_eq(&report.current_context().to_string());
}

/// Guards against dangling references and values out of range that are accepted, and against
/// reports without the line.
#[test]
fn invalid_values_are_reported_with_their_lines() {
    let register = r#"
[[data_centre]]
id = "a"
state = "off"

[[vm]]
id = "w 1"
address = "localhost:1"
data_centre = "z"
role = "engine"

[[vm]]
id = "w2"
address = "127.0.0.1:1"
data_centre = "a"
fabric_domain = "f"
accelerators = 4
fencing = "honoured"

[[vm]]
id = "w3"
address = "127.0.0.1:1"
data_centre = "z"
fabric_domain = "f"
fencing = "yes"
state = "stopped"

[[model]]
id = "m"
slots = 2
cold_slots = 3
ramp_step_ms = 3600000

[[upstream]]
id = "u"
service = "s"
address = "127.0.0.1"
data_centre = "a"
"#;
    let rules = r#"
[[client_account]]
id = "c1"
key_sha256 = "secret"
models = ["none"]

[[client_account]]
id = "c2"
key_sha256 = "secret"
services = ["none"]

[[serve]]
id = "r"
model = "none"
replicas = 20000
data_centres = ["a", "y"]
rebuild_after_ms = 600000000
"#;
    check_messages(
        "values",
        register,
        rules,
        expect![[r#"
        register.toml:4: data_centre "a", state: "off" is not one of in, out
        register.toml:6: vm "w 1", peer_address: not IP:PORT
        register.toml:7: vm "w 1", id: must be 1 to 128 letters, digits or any of - _ . :
        register.toml:8: vm "w 1", address: not IP:PORT
        register.toml:9: vm "w 1", data_centre: no such data centre
        register.toml:10: vm "w 1", role: "engine" is not one of entry, worker
        register.toml:20: vm "w3", accelerators: must be at least 1
        register.toml:22: vm "w3", address: VM "w2" has the same address
        register.toml:23: vm "w3", data_centre: no such data centre
        register.toml:24: vm "w3", fabric_domain: domain "f" is also in data centre "a"
        register.toml:25: vm "w3", fencing: "yes" is not one of honoured, ignored
        register.toml:26: vm "w3", state: "stopped" is not one of in_service, leaving
        register.toml:28: model "m", kv_tokens: must be at least 1
        register.toml:28: model "m", version: must not be empty
        register.toml:28: model "m", vms_per_replica: must be at least 1
        register.toml:28: model "m", weights_bytes: must be at least 1
        register.toml:31: model "m", cold_slots: must be from 1 to slots
        register.toml:32: model "m", ramp_step_ms: 3600000 is not from 1 to 600000 milliseconds
        register.toml:34: upstream "u", cold_slots: must be from 1 to slots
        register.toml:34: upstream "u", slots: must be at least 1
        register.toml:36: upstream "u", service: no such service
        register.toml:37: upstream "u", address: not IP:PORT
        rules.toml:4: client_account "c1", key_sha256: not a SHA-256 digest in lower-case hexadecimal
        rules.toml:5: client_account "c1", models: no model "none"
        rules.toml:9: client_account "c2", key_sha256: account "c1" has the same key
        rules.toml:9: client_account "c2", key_sha256: not a SHA-256 digest in lower-case hexadecimal
        rules.toml:10: client_account "c2", services: no service "none"
        rules.toml:14: serve "r", model: no such model
        rules.toml:15: serve "r", replicas: more than 10000
        rules.toml:16: serve "r", data_centres: no data centre "y"
        rules.toml:17: serve "r", rebuild_after_ms: more than 86400000 milliseconds (24 h)
    "#]],
    );
}

/// Guards against entries of a file that always differ from those in the configuration log because
/// an omitted field was not set to its default.
#[test]
fn omitted_fields_get_their_defaults() {
    let register = r#"
[[data_centre]]
id = "a"

[[vm]]
id = "w1"
address = "127.0.0.1:1"
data_centre = "a"
fabric_domain = "f"
accelerators = 4
fencing = "ignored"

[[model]]
id = "m"
version = "1"
vms_per_replica = 1
weights_bytes = 1
slots = 4
kv_tokens = 100
"#;
    let rules = "[[serve]]\nid = \"m\"\nmodel = \"m\"\nreplicas = 1\n";
    check_messages("defaults", register, rules, expect![[""]]);
    let files = TestFiles::new("defaults2", register, rules);
    let directory = &files.directory;
    let fleet = load_fleet_files(&directory.join("register.toml"), &directory.join("rules.toml"))
        .expect("the files are valid");
    let vm = fleet.vm("w1").expect("the VM is in the configuration");
    assert_eq!((vm.role.as_str(), vm.state.as_str()), ("worker", "in_service"));
    assert_eq!(
        fleet.data_centre("a").expect("the data centre is in the configuration").state,
        "in"
    );
    assert_eq!(
        fleet.serve_rule("m").expect("the rule is in the configuration").rebuild_after_ms,
        600_000
    );
}
