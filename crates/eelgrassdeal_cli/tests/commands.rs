//! Commands against a stand-in of the table service and of the nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use eelgrassdeal_cli::{CommandReport, CtlOptions, ExitStatus, run_command};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, VmLoss};
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_standins::{ServerHandle, TableFake, empty_reply, json_reply, serve_http};
use expect_test::expect;
use gumdrop::Options;
use http_body_util::BodyExt;
use serde_json::json;

const TOKEN: &str = "token-of-the-nodes";

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A folder with both files and a table service.
struct CommandFixture {
    folder: PathBuf,
    table: TableFake,
    handle: ServerHandle,
}

impl CommandFixture {
    async fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("eelgrassdeal-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder");
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        for file in ["register.toml", "rules.toml"] {
            std::fs::copy(examples.join(file), folder.join(file)).expect("example file");
        }
        std::fs::write(folder.join("token"), TOKEN).expect("token file");
        let table = TableFake::new();
        let handle = table.serve(any_port()).await.expect("table service");
        Self { folder, table, handle }
    }

    fn path(&self, file: &str) -> String {
        self.folder.join(file).display().to_string()
    }

    /// Replaces text in one of the files.
    fn edit(&self, file: &str, from: &str, to: &str) {
        let text = std::fs::read_to_string(self.folder.join(file)).expect("file");
        assert!(text.contains(from));
        std::fs::write(self.folder.join(file), text.replacen(from, to, 1)).expect("file");
    }

    /// Runs a command that reads the files or only the table service.
    async fn run(&self, command: &str, arguments: &[&str]) -> CommandReport {
        let mut line = vec![command.to_owned()];
        line.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        if ["check", "diff", "apply"].contains(&command) {
            line.push(format!("--register={}", self.path("register.toml")));
            line.push(format!("--rules={}", self.path("rules.toml")));
        }
        if command != "check" {
            line.push(format!("--table-url=http://{}", self.handle.address()));
        }
        let options = CtlOptions::parse_args_default(&line).expect("arguments");
        run_command(&options.command.expect("command")).await
    }
}

impl Drop for CommandFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A node that takes pushed changes, or ignores them.
struct NodeFake {
    revision: Rc<Cell<u64>>,
    changes: Rc<RefCell<Vec<ConfigChange>>>,
    handle: ServerHandle,
}

impl NodeFake {
    async fn new(takes_changes: bool) -> Self {
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
                        "state": "ready",
                    });
                    return json_reply(200, &status);
                }
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let change: ConfigChange = decode_message(&body).ok()?;
                if takes_changes {
                    revision.set(change.revision);
                }
                changes.borrow_mut().push(change);
                empty_reply(204)
            }
        });
        Self { revision, changes, handle: handle.await.expect("node") }
    }

    fn argument(&self) -> String {
        format!("--node={}", self.handle.address())
    }
}

fn assert_status(report: &CommandReport, status: ExitStatus) {
    assert_eq!(report.status, status, "{}", report.text);
    assert!(!report.text.contains(TOKEN), "a token must not be printed");
}

/// Guards against examples that do not follow the schema, and against an apply that is not
/// idempotent.
#[compio::test]
async fn examples_are_accepted_once() {
    let fixture = CommandFixture::new("examples").await;
    assert_status(&fixture.run("check", &[]).await, ExitStatus::Done);
    let dry_run = fixture.run("apply", &["--dry-run"]).await;
    assert_status(&dry_run, ExitStatus::Done);
    assert_eq!(fixture.table.stats().writes, 0);
    let report = fixture.run("apply", &[]).await;
    assert_status(&report, ExitStatus::Done);
    assert!(report.text.starts_with("accepted as revision 1\n+ data_centre yul-a\n"));
    let again = fixture.run("apply", &[]).await;
    assert_eq!(again.text, "no difference to revision 1\n");
    let shown = fixture.run("show", &["config"]).await.text;
    let (register, rules) = shown.split_once("# rules.toml\n").expect("both files");
    std::fs::write(fixture.folder.join("register.toml"), register).expect("file");
    std::fs::write(fixture.folder.join("rules.toml"), rules).expect("file");
    assert_eq!(fixture.run("diff", &[]).await.text, "against revision 1\n");
}

/// Guards against a change of the fleet by files that do not pass the check.
#[compio::test]
async fn invalid_files_change_nothing() {
    let fixture = CommandFixture::new("invalid").await;
    fixture.edit("rules.toml", "replicas = 20", "replicas = \"20\"");
    for command in ["check", "diff", "apply"] {
        let report = fixture.run(command, &[]).await;
        assert_status(&report, ExitStatus::Refused);
        assert!(report.text.starts_with("config_invalid: nothing was changed\n"));
        assert!(report.text.contains("rules.toml:"));
    }
    assert_eq!(fixture.table.stats().writes, 0);
}

