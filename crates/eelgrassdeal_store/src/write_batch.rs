//! Group commit: concurrent writes of single rows share transactions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use crate::table::{RowKey, RowWrite, StoreError, TableStore, WriteAction};

/// Largest number of writes that the service takes in one transaction.
pub(crate) const MAX_BATCH_ROWS: usize = 25;
/// The service limits a transaction to 4 MiB; base64 adds a third.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// A transaction without an answer must not hold up later writes until its timeout.
const MAX_IN_FLIGHT: usize = 4;
/// Writes wait this long for a transaction in flight before they start another.
const LINGER: Duration = Duration::from_millis(50);

struct QueuedWrite {
    write: RowWrite,
    queued_at: Instant,
    reply: oneshot::Sender<Result<(), StoreError>>,
}

/// Collects writes and sends them in transactions.
///
/// While no transaction is in flight, the writes of one turn of the event loop are sent together;
/// while one is in flight, writes collect for the next. A write whose condition fails is answered
/// alone and the others are sent again without it. A row is never in two transactions at once,
/// because the service cancels transactions that meet on a row.
#[derive(Clone)]
pub(crate) struct WriteBatcher {
    inner: Rc<BatcherState>,
}

struct BatcherState {
    store: Rc<dyn TableStore>,
    max_rows: usize,
    queue: RefCell<VecDeque<QueuedWrite>>,
    keys_in_flight: RefCell<BTreeSet<RowKey>>,
    in_flight: Cell<usize>,
    is_start_scheduled: Cell<bool>,
    is_linger_scheduled: Cell<bool>,
    transactions: Cell<u64>,
}

impl WriteBatcher {
    pub(crate) fn new(store: Rc<dyn TableStore>, max_rows: usize) -> Self {
        let inner = BatcherState {
            store,
            max_rows: max_rows.clamp(1, MAX_BATCH_ROWS),
            queue: RefCell::default(),
            keys_in_flight: RefCell::default(),
            in_flight: Cell::new(0),
            is_start_scheduled: Cell::new(false),
            is_linger_scheduled: Cell::new(false),
            transactions: Cell::new(0),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Transactions sent so far.
    pub(crate) fn transactions(&self) -> u64 {
        self.inner.transactions.get()
    }

    /// Writes one row. The write goes on if the returned future is dropped.
    pub(crate) async fn submit(&self, write: RowWrite) -> Result<(), StoreError> {
        let (reply, answer) = oneshot::channel();
        let queued = QueuedWrite { write, queued_at: Instant::now(), reply };
        self.inner.queue.borrow_mut().push_back(queued);
        match self.inner.in_flight.get() {
            0 => self.schedule_start(),
            _ => {
                self.launch_due();
                self.schedule_linger();
            }
        }
        answer.await.unwrap_or(Err(StoreError::OutcomeUnknown))
    }

    fn schedule_start(&self) {
        if self.inner.is_start_scheduled.replace(true) {
            return;
        }
        let batcher = self.clone();
        compio::runtime::spawn(async move {
            batcher.inner.is_start_scheduled.set(false);
            batcher.launch_due();
        })
        .detach();
    }

    fn schedule_linger(&self) {
        if self.inner.is_linger_scheduled.replace(true) {
            return;
        }
        let batcher = self.clone();
        compio::runtime::spawn(async move {
            while !batcher.inner.queue.borrow().is_empty() {
                compio::time::sleep(LINGER).await;
                batcher.launch_due();
            }
            batcher.inner.is_linger_scheduled.set(false);
        })
        .detach();
    }

    fn launch_due(&self) {
        while self.is_launch_due() {
            let batch = self.take_batch();
            if batch.is_empty() {
                return;
            }
            self.inner.in_flight.set(self.inner.in_flight.get() + 1);
            let batcher = self.clone();
            compio::runtime::spawn(async move {
                batcher.send(batch).await;
                batcher.inner.in_flight.set(batcher.inner.in_flight.get() - 1);
                batcher.launch_due();
            })
            .detach();
        }
    }

    fn is_launch_due(&self) -> bool {
        let queue = self.inner.queue.borrow();
        match (queue.front(), self.inner.in_flight.get()) {
            (None, _) => false,
            (Some(_), 0) => true,
            (Some(_), MAX_IN_FLIGHT..) => false,
            (Some(oldest), _) => {
                queue.len() >= self.inner.max_rows || oldest.queued_at.elapsed() >= LINGER
            }
        }
    }

    /// Takes writes of different rows that are in no transaction in flight; the rest stays queued.
    fn take_batch(&self) -> Vec<QueuedWrite> {
        let mut queue = self.inner.queue.borrow_mut();
        let mut keys = self.inner.keys_in_flight.borrow_mut();
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        let mut kept = VecDeque::new();
        while let Some(queued) = queue.pop_front() {
            let bytes = body_bytes(&queued.write);
            let has_room = batch.len() < self.inner.max_rows
                && (batch.is_empty() || batch_bytes + bytes <= MAX_BATCH_BYTES);
            match has_room && keys.insert(queued.write.key.clone()) {
                true => {
                    batch_bytes += bytes;
                    batch.push(queued);
                }
                false => kept.push_back(queued),
            }
        }
        *queue = kept;
        batch
    }

    async fn send(&self, mut batch: Vec<QueuedWrite>) {
        while !batch.is_empty() {
            let result = self.transact(&batch).await;
            batch = match result {
                Err(StoreError::Conflict { writes }) if !writes.is_empty() => {
                    self.answer_conflicts(batch, &writes)
                }
                // One write may be at fault for all, and the answer does not name it.
                Err(StoreError::Conflict { .. } | StoreError::Malformed) if batch.len() > 1 => {
                    self.send_singly(batch).await
                }
                result => {
                    batch.into_iter().for_each(|queued| self.answer(queued, result.clone()));
                    Vec::new()
                }
            };
        }
    }

    async fn send_singly(&self, batch: Vec<QueuedWrite>) -> Vec<QueuedWrite> {
        for queued in batch {
            let result = self.transact(std::slice::from_ref(&queued)).await;
            self.answer(queued, result);
        }
        Vec::new()
    }

    /// Answers the writes whose condition failed and returns the others.
    fn answer_conflicts(&self, batch: Vec<QueuedWrite>, failed: &[usize]) -> Vec<QueuedWrite> {
        let mut rest = Vec::new();
        for (position, queued) in batch.into_iter().enumerate() {
            match failed.contains(&position) {
                true => self.answer(queued, Err(StoreError::Conflict { writes: vec![0] })),
                false => rest.push(queued),
            }
        }
        rest
    }

    async fn transact(&self, batch: &[QueuedWrite]) -> Result<(), StoreError> {
        self.inner.transactions.set(self.inner.transactions.get() + 1);
        let writes = batch.iter().map(|queued| queued.write.clone()).collect();
        self.inner.store.transact(writes).await.map(|_| ()).map_err(|report| {
            log::debug!("write of {} rows: {report:?}", batch.len());
            report.current_context().clone()
        })
    }

    fn answer(&self, queued: QueuedWrite, result: Result<(), StoreError>) {
        self.inner.keys_in_flight.borrow_mut().remove(&queued.write.key);
        // A submitter that no longer waits has given up the write; nothing is to be told.
        let _ = queued.reply.send(result);
    }
}

fn body_bytes(write: &RowWrite) -> usize {
    match &write.action {
        WriteAction::Put { body, .. } => body.len(),
        WriteAction::Delete | WriteAction::Check => 0,
    }
}
