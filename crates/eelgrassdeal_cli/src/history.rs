//! The configuration log as the commands read it.

use std::collections::BTreeMap;
use std::rc::Rc;

use cyper::Client;
use eelgrassdeal_control::{EntryKind, FleetConfig, entry_key};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_store::{ConfigLog, HttpTableStore, LogError};
use eelgrassdeal_types::{ErrorKind, Revision};
use error_stack::Report;

use crate::{CommandReport, CommandResult, ExitStatus, read_token};

/// All revisions up to the head, and the configuration there.
pub(crate) struct FleetHistory {
    log: ConfigLog,
    changes: Vec<ConfigChange>,
    head: FleetConfig,
}

impl FleetHistory {
    /// Reads the log of the table service at `url`.
    pub(crate) async fn connect(url: &str, token_file: &str) -> CommandResult<Self> {
        let token = read_token(token_file)?;
        let client = Client::new().map_err(|error| {
            CommandReport::new(ExitStatus::Usage, format!("HTTP client: {error}\n"))
        })?;
        let store = HttpTableStore::new(client, url).with_token(token);
        Self::read(ConfigLog::new(Rc::new(store))).await
    }

    async fn read(log: ConfigLog) -> CommandResult<Self> {
        let mut history = Self { log, changes: Vec::new(), head: FleetConfig::new() };
        history.refresh().await?;
        Ok(history)
    }

    /// Reads the revisions that were accepted in the meantime.
    pub(crate) async fn refresh(&mut self) -> CommandResult<()> {
        let changes = self.log.changes_after(self.head.revision()).await.map_err(unreadable_log)?;
        for change in changes {
            self.head.apply(&change);
            self.changes.push(change);
        }
        Ok(())
    }

    pub(crate) fn log(&self) -> &ConfigLog {
        &self.log
    }

    pub(crate) fn head(&self) -> &FleetConfig {
        &self.head
    }

    /// The configuration at `revision`; `None` for a revision that does not exist yet.
    pub(crate) fn at(&self, revision: Revision) -> Option<FleetConfig> {
        let mut fleet = FleetConfig::new();
        let mut changes = self.changes.iter();
        while fleet.revision() < revision {
            fleet.apply(changes.next()?);
        }
        Some(fleet)
    }

    /// The entries that were changed after `revision`, with the last change of each.
    pub(crate) fn touched_after(
        &self,
        revision: Revision,
    ) -> BTreeMap<(EntryKind, String), &ConfigChange> {
        let mut touched = BTreeMap::new();
        for change in self.changes.iter().filter(|change| change.revision > revision) {
            let written = change.upsert.iter().filter_map(entry_key);
            let removed = (change.remove.iter())
                .filter_map(|key| Some((EntryKind::from_name(&key.kind)?, key.id.as_str())));
            for (kind, id) in written.chain(removed) {
                touched.insert((kind, id.to_owned()), change);
            }
        }
        touched
    }
}

fn unreadable_log(report: Report<LogError>) -> CommandReport {
    let kind = match report.current_context() {
        LogError::Store => ErrorKind::StoreUnavailable,
        LogError::Corrupt => ErrorKind::Internal,
    };
    let text = format!("{kind}: {report}; nothing was changed\n");
    CommandReport::new(ExitStatus::Refused, text)
}
