//! Crashes of upstreams: their confirmation, their messages between nodes, and the quarantines that
//! follow from them. The decisions are those of [`CrashLedger`].
//!
//! [`CrashLedger`]: eelgrassdeal_dispatch::CrashLedger

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use eelgrassdeal_dispatch::{
    CrashReport, CrashSuspect, MAX_QUARANTINE, Quarantine, SharedTable, SuspectReport,
    UpstreamRecord,
};
use eelgrassdeal_schema::gateway::{
    AnsweredParts, CrashSuspect as SuspectMessage, InFlightSuspect, QuarantineRow, SharedPart,
    UpstreamCrash, crash_suspect,
};
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_store::{
    CONTROL_PARTITION, RowCondition, RowKey, RowWrite, TableName, TableStore,
};
use eelgrassdeal_types::{ModelId, ServiceId, unix_ms_now};

use crate::peers::millis;
use crate::state::GatewayState;

/// A response that began longer ago than this does not crash its upstream any more.
const CRASH_ONSET: Duration = Duration::from_millis(500);
/// Number of checks whether the process of an upstream has ended.
const CRASH_CHECKS: u32 = 2;
/// Delay between two checks. The listener may be closed shortly after the connections.
pub(crate) const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(60);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Nodes that decide on the same quarantine wait for a random part of this time, so that mostly one
/// of them stores it.
const STORE_JITTER: Duration = Duration::from_millis(250);
/// Delay after a failed write to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether a response that began at `response_began`, if it did, may have caused the crash of its
/// upstream now.
pub(crate) fn is_crash_onset(response_began: Option<Instant>) -> bool {
    response_began.is_none_or(|began| began.elapsed() <= CRASH_ONSET)
}

/// Records a crash if the process of an upstream has ended that closed a connection before the
/// response was complete. `suspects` are those of the request, from general to specific.
pub(crate) fn check_for_crash(
    state: &Rc<GatewayState>,
    record: Arc<UpstreamRecord>,
    suspects: Vec<CrashSuspect>,
) {
    let (state, at) = (state.clone(), Instant::now());
    compio::runtime::spawn(async move {
        if has_process_ended(&record.address).await {
            let suspects = suspects.into_iter().zip(0..).map(|(suspect, specificity)| {
                SuspectReport { suspect, specificity, answered_at: None }
            });
            let upstream = record.upstream.clone();
            let report = CrashReport { upstream, at, suspects: suspects.collect() };
            let suspects: Vec<_> =
                report.suspects.iter().map(|reported| reported.suspect.to_string()).collect();
            log::info!(
                "event=upstream_crashed upstream={} suspects={}",
                report.upstream,
                suspects.join(",")
            );
            metrics::counter!("eelgrassdeal_observed_crashes_total").increment(1);
            state.loads.borrow_mut().record_refused_connection(&report.upstream, Instant::now());
            if state.crash_ledger.borrow_mut().record_crash(report, Instant::now()) {
                state.crash_observed.notify(usize::MAX);
            }
        }
    })
    .detach();
}

/// Whether the host at `address` refuses connections. A host that does not answer proves nothing.
async fn has_process_ended(address: &str) -> bool {
    let Ok(address) = address.parse::<std::net::SocketAddr>() else { return false };
    for _ in 0..CRASH_CHECKS {
        let connect = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        match connect {
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            _ => compio::time::sleep(CRASH_CHECK_INTERVAL).await,
        }
    }
    false
}

/// Decides on the suspects of recent crashes, and stores the quarantines that begin.
pub(crate) fn decide_quarantines(state: &Rc<GatewayState>) {
    let begun = state.crash_ledger.borrow_mut().decide(Instant::now());
    for quarantine in begun {
        log::warn!(
            "event=quarantined suspect={} period_ms={}",
            quarantine.suspect,
            quarantine.period.as_millis()
        );
        metrics::counter!("eelgrassdeal_quarantines_total").increment(1);
        compio::runtime::spawn(store_quarantine(state.clone(), quarantine)).detach();
    }
}

