//! `check`: findings about files before they are sent.

use std::fmt::Write as _;
use std::io::Read;
use std::path::Path;
use std::time::Duration;

use eelgrassdeal_control::{FileProblem, FleetFiles};
use eelgrassdeal_platform::{check_config, compare_configs};
use eelgrassdeal_types::{CheckFinding, FindingKind, FindingSeverity};
use serde_json::json;

use crate::options::CheckOptions;
use crate::{CommandReport, CommandResult, ExitStatus, load_files};

/// Largest configuration of the gateway that is read. Its store takes a quarter of it.
const MAX_CONFIG_BYTES: u64 = 4 * 1024 * 1024;

/// How a report is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportFormat {
    Text,
    Json,
}

/// A finding and the file that it is about.
type FileFinding = (String, CheckFinding);

/// Checks the product's own files, or a configuration of the gateway.
pub(crate) fn check(options: &CheckOptions) -> CommandResult<CommandReport> {
    let usage_error = |text: String| CommandReport::new(ExitStatus::UsageError, text);
    let format = match options.format.as_str() {
        "text" => ReportFormat::Text,
        "json" => ReportFormat::Json,
        other => return Err(usage_error(format!("--format is text or json, not {other:?}\n"))),
    };
    match options.gateway.as_str() {
        "" if !options.previous.is_empty() || options.caller_deadline_ms.is_some() => {
            let text = "--previous and --caller-deadline-ms need --gateway; `diff` compares the \
                register and the rules with the accepted configuration\n";
            Err(usage_error(text.to_owned()))
        }
        "" => check_fleet_files(options, format),
        file => Ok(check_gateway(file, options, format)),
    }
}

/// Checks the register and the rules. Their findings are all errors, and a file that can't be read ends with
/// [`ExitStatus::Failed`] like any other.
fn check_fleet_files(options: &CheckOptions, format: ReportFormat) -> CommandResult<CommandReport> {
    if format == ReportFormat::Text {
        let count = load_files(&options.register, &options.rules)?.fleet().entries().count();
        return Ok(CommandReport::new(ExitStatus::Success, format!("{count} entries are valid\n")));
    }
    let (register, rules) = (Path::new(&options.register), Path::new(&options.rules));
    let problems = match FleetFiles::load(register, rules) {
        Ok(files) => files.check(),
        Err(report) => report.current_context().problems.clone(),
    };
    let findings: Vec<_> = problems.into_iter().map(file_finding).collect();
    let status = if findings.is_empty() { ExitStatus::Success } else { ExitStatus::Failed };
    Ok(report_json(status, &findings, None))
}

fn file_finding(problem: FileProblem) -> FileFinding {
    let FileProblem { file, line, kind, field, message } = problem;
    (file.display().to_string(), CheckFinding::new_error(kind, line, field, message))
}

fn check_gateway(file: &str, options: &CheckOptions, format: ReportFormat) -> CommandReport {
    let in_file = |findings: Vec<CheckFinding>, file: &str| -> Vec<FileFinding> {
        findings.into_iter().map(|finding| (file.to_owned(), finding)).collect()
    };
    let caller_deadline = options.caller_deadline_ms.map(Duration::from_millis);
    let next = read_config(file);
    let mut findings = in_file(
        match &next {
            Ok(bytes) => check_config(bytes, caller_deadline),
            Err(finding) => vec![finding.clone()],
        },
        file,
    );
    let mut differences = None;
    if !options.previous.is_empty() {
        match (read_config(&options.previous), next) {
            (Err(finding), _) => findings.push((options.previous.clone(), finding)),
            (Ok(_), Err(_)) => {}
            (Ok(previous), Ok(next)) => match compare_configs(&previous, &next) {
                Ok(comparison) => {
                    findings.extend(in_file(comparison.findings, file));
                    differences = Some(comparison.differences);
                }
                // What makes the new file unreadable is among its own findings.
                Err((true, _)) => {}
                Err((false, finding)) => findings.push((options.previous.clone(), finding)),
            },
        }
    }
    let has_kind = |kind| findings.iter().any(|(_, finding)| finding.kind == kind);
    let count =
        |severity| findings.iter().filter(|(_, finding)| finding.severity == severity).count();
    let (errors, warnings) = (count(FindingSeverity::Error), count(FindingSeverity::Warning));
    let status = match errors {
        _ if has_kind(FindingKind::UnusableFile) => ExitStatus::UsageError,
        0 => ExitStatus::Success,
        _ => ExitStatus::Failed,
    };
    if format == ReportFormat::Json {
        return report_json(status, &findings, differences.as_deref());
    }
    let mut text = String::new();
    for (file, finding) in &findings {
        let _ = writeln!(text, "{file}:{finding}");
    }
    match &differences {
        None => {}
        Some(differences) if differences.is_empty() => {
            let _ = writeln!(text, "nothing differs from {}", options.previous);
        }
        Some(differences) => {
            let _ = writeln!(text, "differences from {}:", options.previous);
            for difference in differences {
                let _ = writeln!(text, "  {difference}");
            }
        }
    }
    let _ = writeln!(text, "{errors} errors, {warnings} warnings");
    CommandReport::new(status, text)
}

/// Reads a configuration of the gateway.
fn read_config(file: &str) -> Result<Vec<u8>, CheckFinding> {
    let unusable =
        |message: String| CheckFinding::new_error(FindingKind::UnusableFile, 0, "", message);
    let mut bytes = Vec::new();
    let opened = std::fs::File::open(file).map_err(|error| unusable(error.to_string()))?;
    let read = opened.take(MAX_CONFIG_BYTES + 1).read_to_end(&mut bytes);
    match read {
        Err(error) => Err(unusable(error.to_string())),
        Ok(_) if bytes.len() as u64 > MAX_CONFIG_BYTES => {
            Err(unusable(format!("the file is larger than {MAX_CONFIG_BYTES} bytes")))
        }
        Ok(_) => Ok(bytes),
    }
}

/// Writes a report for programs. `differences` is `None` if there was no comparison.
fn report_json(
    status: ExitStatus,
    findings: &[FileFinding],
    differences: Option<&[String]>,
) -> CommandReport {
    let findings: Vec<_> = findings
        .iter()
        .map(|(file, finding)| {
            json!({
                "file": file,
                "line": finding.line,
                "field": finding.field,
                "severity": finding.severity.name(),
                "kind": finding.kind.name(),
                "message": finding.message,
            })
        })
        .collect();
    let result = match status {
        ExitStatus::Success => "clean",
        ExitStatus::UsageError => "unusable",
        _ => "errors",
    };
    let report = json!({ "result": result, "findings": findings, "differences": differences });
    let text = format!("{report:#}\n");
    CommandReport { is_data: true, ..CommandReport::new(status, text) }
}
