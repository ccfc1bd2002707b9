//! Group commit: concurrent writes of single rows share transactions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use crate::table::{RowKey, RowWrite, StoreError, TableStore, WriteAction};

/// Largest number of writes that the table service accepts in one transaction.
pub(crate) const MAX_BATCH_ROWS: usize = 25;
/// Limit on the body bytes of a transaction. The service limits a transaction to 4 MiB, and base64
/// adds a third.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Transactions that may be in flight at once. With more than one, a transaction without a response
/// does not delay later writes until its timeout.
const MAX_IN_FLIGHT: usize = 4;
/// While a transaction is in flight, writes wait this long for it before another transaction is
/// started.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(50);

struct QueuedWrite {
    write: RowWrite,
    queued_at: Instant,
    result_sender: oneshot::Sender<Result<(), StoreError>>,
}

/// Collects writes and sends them in transactions.
///
/// While no transaction is in flight, the writes of one turn of the event loop are sent together.
/// While a transaction is in flight, writes are queued for the next one. When the condition of a
/// write fails, only that write fails, and the others are sent again without it. A row is never in
/// two transactions in flight, because the service cancels concurrent transactions on the same row.
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
    /// Whether a task was spawned that starts the due transactions in the next turn of the event
    /// loop, and has not run yet.
    is_start_scheduled: Cell<bool>,
    /// Whether a task is running that starts the due transactions every [`MAX_QUEUE_DELAY`] until
    /// the queue is empty.
    is_delayed_start_scheduled: Cell<bool>,
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
            is_delayed_start_scheduled: Cell::new(false),
            transactions: Cell::new(0),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Number of transactions sent so far, retries included.
    pub(crate) fn transactions(&self) -> u64 {
        self.inner.transactions.get()
    }

    /// Queues the write of one row and waits for its result. The write is carried out even if the
    /// returned future is dropped.
    pub(crate) async fn submit(&self, write: RowWrite) -> Result<(), StoreError> {
        let (result_sender, result_receiver) = oneshot::channel();
        let queued = QueuedWrite { write, queued_at: Instant::now(), result_sender };
        self.inner.queue.borrow_mut().push_back(queued);
        match self.inner.in_flight.get() {
            0 => self.schedule_start(),
            _ => {
                self.start_due_transactions();
                self.schedule_delayed_start();
            }
        }
        result_receiver.await.unwrap_or(Err(StoreError::OutcomeUnknown))
    }

    fn schedule_start(&self) {
        if self.inner.is_start_scheduled.replace(true) {
            return;
        }
        let batcher = self.clone();
        compio::runtime::spawn(async move {
            batcher.inner.is_start_scheduled.set(false);
            batcher.start_due_transactions();
        })
        .detach();
    }

    fn schedule_delayed_start(&self) {
        if self.inner.is_delayed_start_scheduled.replace(true) {
            return;
        }
        let batcher = self.clone();
        compio::runtime::spawn(async move {
            while !batcher.inner.queue.borrow().is_empty() {
                compio::time::sleep(MAX_QUEUE_DELAY).await;
                batcher.start_due_transactions();
            }
            batcher.inner.is_delayed_start_scheduled.set(false);
        })
        .detach();
    }

    fn start_due_transactions(&self) {
        while self.is_transaction_due() {
            let batch = self.take_batch();
            if batch.is_empty() {
                return;
            }
            self.inner.in_flight.set(self.inner.in_flight.get() + 1);
            let batcher = self.clone();
            compio::runtime::spawn(async move {
                batcher.send(batch).await;
                batcher.inner.in_flight.set(batcher.inner.in_flight.get() - 1);
                batcher.start_due_transactions();
            })
            .detach();
        }
    }

    fn is_transaction_due(&self) -> bool {
        let queue = self.inner.queue.borrow();
        match (queue.front(), self.inner.in_flight.get()) {
            (None, _) => false,
            (Some(_), 0) => true,
            (Some(_), MAX_IN_FLIGHT..) => false,
            (Some(oldest), _) => {
                queue.len() >= self.inner.max_rows || oldest.queued_at.elapsed() >= MAX_QUEUE_DELAY
            }
        }
    }

    /// Takes writes of different rows that are in no transaction in flight, up to the limits of a
    /// transaction. The other writes stay queued in their order.
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
                    self.report_conflicts(batch, &writes)
                }
                // A single write may have failed the transaction, and the error does not name it.
                Err(StoreError::Conflict { .. } | StoreError::Malformed) if batch.len() > 1 => {
                    self.send_singly(batch).await
                }
                result => {
                    batch.into_iter().for_each(|queued| self.report_result(queued, result.clone()));
                    Vec::new()
                }
            };
        }
    }

    /// Sends each write in a transaction of its own and reports its result. Returns the writes that
    /// remain to be sent, which are none.
    async fn send_singly(&self, batch: Vec<QueuedWrite>) -> Vec<QueuedWrite> {
        for queued in batch {
            let result = self.transact(std::slice::from_ref(&queued)).await;
            self.report_result(queued, result);
        }
        Vec::new()
    }

    /// Reports a conflict to the submitters of the writes whose condition failed, and returns the
    /// other writes.
    fn report_conflicts(&self, batch: Vec<QueuedWrite>, failed: &[usize]) -> Vec<QueuedWrite> {
        let mut rest = Vec::new();
        for (position, queued) in batch.into_iter().enumerate() {
            match failed.contains(&position) {
                true => self.report_result(queued, Err(StoreError::Conflict { writes: vec![0] })),
                false => rest.push(queued),
            }
        }
        rest
    }

    async fn transact(&self, batch: &[QueuedWrite]) -> Result<(), StoreError> {
        self.inner.transactions.set(self.inner.transactions.get() + 1);
        let writes = batch.iter().map(|queued| queued.write.clone()).collect();
        self.inner.store.transact(writes).await.map(|_| ()).map_err(|report| {
            log::debug!("transaction of {} writes failed: {report:?}", batch.len());
            report.current_context().clone()
        })
    }

    fn report_result(&self, queued: QueuedWrite, result: Result<(), StoreError>) {
        self.inner.keys_in_flight.borrow_mut().remove(&queued.write.key);
        // Sending fails when the submitter has stopped waiting, and needs no handling.
        let _ = queued.result_sender.send(result);
    }
}

fn body_bytes(write: &RowWrite) -> usize {
    match &write.action {
        WriteAction::Put { body, .. } => body.len(),
        WriteAction::Delete | WriteAction::Check => 0,
    }
}
