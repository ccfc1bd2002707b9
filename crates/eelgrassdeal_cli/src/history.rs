//! Reads the configuration log and reconstructs the configuration at its revisions.

use std::collections::BTreeMap;
use std::rc::Rc;

use cyper::Client;
use eelgrassdeal_control::{EntryKind, FleetConfig, entry_key};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_store::{ConfigLog, HttpTableStore, LogError};
use eelgrassdeal_types::{ErrorKind, Revision};
use error_stack::Report;

use crate::{CommandReport, CommandResult, ExitStatus, read_token};

/// The changes of all revisions up to the newest one that was read, the head.
pub(crate) struct ConfigHistory {
    log: ConfigLog,
    /// Ordered by revision, starting with revision 1.
    changes: Vec<ConfigChange>,
    head: FleetConfig,
}

impl ConfigHistory {
    /// Reads the log from the table service at `url`. `token_file` contains the token for the
    /// service; an empty path means that requests carry no token.
    pub(crate) async fn connect(url: &str, token_file: &str) -> CommandResult<Self> {
        let token = read_token(token_file)?;
        let client = Client::new().map_err(|error| {
            CommandReport::new(ExitStatus::UsageError, format!("HTTP client: {error}\n"))
        })?;
        let store = HttpTableStore::new(client, url).with_token(token);
        Self::read(ConfigLog::new(Rc::new(store))).await
    }

    async fn read(log: ConfigLog) -> CommandResult<Self> {
        let mut history = Self { log, changes: Vec::new(), head: FleetConfig::new() };
        history.refresh().await?;
        Ok(history)
    }

    /// Reads the revisions that were accepted since the last read.
    pub(crate) async fn refresh(&mut self) -> CommandResult<()> {
        let changes =
            self.log.changes_after(self.head.revision()).await.map_err(log_error_report)?;
        for change in changes {
            self.head.apply(&change);
            self.changes.push(change);
        }
        Ok(())
    }

    /// The log in the table service, to which changes are appended.
    pub(crate) fn log(&self) -> &ConfigLog {
        &self.log
    }

    /// The configuration at the newest revision that was read.
    pub(crate) fn head(&self) -> &FleetConfig {
        &self.head
    }

    /// The configuration at `revision`; `None` if `revision` is newer than the head.
    pub(crate) fn config_at(&self, revision: Revision) -> Option<FleetConfig> {
        let mut fleet = FleetConfig::new();
        let mut changes = self.changes.iter();
        while fleet.revision() < revision {
            fleet.apply(changes.next()?);
        }
        Some(fleet)
    }

    /// Kind and id of each entry that was written or removed after `revision`, with the latest
    /// change that did so.
    pub(crate) fn entries_changed_after(
        &self,
        revision: Revision,
    ) -> BTreeMap<(EntryKind, String), &ConfigChange> {
        let mut changed = BTreeMap::new();
        for change in self.changes.iter().filter(|change| change.revision > revision) {
            let written = change.upsert.iter().filter_map(entry_key);
            let removed = (change.remove.iter())
                .filter_map(|key| Some((EntryKind::from_name(&key.kind)?, key.id.as_str())));
            for (kind, id) in written.chain(removed) {
                changed.insert((kind, id.to_owned()), change);
            }
        }
        changed
    }
}

fn log_error_report(report: Report<LogError>) -> CommandReport {
    let kind = match report.current_context() {
        LogError::Store => ErrorKind::StoreUnavailable,
        LogError::Corrupt => ErrorKind::Internal,
    };
    let text = format!("{kind}: {report}; nothing was changed\n");
    CommandReport::new(ExitStatus::Failed, text)
}
