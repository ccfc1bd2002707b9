//! Runs the commands against a fake table service and fake nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use eelgrassdeal_cli::{CommandReport, CtlOptions, ExitStatus, run_command};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, VmLoss};
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_standins::{
    RawAnswer, ServerHandle, TableFake, broken_off_answers, empty_reply, json_reply,
    malformed_answers, serve_http, start_early_peer,
};
use expect_test::expect;
use gumdrop::Options;
use http_body_util::BodyExt;
use serde_json::json;

const TOKEN: &str = "token-of-the-nodes";

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A temporary directory with copies of the example files, and a fake table service.
struct CommandFixture {
    directory: PathBuf,
    table: TableFake,
    handle: ServerHandle,
}

impl CommandFixture {
    async fn new(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("eelgrassdeal-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("directory");
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        for file in ["register.toml", "rules.toml"] {
            std::fs::copy(examples.join(file), directory.join(file)).expect("example file");
        }
        std::fs::write(directory.join("token"), TOKEN).expect("token file");
        let table = TableFake::new();
        let handle = table.serve(any_port()).await.expect("table service");
        Self { directory, table, handle }
    }

    fn path(&self, file: &str) -> String {
        self.directory.join(file).display().to_string()
    }

    /// Replaces the first occurrence of `from`, which must exist, in one of the files.
    fn edit(&self, file: &str, from: &str, to: &str) {
        let text = std::fs::read_to_string(self.directory.join(file)).expect("file");
        assert!(text.contains(from));
        std::fs::write(self.directory.join(file), text.replacen(from, to, 1)).expect("file");
    }

    /// Runs a command. Adds the options for the files and for the table service where the command
    /// has them.
    async fn run(&self, command: &str, arguments: &[&str]) -> CommandReport {
        let mut command_line = vec![command.to_owned()];
        command_line.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        if ["check", "diff", "apply"].contains(&command) {
            command_line.push(format!("--register={}", self.path("register.toml")));
            command_line.push(format!("--rules={}", self.path("rules.toml")));
        }
        if command != "check" {
            command_line.push(format!("--table-url=http://{}", self.handle.address()));
        }
        let options = CtlOptions::parse_args_default(&command_line).expect("arguments");
        run_command(&options.command.expect("command")).await
    }
}

impl Drop for CommandFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// A fake of a node's admin interface. It accepts pushed changes, or confirms them without applying
/// them.
struct NodeFake {
    /// Revision that the status reports.
    revision: Rc<Cell<u64>>,
    /// All changes received.
    changes: Rc<RefCell<Vec<ConfigChange>>>,
    handle: ServerHandle,
}

impl NodeFake {
    async fn new(applies_changes: bool) -> Self {
        let revision = Rc::new(Cell::new(0));
        let changes = Rc::new(RefCell::new(Vec::new()));
        let state = (revision.clone(), changes.clone());
        let handle = serve_http(any_port(), move |request| {
            let (revision, changes) = state.clone();
            async move {
                let bearer = format!("Bearer {TOKEN}");
                let presented = request.headers().get("authorization").cloned();
                if presented.is_none_or(|value| value.as_bytes() != bearer.as_bytes()) {
                    return empty_reply(401);
                }
                if request.uri().path() == "/admin/status" {
                    let status = json!({
                        "node": "entry", "revision": revision.get(), "confirmed_age_ms": 7,
                        "state": "serving",
                    });
                    return json_reply(200, &status);
                }
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let change: ConfigChange = decode_message(&body).ok()?;
                if applies_changes {
                    revision.set(change.revision);
                }
                changes.borrow_mut().push(change);
                empty_reply(204)
            }
        });
        Self { revision, changes, handle: handle.await.expect("node") }
    }