/// Stores a quarantine for nodes that start later, unless another node has stored it. Retries until
/// it succeeds or the quarantine has ended.
async fn store_quarantine(state: Rc<GatewayState>, quarantine: Quarantine) {
    compio::time::sleep(STORE_JITTER.mul_f64(rand::random())).await;
    while Instant::now() < quarantine.until && !try_store_quarantine(&state, &quarantine).await {
        compio::time::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Returns whether this or another node has stored the quarantine.
async fn try_store_quarantine(state: &GatewayState, quarantine: &Quarantine) -> bool {
    let name = quarantine.suspect.to_string();
    let row = encode_quarantine(quarantine, Instant::now());
    let condition = match stored_row(state, &name) {
        Some((version, stored)) => {
            let needed_unix_ms = row.until_unix_ms.saturating_sub(row.period_ms / 2);
            if stored.until_unix_ms >= needed_unix_ms {
                return true;
            }
            RowCondition::VersionIs(version)
        }
        None => RowCondition::Absent,
    };
    let key = RowKey::new(TableName::Suspects, CONTROL_PARTITION, &name);
    let write = RowWrite::put(key, condition, encode_message(&row));
    let stored = state.store.transact(vec![write]).await;
    stored
        .inspect_err(|report| log::debug!("event=quarantine_unwritten reason=\"{report}\""))
        .is_ok()
}

/// Version and content of a row in this node's copy of the table of suspects.
fn stored_row(state: &GatewayState, name: &str) -> Option<(u64, QuarantineRow)> {
    let mirror = state.mirror.borrow();
    let mut rows = mirror.table(SharedTable::Suspects)?.rows();
    let (_, version, value) = rows.find(|(key, ..)| &***key == name)?;
    Some((version, decode_message(value).ok()?))
}

/// Begins the quarantines that this node's copy of the table of suspects contains.
pub(crate) fn adopt_stored_quarantines(state: &GatewayState) {
    let mirror = state.mirror.borrow();
    let rows = mirror.table(SharedTable::Suspects).into_iter().flat_map(|table| table.rows());
    let decoded = rows.filter_map(|(key, _, value)| {
        decode_message::<QuarantineRow>(value)
            .inspect_err(|error| log::warn!("event=row_ignored row={key} reason=\"{error}\""))
            .ok()
    });
    adopt_quarantines(state, decoded, Instant::now());
}

/// Begins quarantines that other nodes decided on.
pub(crate) fn adopt_quarantines(
    state: &GatewayState,
    rows: impl IntoIterator<Item = QuarantineRow>,
    now: Instant,
) {
    let mut ledger = state.crash_ledger.borrow_mut();
    rows.into_iter()
        .filter_map(|row| decode_quarantine(row, now))
        .for_each(|quarantine| ledger.adopt(quarantine));
}

/// Messages about the quarantines that have not ended, for another node.
pub(crate) fn encode_quarantines(state: &GatewayState, now: Instant) -> Vec<QuarantineRow> {
    let ledger = state.crash_ledger.borrow();
    ledger.quarantines(now).map(|quarantine| encode_quarantine(quarantine, now)).collect()
}

/// Tries once to store the quarantines that are not stored yet, for example because the node that
/// decided on them has ended while the store was away, and to remove those that ended long ago. For
/// one node, at intervals.
pub(crate) fn maintain_stored_quarantines(state: &Rc<GatewayState>) {
    let lasting: Vec<_> =
        state.crash_ledger.borrow().quarantines(Instant::now()).cloned().collect();
    let unstored =
        lasting.into_iter().filter(|one| stored_row(state, &one.suspect.to_string()).is_none());
    let unstored: Vec<_> = unstored.collect();
    let state = state.clone();
    compio::runtime::spawn(async move {
        // The caller tries again, also while the store is away.
        for quarantine in unstored {
            try_store_quarantine(&state, &quarantine).await;
        }
        remove_ended_quarantines(&state).await;
    })
    .detach();
}

/// Removes the stored quarantines that ended longer ago than they lasted. Until then a suspect is
/// quarantined again at its first crash.
async fn remove_ended_quarantines(state: &GatewayState) {
    let now_unix_ms = unix_ms_now();
    let ended: Vec<_> = {
        let mirror = state.mirror.borrow();
        let rows = mirror.table(SharedTable::Suspects).into_iter().flat_map(|table| table.rows());
        let is_ended = |value: &[u8]| {
            decode_message::<QuarantineRow>(value)
                .is_ok_and(|row| row.until_unix_ms.saturating_add(row.period_ms) < now_unix_ms)
        };
        rows.filter(|(_, _, value)| is_ended(value))
            .map(|(key, version, _)| (key.clone(), version))
            .collect()
    };
    for (name, version) in ended {
        let key = RowKey::new(TableName::Suspects, CONTROL_PARTITION, &name);
        let write = RowWrite::delete(key, RowCondition::VersionIs(version));
        if let Err(report) = state.store.transact(vec![write]).await {
            log::debug!("event=quarantine_unremoved reason=\"{report}\"");
        }
    }
}

/// Messages about recent crashes, for another node.
pub(crate) fn encode_crashes(state: &GatewayState, now: Instant) -> Vec<UpstreamCrash> {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let encode = |report: CrashReport| UpstreamCrash {
        upstream: report.upstream.to_string(),
        age_ms: age(report.at),
        suspects: report
            .suspects
            .into_iter()
            .map(|reported| InFlightSuspect {
                suspect: Some(encode_suspect(&reported.suspect)),
                specificity: reported.specificity,
                answered_age_ms: reported.answered_at.map(age),
            })
            .collect(),
    };
    state.crash_ledger.borrow().reports(now).into_iter().map(encode).collect()
}

/// Records the crashes that another node tells of.
pub(crate) fn apply_crashes(state: &GatewayState, crashes: Vec<UpstreamCrash>, now: Instant) {
    let time = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into())).unwrap_or(now);
    for crash in crashes {
        let suspects = crash.suspects.into_iter().filter_map(|message| {
            Some(SuspectReport {
                suspect: decode_suspect(message.suspect?)?,
                specificity: message.specificity,
                answered_at: message.answered_age_ms.map(time),
            })
        });
        let report = CrashReport {
            upstream: Arc::from(crash.upstream),
            at: time(crash.age_ms),
            suspects: suspects.collect(),
        };
        let is_news = state.crash_ledger.borrow_mut().record_crash(report, now);
        if is_news && state.directory.borrow().is_large_fleet_hub() {
            state.crash_observed.notify(usize::MAX);
        }
    }
}