/// Guards against an operator whose files undo the change of another, and against a refusal of
/// changes that have nothing to do with each other.
#[compio::test]
async fn changes_to_the_same_entry_conflict_and_others_are_merged() {
    let fixture = CommandFixture::new("conflict").await;
    fixture.run("apply", &["--author=ada"]).await;
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    fixture.run("apply", &["--author=ben"]).await;
    fixture.edit("rules.toml", "replicas = 18", "replicas = 16");
    let report = fixture.run("apply", &["--author=cleo", "--base=1"]).await;
    assert_status(&report, ExitStatus::Refused);
    expect![[r#"
        config_conflict: nothing was changed
        serve carob: also changed by "ben" in revision 2
    "#]]
    .assert_eq(&report.text);
    fixture.edit("rules.toml", "replicas = 16", "replicas = 20");
    fixture.edit("register.toml", "state = \"in\"", "state = \"out\"");
    let report = fixture.run("apply", &["--author=cleo", "--base=1"]).await;
    assert_status(&report, ExitStatus::Done);
    let shown = fixture.run("show", &["config"]).await.text;
    assert!(shown.contains("replicas = 18") && shown.contains("state = \"out\""));
}

/// Guards against two changes that are valid by themselves but not together.
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
    assert_status(&fixture.run("apply", &["--author=ben"]).await, ExitStatus::Done);
    fixture.edit("register.toml", "\"worker-51\"", "\"worker-52\"");
    let report = fixture.run("apply", &["--base=1"]).await;
    assert_status(&report, ExitStatus::Refused);
    expect![[r#"
        config_invalid: nothing was changed
        vm "worker-52", address: VM "worker-51" has the same address
    "#]]
    .assert_eq(&report.text);
}

/// Guards against a change that is lost because another writer appended in between.
#[compio::test]
async fn racing_operators_are_both_accepted() {
    let fixture = CommandFixture::new("race").await;
    fixture.run("apply", &[]).await;
    let other = CommandFixture::new("race2").await;
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    other.edit("register.toml", "state = \"in\"", "state = \"out\"");
    let url = format!("--table-url=http://{}", fixture.handle.address());
    let line = [
        "apply".to_owned(),
        url,
        format!("--register={}", other.path("register.toml")),
        format!("--rules={}", other.path("rules.toml")),
        "--base=1".to_owned(),
    ];
    let options = CtlOptions::parse_args_default(&line).expect("arguments");
    let command = options.command.expect("command");
    let (first, second) =
        futures_util::join!(fixture.run("apply", &["--base=1"]), run_command(&command));
    assert_status(&first, ExitStatus::Done);
    assert_status(&second, ExitStatus::Done);
    let shown = fixture.run("show", &["config"]).await.text;
    assert!(shown.contains("replicas = 18") && shown.contains("state = \"out\""));
}

/// Guards against a report of failure for a change that was accepted, and of success for one that
/// may not be.
#[compio::test]
async fn lost_answers_are_resolved_or_reported() {
    let fixture = CommandFixture::new("lost").await;
    fixture.table.faults().lose_responses(1);
    assert_status(&fixture.run("apply", &[]).await, ExitStatus::Done);
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    fixture.table.faults().lose_responses(100);
    let report = fixture.run("apply", &[]).await;
    assert_status(&report, ExitStatus::OutcomeUnknown);
    assert!(report.text.starts_with("outcome_unknown: "));
    fixture.table.faults().lose_responses(0);
    fixture.table.faults().set_down(true);
    let report = fixture.run("apply", &[]).await;
    assert_status(&report, ExitStatus::Refused);
    assert!(report.text.starts_with("store_unavailable: "));
}

/// Guards against an accepted change that operators believe to be in force while a node lacks it.
#[compio::test]
async fn nodes_without_the_change_are_named() {
    let fixture = CommandFixture::new("push").await;
    let (good, stuck) = (NodeFake::new(true).await, NodeFake::new(false).await);
    let token = format!("--admin-token-file={}", fixture.path("token"));
    let both = [&*good.argument(), &*stuck.argument(), &*token, "--wait=1"];
    let report = fixture.run("apply", &both).await;
    assert_status(&report, ExitStatus::NotInForce);
    let line = format!(
        "node {}: not in force: entry has revision 0, ready, confirmed 7 ms ago\n",
        stuck.handle.address()
    );
    assert!(report.text.contains(&line), "{}", report.text);
    assert!(!report.text.contains(&good.handle.address().to_string()));
    assert_eq!(good.revision.get(), 1);
    assert_eq!(good.changes.borrow()[0].upsert.len(), 76, "every entry of the examples");
    fixture.edit("register.toml", "state = \"in\"", "state = \"out\"");
    assert_status(&fixture.run("apply", &[&good.argument(), &token]).await, ExitStatus::Done);
    assert_eq!(good.revision.get(), 2, "pushed without --wait, too");
    fixture.edit("rules.toml", "replicas = 20", "replicas = 18");
    let report = fixture.run("apply", &[&good.argument(), &token, "--wait=5"]).await;
    assert_status(&report, ExitStatus::Done);
    assert!(report.text.ends_with("in force on 1 nodes\n"));
}

/// Guards against calls without a token and against tokens that are taken from elsewhere.
#[compio::test]
async fn a_missing_token_file_is_a_usage_error() {
    let fixture = CommandFixture::new("token").await;
    assert_status(&fixture.run("apply", &["--wait=1"]).await, ExitStatus::Usage);
    let report = fixture.run("apply", &["--admin-token-file=/nonexistent"]).await;
    assert_status(&report, ExitStatus::Usage);
    assert_status(&fixture.run("show", &["everything"]).await, ExitStatus::Usage);
    assert_status(&fixture.run("apply", &["--base=9"]).await, ExitStatus::Usage);
    assert_eq!(fixture.table.stats().writes, 0);
}

/// Guards against explanations that do not name the cause.
#[compio::test]
async fn why_names_the_cause() {
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
        rule carob: wants 20 replicas, 1 groups are recorded
        rule carob: domain yul-c-f1 has room; the planner forms a group there
        group carob-1: data centre yul-a is out
        group carob-1: takes no new work until it is repaired or removed
        group carob-1: VM worker-02: has not answered since 1000 (Unix ms)
        group carob-1: has version 2025-12, version 2026-01 is rolled one group at a time
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
    assert_status(&fixture.run("why", &["nothing"]).await, ExitStatus::Refused);
    assert_eq!(fixture.run("apply", &[]).await.text, "no difference to revision 2\n");
}