    fn option(&self) -> String {
        format!("--node={}", self.handle.address())
    }
}

fn assert_status(report: &CommandReport, status: ExitStatus) {
    assert_eq!(report.status, status, "{}", report.text);
    assert!(!report.text.contains(TOKEN), "a token must not be printed");
}

/// Guards against examples that do not conform to the schema, an `apply` that is not idempotent,
/// and a `show config` whose output differs from the applied files.
#[compio::test]
async fn applying_the_examples_twice_adds_one_revision() {
    let fixture = CommandFixture::new("examples").await;
    assert_status(&fixture.run("check", &[]).await, ExitStatus::Success);
    let dry_run = fixture.run("apply", &["--dry-run"]).await;
    assert_status(&dry_run, ExitStatus::Success);
    assert_eq!(fixture.table.stats().writes, 0);
    let report = fixture.run("apply", &[]).await;
    assert_status(&report, ExitStatus::Success);
    assert!(report.text.starts_with("accepted as revision 1\n+ data_centre yul-a\n"));
    let second_report = fixture.run("apply", &[]).await;
    assert_eq!(second_report.text, "no difference to revision 1\n");
    let shown = fixture.run("show", &["config"]).await.text;
    let (register, rules) = shown.split_once("# rules.toml\n").expect("both files");
    std::fs::write(fixture.directory.join("register.toml"), register).expect("file");
    std::fs::write(fixture.directory.join("rules.toml"), rules).expect("file");
    assert_eq!(fixture.run("diff", &[]).await.text, "against revision 1\n");
}

/// Guards against a change of the configuration by files that fail validation.
#[compio::test]
async fn invalid_files_change_nothing() {
    let fixture = CommandFixture::new("invalid").await;
    fixture.edit("rules.toml", "replicas = 20", "replicas = \"20\"");
    for command in ["check", "diff", "apply"] {
        let report = fixture.run(command, &[]).await;
        assert_status(&report, ExitStatus::Failed);
        assert!(report.text.starts_with("config_invalid: nothing was changed\n"));
        assert!(report.text.contains("rules.toml:"));
    }
    assert_eq!(fixture.table.stats().writes, 0);
}

/// Guards against an operator's outdated files undoing the change of another operator, and against
/// the rejection of changes to different entries.
#[compio::test]
async fn changes_to_the_same_entry_conflict_and_others_are_merged() {
    let fixture = CommandFixture::new("conflict").await;
    fixture.run("apply", &["--author=ada"]).await;
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    fixture.run("apply", &["--author=ben"]).await;
    fixture.edit("rules.toml", "replicas = 18", "replicas = 16");
    let report = fixture.run("apply", &["--author=cleo", "--base=1"]).await;
    assert_status(&report, ExitStatus::Failed);
    expect![[r#"
        config_conflict: nothing was changed
        serve carob: also changed by "ben" in revision 2
    "#]]
    .assert_eq(&report.text);
    fixture.edit("rules.toml", "replicas = 16", "replicas = 20");
    fixture.edit("register.toml", "state = \"in\"", "state = \"out\"");
    let report = fixture.run("apply", &["--author=cleo", "--base=1"]).await;
    assert_status(&report, ExitStatus::Success);
    let shown = fixture.run("show", &["config"]).await.text;
    assert!(shown.contains("replicas = 18") && shown.contains("state = \"out\""));
}

/// Guards against accepting a change that is valid in the operator's files but not together with
/// the change of another operator.
#[compio::test]
async fn the_merged_configuration_is_checked() {
    let fixture = CommandFixture::new("merged").await;
    fixture.run("apply", &[]).await;
    let vm = |id: &str| {
        format!(
            "[[vm]]\nid = \"{id}\"\naddress = \"127.0.0.1:9999\"\ndata_centre = \"yul-a\"\n\
             fabric_domain = \"yul-a-f1\"\naccelerators = 4\nfencing = \"ignored\"\n\n[[model]]"
        )
    };
    fixture.edit("register.toml", "[[model]]", &vm("worker-51"));
    assert_status(&fixture.run("apply", &["--author=ben"]).await, ExitStatus::Success);
    fixture.edit("register.toml", "\"worker-51\"", "\"worker-52\"");
    let report = fixture.run("apply", &["--base=1"]).await;
    assert_status(&report, ExitStatus::Failed);
    expect![[r#"
        config_invalid: nothing was changed
        vm "worker-52", address: VM "worker-51" has the same address
    "#]]
    .assert_eq(&report.text);
}

/// Guards against the loss of a change when another writer appends the same revision first.
#[compio::test]
async fn concurrent_changes_are_both_accepted() {
    let fixture = CommandFixture::new("race").await;
    fixture.run("apply", &[]).await;
    let other = CommandFixture::new("race2").await;
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    other.edit("register.toml", "state = \"in\"", "state = \"out\"");
    let url = format!("--table-url=http://{}", fixture.handle.address());
    let command_line = [
        "apply".to_owned(),
        url,
        format!("--register={}", other.path("register.toml")),
        format!("--rules={}", other.path("rules.toml")),
        "--base=1".to_owned(),
    ];
    let options = CtlOptions::parse_args_default(&command_line).expect("arguments");
    let command = options.command.expect("command");
    let (first, second) =
        futures_util::join!(fixture.run("apply", &["--base=1"]), run_command(&command));
    assert_status(&first, ExitStatus::Success);
    assert_status(&second, ExitStatus::Success);
    let shown = fixture.run("show", &["config"]).await.text;
    assert!(shown.contains("replicas = 18") && shown.contains("state = \"out\""));
}

/// Guards against reporting failure for an accepted change, and success for a change whose
/// acceptance is not confirmed, when responses of the table service are lost.
#[compio::test]
async fn lost_responses_are_resolved_or_reported() {
    let fixture = CommandFixture::new("lost").await;
    fixture.table.faults().lose_responses(1);
    assert_status(&fixture.run("apply", &[]).await, ExitStatus::Success);
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    fixture.table.faults().lose_responses(100);
    let report = fixture.run("apply", &[]).await;
    assert_status(&report, ExitStatus::OutcomeUnknown);
    assert!(report.text.starts_with("outcome_unknown: "));
    fixture.table.faults().lose_responses(0);
    fixture.table.faults().set_down(true);
    let report = fixture.run("apply", &[]).await;
    assert_status(&report, ExitStatus::Failed);
    assert!(report.text.starts_with("store_unavailable: "));
}

/// Guards against reporting a change as active while a node lacks it.
#[compio::test]
async fn nodes_that_lack_the_change_are_reported() {
    let fixture = CommandFixture::new("push").await;
    let (updated_node, outdated_node) = (NodeFake::new(true).await, NodeFake::new(false).await);
    let token = format!("--admin-token-file={}", fixture.path("token"));
    let options = [&*updated_node.option(), &*outdated_node.option(), &*token, "--wait=1"];
    let report = fixture.run("apply", &options).await;
    assert_status(&report, ExitStatus::NotActive);
    let expected_line = format!(
        "node {}: not active: entry has revision 0, serving, confirmed 7 ms ago\n",
        outdated_node.handle.address()
    );
    assert!(report.text.contains(&expected_line), "{}", report.text);
    assert!(!report.text.contains(&updated_node.handle.address().to_string()));
    assert_eq!(updated_node.revision.get(), 1);
    assert_eq!(updated_node.changes.borrow()[0].upsert.len(), 76, "every entry of the examples");
    fixture.edit("register.toml", "state = \"in\"", "state = \"out\"");
    assert_status(
        &fixture.run("apply", &[&updated_node.option(), &token]).await,
        ExitStatus::Success,
    );
    assert_eq!(updated_node.revision.get(), 2, "pushed without --wait as well");
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    let report = fixture.run("apply", &[&updated_node.option(), &token, "--wait=5"]).await;
    assert_status(&report, ExitStatus::Success);
    assert!(report.text.ends_with("active on 1 nodes\n"));
}

/// Broken answers of a node that has the newest revision.
fn broken_answers() -> Vec<RawAnswer> {
    let status = json!({ "node": "entry", "revision": 9, "state": "serving" }).to_string();
    let with_status_line = |status_line: &str| {
        let head = format!("HTTP/1.1 {status_line}\r\ncontent-length: {}\r\n", status.len());
        RawAnswer::new(status_line, format!("{head}\r\n{status}"))
    };
    let without_status = ["000 None", "199 None", "600 None", "20 OK", "None"];
    let malformed = malformed_answers("", &status).into_iter();
    let broken_off = broken_off_answers("", &status);
    malformed.chain(without_status.map(with_status_line)).chain(broken_off).collect()
}

/// Guards against reporting a change as active because of an answer that is not whole or not sound.
#[compio::test]
async fn nodes_with_broken_answers_lack_the_change() {
    let fixture = CommandFixture::new("broken").await;
    let start_node = |answer: RawAnswer| {
        let (label, answer) = (answer.label.clone(), answer.after_request());
        let address = start_early_peer(move |_| answer.clone()).expect("a free port");
        (label, address)
    };
    let nodes: Vec<_> = broken_answers().into_iter().map(start_node).collect();
    let sound_node = NodeFake::new(true).await;
    let mut options = vec![sound_node.option(), "--wait=1".to_owned()];
    options.push(format!("--admin-token-file={}", fixture.path("token")));
    options.extend(nodes.iter().map(|(_, address)| format!("--node={address}")));
    let options: Vec<&str> = options.iter().map(String::as_str).collect();
    let report = fixture.run("apply", &options).await;
    assert_status(&report, ExitStatus::NotActive);
    for (label, address) in &nodes {
        for failure in ["push failed", "not active"] {
            let line = format!("node {address}: {failure}: ");
            assert!(report.text.contains(&line), "{label}: {failure} isn't reported");
        }
    }
    assert!(!report.text.contains(&sound_node.handle.address().to_string()), "{}", report.text);
}

/// Guards against `--wait` without a token for the nodes, against ignoring that a token file is
/// missing, and against changes by a command whose options are invalid.
#[compio::test]
async fn invalid_options_are_usage_errors() {
    let fixture = CommandFixture::new("token").await;
    assert_status(&fixture.run("apply", &["--wait=1"]).await, ExitStatus::UsageError);
    let report = fixture.run("apply", &["--admin-token-file=/nonexistent"]).await;
    assert_status(&report, ExitStatus::UsageError);
    assert_status(&fixture.run("show", &["everything"]).await, ExitStatus::UsageError);
    assert_status(&fixture.run("apply", &["--base=9"]).await, ExitStatus::UsageError);
    assert_eq!(fixture.table.stats().writes, 0);
}

/// Guards against explanations that do not state the cause.
#[compio::test]
async fn why_states_the_cause() {
    let fixture = CommandFixture::new("why").await;
    fixture.edit("register.toml", "state = \"in\"", "state = \"out\"");
    fixture.run("apply", &[]).await;
    let group = eelgrassdeal_schema::config::GroupRecord {
        id: "carob-1".to_owned(),
        generation: 3,
        model: "carob-70b".to_owned(),
        version: "2025-12".to_owned(),
        rule: "carob".to_owned(),
        data_centre: "yul-a".to_owned(),
        fabric_domain: "yul-a-f1".to_owned(),
        members: vec!["worker-01".to_owned(), "worker-02".to_owned()],
        state: "draining".to_owned(),
        fencing: 2,
    };
    let loss = VmLoss { id: "worker-02".to_owned(), since_unix_ms: 1_000 };
    let upsert = [Body::Group(group), Body::VmLoss(loss)]
        .map(|body| ConfigEntry { body: Some(body) })
        .to_vec();
    let change = ConfigChange { revision: 2, upsert, ..ConfigChange::default() };
    let store = eelgrassdeal_store::HttpTableStore::new(
        cyper::Client::new().expect("client"),
        format!("http://{}", fixture.handle.address()),
    );
    eelgrassdeal_store::ConfigLog::new(Rc::new(store)).append(&change).await;
    let mut text = String::new();
    for id in ["carob-70b", "worker-02", "worker-50", "desk-1", "entry-1"] {
        text.push_str(&fixture.run("why", &[id]).await.text);
    }
    expect![[r#"
        rule carob: requires 20 groups (one per replica), the configuration contains 1
        rule carob: domain yul-c-f1 has enough spare VMs; the planner forms a group there
        group carob-1: data centre yul-a is out
        group carob-1: takes no new work until it is repaired or removed
        group carob-1: VM worker-02: has not answered since 1000 (Unix ms)
        group carob-1: has version 2025-12, version 2026-01 is rolled out one group at a time
        VM worker-02: has not answered since 1000 (Unix ms)
        VM worker-50: is spare
        upstream desk-1: data centre yul-a is out
        VM entry-1: data centre yul-a is out
    "#]]
    .assert_eq(&text);
    let groups = fixture.run("show", &["groups"]).await.text;
    expect![[r#"
        # revision 2
        group    generation  model      version  domain          state  members
        carob-1  3           carob-70b  2025-12  yul-a/yul-a-f1  out    worker-01 worker-02(lost)
    "#]]
    .assert_eq(&groups);
    assert_status(&fixture.run("why", &["nothing"]).await, ExitStatus::Failed);
    assert_eq!(fixture.run("apply", &[]).await.text, "no difference to revision 2\n");
}

/// Configuration of the gateway without findings.
const GATEWAY_CONFIG: &str = r#"{
  "version": 7,
  "routes": [
    { "name": "look", "host": "h.example", "path_prefix": "/look/", "kind": "idempotent",
      "timeout_ms": 2000, "target_latency_ms": 300, "service": "desk", "max_attempts": 2, "public": true }
  ],
  "services": [ { "name": "desk", "max_conns": 50 } ]
}
"#;

/// Runs `check` with a configuration of the gateway.
async fn check_gateway(
    fixture: &CommandFixture,
    config: &[u8],
    arguments: &[&str],
) -> CommandReport {
    std::fs::write(fixture.directory.join("gateway.json"), config).expect("file");
    let option = format!("--gateway={}", fixture.path("gateway.json"));
    let arguments: Vec<_> =
        [option.as_str()].into_iter().chain(arguments.iter().copied()).collect();
    fixture.run("check", &arguments).await
}

/// Guards against an exit code that lets a script send a configuration with errors.
#[compio::test]
async fn check_of_a_gateway_configuration_ends_with_its_exit_code() {
    let fixture = CommandFixture::new("gateway").await;
    // Unusable files of the product itself don't matter.
    fixture.edit("rules.toml", "replicas = 20", "replicas = \"20\"");
    let with = |from: &str, to: &str| GATEWAY_CONFIG.replacen(from, to, 1).into_bytes();
    let file = fixture.path("gateway.json");
    for (config, status, line) in [
        (GATEWAY_CONFIG.into(), ExitStatus::Success, String::new()),
        (
            with("\"max_conns\": 50", "\"max_conns\": 0"),
            ExitStatus::Success,
            format!("{file}:7: warning [invalid_field] services[0].max_conns: "),
        ),
        (
            with("\"service\": \"desk\"", "\"service\": \"none\""),
            ExitStatus::Failed,
            format!("{file}:5: error [unknown_reference] routes[0].service: "),
        ),
        (with("7,", "\"7\","), ExitStatus::Failed, format!("{file}:2: error [invalid_field]: ")),
        (with("{", ""), ExitStatus::UsageError, format!("{file}:2: error [unusable_file]: ")),
        (vec![0xff], ExitStatus::UsageError, format!("{file}:1: error [unusable_file]: ")),
        (
            vec![b' '; 5 * 1024 * 1024],
            ExitStatus::UsageError,
            format!("{file}:0: error [unusable_file]: "),
        ),
    ] {
        let report = check_gateway(&fixture, &config, &[]).await;
        assert_status(&report, status);
        assert!(report.text.starts_with(&line), "{}", report.text);
    }
    let report = fixture.run("check", &["--gateway=/nonexistent"]).await;
    assert_status(&report, ExitStatus::UsageError);
    let report = check_gateway(&fixture, GATEWAY_CONFIG.as_bytes(), &["--format=xml"]).await;
    assert_status(&report, ExitStatus::UsageError);
    let report = fixture.run("check", &["--previous=rules.toml"]).await;
    assert_status(&report, ExitStatus::UsageError);
}

/// Guards against a program that reads the report and finds no JSON, or not what differs.
#[compio::test]
async fn check_reports_to_programs() {
    let fixture = CommandFixture::new("json").await;
    std::fs::write(fixture.directory.join("old.json"), GATEWAY_CONFIG).expect("file");
    let previous = format!("--previous={}", fixture.path("old.json"));
    let config = GATEWAY_CONFIG.replace("7,", "8,").replace("2000", "200");
    let arguments = [previous.as_str(), "--format=json"];
    let report = check_gateway(&fixture, config.as_bytes(), &arguments).await;
    assert_status(&report, ExitStatus::Failed);
    assert!(report.is_data, "printed to standard output");
    let report: serde_json::Value = serde_json::from_str(&report.text).expect("JSON");
    let message = "300 ms is over timeout_ms, 200 ms, so that no answer can miss it";
    let finding = json!({ "file": fixture.path("gateway.json"), "line": 5, "severity": "error",
        "kind": "contradicting_limits", "field": "routes[0].target_latency_ms", "message": message });
    let differences = ["version was 7, is 8", "route \"look\": timeout_ms was 2000, is 200"];
    let expected = json!({ "result": "errors", "findings": [finding], "differences": differences });
    assert_eq!(report, expected);

    let report = check_gateway(&fixture, config.as_bytes(), &[&previous]).await;
    let text = report.text.split_once('\n').expect("lines").1;
    let old = fixture.path("old.json");
    assert_eq!(
        text,
        format!(
            "differences from {old}:\n  version was 7, is 8\n  route \"look\": timeout_ms was 2000, is 200\n\
             1 errors, 0 warnings\n"
        )
    );

    std::fs::write(fixture.directory.join("old.json"), "{").expect("file");
    let report = check_gateway(&fixture, config.as_bytes(), &arguments).await;
    assert_status(&report, ExitStatus::UsageError);
}

/// The product's own files are reported in the same form, with the exit code that they always had.
#[compio::test]
async fn check_reports_the_own_files_to_programs() {
    let fixture = CommandFixture::new("own-json").await;
    let report = fixture.run("check", &["--format=json"]).await;
    assert_status(&report, ExitStatus::Success);
    let report: serde_json::Value = serde_json::from_str(&report.text).expect("JSON");
    assert_eq!(report, json!({ "result": "clean", "findings": [], "differences": null }));
    fixture.edit("rules.toml", "replicas = 20", "replicas = 20000");
    let report = fixture.run("check", &["--format=json"]).await;
    assert_status(&report, ExitStatus::Failed);
    let report: serde_json::Value = serde_json::from_str(&report.text).expect("JSON");
    let finding = &report["findings"][0];
    assert_eq!(finding["file"], fixture.path("rules.toml"));
    assert_eq!(
        (&finding["kind"], &finding["field"]),
        (&json!("invalid_field"), &json!("replicas"))
    );
    assert!(finding["line"].as_u64() > Some(1));
    fixture.edit("rules.toml", "[[", "[");
    let report = fixture.run("check", &["--format=json"]).await;
    assert_status(&report, ExitStatus::Failed);
    assert!(report.text.contains("\"unusable_file\""), "{}", report.text);
}