/// Messages about parts that were answered shortly before, for another node.
pub(crate) fn encode_answered_parts(state: &GatewayState, now: Instant) -> Vec<AnsweredParts> {
    let ledger = state.crash_ledger.borrow();
    let mut messages: BTreeMap<(ServiceId, ModelId), AnsweredParts> = BTreeMap::new();
    for suspect in ledger.response_news(now) {
        if let CrashSuspect::PromptPart { service, model, part } = suspect {
            let message = messages.entry((service.clone(), model.clone()));
            message
                .or_insert_with(|| AnsweredParts {
                    service: service.to_string(),
                    model: model.to_string(),
                    parts: Vec::new(),
                })
                .parts
                .push(*part);
        }
    }
    messages.into_values().collect()
}

/// Records the parts that another node tells were answered. Hubs of a large fleet tell them further.
pub(crate) fn apply_answered_parts(
    state: &GatewayState,
    messages: Vec<AnsweredParts>,
    now: Instant,
) {
    let is_told = state.directory.borrow().is_large_fleet_hub();
    let mut ledger = state.crash_ledger.borrow_mut();
    for message in messages {
        let (service, model): (ServiceId, ModelId) =
            (Arc::from(message.service), Arc::from(message.model));
        for part in message.parts {
            let (service, model) = (service.clone(), model.clone());
            let suspect = CrashSuspect::PromptPart { service, model, part };
            ledger.record_response_elsewhere(suspect, now, is_told);
        }
    }
}

fn encode_suspect(suspect: &CrashSuspect) -> SuspectMessage {
    let (service, cause) = match suspect {
        CrashSuspect::PromptPart { service, model, part } => (
            service,
            crash_suspect::Cause::Part(SharedPart { model: model.to_string(), id: *part }),
        ),
        CrashSuspect::WholeRequest { service, digest } => {
            (service, crash_suspect::Cause::Request(*digest))
        }
    };
    SuspectMessage { service: service.to_string(), cause: Some(cause) }
}

/// Returns `None` for a cause that this node does not know.
fn decode_suspect(message: SuspectMessage) -> Option<CrashSuspect> {
    let service = Arc::from(message.service);
    Some(match message.cause? {
        crash_suspect::Cause::Part(part) => {
            CrashSuspect::PromptPart { service, model: Arc::from(part.model), part: part.id }
        }
        crash_suspect::Cause::Request(digest) => CrashSuspect::WholeRequest { service, digest },
    })
}

fn encode_quarantine(quarantine: &Quarantine, now: Instant) -> QuarantineRow {
    let left = quarantine.until.saturating_duration_since(now);
    QuarantineRow {
        suspect: Some(encode_suspect(&quarantine.suspect)),
        until_unix_ms: unix_ms_now() + left.as_millis() as u64,
        period_ms: quarantine.period.as_millis() as u64,
    }
}

/// Returns `None` for a quarantine that has ended, or of a suspect that this node does not know.
fn decode_quarantine(row: QuarantineRow, now: Instant) -> Option<Quarantine> {
    let left = Duration::from_millis(row.until_unix_ms.checked_sub(unix_ms_now())?);
    let period = Duration::from_millis(row.period_ms).min(MAX_QUARANTINE);
    Some(Quarantine {
        suspect: decode_suspect(row.suspect?)?,
        until: now + left.min(period),
        period,
    })
}
