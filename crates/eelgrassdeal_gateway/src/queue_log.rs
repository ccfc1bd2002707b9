//! What happened to the requests of each queue, as a log line each second and as metrics.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{PlacementTarget, QueueId, SlotUse};
use eelgrassdeal_logging::LogLimiter;

use crate::state::GatewayState;

/// Interval of the `event=queue` lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Whose slot a request was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOwnership {
    /// A slot of this node.
    Own,
    /// A slot of another node.
    Borrowed,
    /// The slots of the upstream are not divided among the nodes.
    Undivided,
}

impl SlotOwnership {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Borrowed => "borrowed",
            Self::Undivided => "undivided",
        }
    }
}

/// Requests of one queue since the last line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueActivity {
    arrived: u32,
    /// Arrivals that could still be in time.
    on_time: u32,
    own: u32,
    borrowed: u32,
    undivided: u32,
    /// Requests that found no upstream on arrival.
    waited: u32,
    refused: u32,
}

/// Activity of all queues of this node.
#[derive(Debug)]
pub(crate) struct QueueLog {
    activities: HashMap<QueueId, QueueActivity>,
    limiter: LogLimiter,
}

impl Default for QueueLog {
    fn default() -> Self {
        Self { activities: HashMap::new(), limiter: LogLimiter::new(LOG_INTERVAL) }
    }
}

impl QueueLog {
    fn activity(&mut self, queue: &QueueId) -> &mut QueueActivity {
        self.activities.entry(queue.clone()).or_default()
    }

    pub(crate) fn record_arrival(&mut self, queue: &QueueId, is_on_time: bool) {
        let activity = self.activity(queue);
        activity.arrived += 1;
        activity.on_time += u32::from(is_on_time);
    }

    pub(crate) fn record_wait(&mut self, queue: &QueueId) {
        self.activity(queue).waited += 1;
        metrics::counter!("eelgrassdeal_waits_total").increment(1);
    }

    pub(crate) fn record_refusal(&mut self, queue: &QueueId) {
        self.activity(queue).refused += 1;
    }

    pub(crate) fn record_placement(
        &mut self,
        queue: &QueueId,
        ownership: SlotOwnership,
        is_on_time: bool,
    ) {
        let activity = self.activity(queue);
        match ownership {
            SlotOwnership::Own => activity.own += 1,
            SlotOwnership::Borrowed => activity.borrowed += 1,
            SlotOwnership::Undivided => activity.undivided += 1,
        }
        let timing = if is_on_time { "on_time" } else { "late" };
        let labels = [("slot", ownership.name()), ("timing", timing)];
        metrics::counter!("eelgrassdeal_placements_total", &labels).increment(1);
    }
}

/// Logs each queue in which requests had to wait or were refused since the last line. `targets` returns the
/// upstreams of a queue.
pub(crate) fn log_queues(
    state: &Rc<GatewayState>,
    targets: impl Fn(&QueueId) -> Vec<PlacementTarget>,
) {
    let now = Instant::now();
    let mut log = state.waiting.log.borrow_mut();
    if !log.limiter.is_due(now) {
        return;
    }
    for (queue, activity) in std::mem::take(&mut log.activities) {
        if activity.waited == 0 && activity.refused == 0 {
            continue;
        }
        let (service, model) = &queue;
        let SlotUse {
            owned,
            own_in_use,
            own_requests,
            allowance,
            others_need,
            known,
            slots,
            counts_age,
        } = state.loads.borrow().slot_use(&queue, &targets(&queue), now);
        log::info!(
            "event=queue service={service} model={} arrived={} on_time={} own={} borrowed={} undivided={} waited={} refused={} owned={owned} own_in_use={own_in_use} own_requests={own_requests} allowance={allowance:.2} others_need={others_need} known={known} slots={slots:.0} counts_age_ms={} overloaded={}",
            model.as_deref().unwrap_or("-"),
            activity.arrived,
            activity.on_time,
            activity.own,
            activity.borrowed,
            activity.undivided,
            activity.waited,
            activity.refused,
            counts_age.map_or(-1, |age| age.as_millis() as i64),
            state.waiting.is_overloaded(&queue, now),
        );
    }
}
