//! Duties: calls to the platform's management API that only the holder of the planner's lease makes.
//! The decisions are those of `DutyTerm`, `UsageLedger`, `FleetClock` and `SealBook` of the dispatch
//! crate.

mod relay;
mod rows;
mod scale;
mod usage;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant, SystemTime};

use eelgrassdeal_dispatch::{AnswerWatch, CallBudget, DutyKind, DutyTerm, TermState};
use eelgrassdeal_platform::{DutyClient, DutyOutcome};
use eelgrassdeal_types::{FencingNumber, NodeId};

use crate::state::GatewayState;
pub(crate) use relay::{UsageMessage, adopt_usage, encode_usage_sync};
pub(crate) use usage::{UsageState, count_usage};

/// Timeout of a call, after which its outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the holder of the lease looks for something to do.
const HOLDER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which another node checks whether it has become the holder.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a call in progress is dropped if the lease was lost.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the API may leave a holder without an answer, as a fraction of the time until a usage
/// report is due. A report is sealed after three tenths of that time, and another node may act after
/// about as long, so that its report is just in time.
const PATIENCE_FRACTION: f64 = 0.3;
/// Time for which a node that has given up the lease leaves it to other candidates. They try to acquire
/// it about twice a second.
const LEAVE_PERIOD: Duration = Duration::from_millis(1_500);

/// The duties of this node.
struct DutyRunner {
    state: Rc<GatewayState>,
    client: DutyClient,
    term: RefCell<DutyTerm>,
    /// Calls without an answer.
    answers: RefCell<AnswerWatch>,
    /// Limits the calls of all duties together.
    budget: RefCell<CallBudget>,
    /// Fencing number of the term that was logged last.
    logged_fencing: Cell<Option<FencingNumber>>,
}

/// Has the duties of this node until the task is dropped. Only for a deployment with duties.
pub(crate) async fn run_duties(state: Rc<GatewayState>) {
    let settings = state.settings();
    let duties = &settings.duties;
    let runner = Rc::new(DutyRunner {
        client: DutyClient::new(state.control_pool.clone(), duties.address.clone()),
        term: RefCell::new(DutyTerm::new(duties.lease_time, settings.limits.is_fencing_enabled)),
        answers: RefCell::new(AnswerWatch::new(duties.usage_due.mul_f64(PATIENCE_FRACTION))),
        budget: RefCell::new(CallBudget::new(duties.calls_per_s)),
        logged_fencing: Cell::new(None),
        state,
    });
    let watch = runner.watch_term();
    let seals = usage::maintain_reports(&runner);
    let reports = usage::send_reports(&runner);
    let orders = scale::send_orders(runner.clone());
    futures_util::join!(watch, seals, reports, orders);
}

impl DutyRunner {
    /// Records the terms of this node as the holder.
    async fn watch_term(&self) {
        loop {
            self.observe_term();
            compio::time::sleep(HOLDER_INTERVAL).await;
        }
    }

    fn observe_term(&self) {
        let now = Instant::now();
        let lease = self.state.current_lease();
        self.term.borrow_mut().observe(lease.as_ref(), now);
        let fencing = lease.map(|lease| lease.fencing);
        if fencing.is_none() {
            self.answers.borrow_mut().end_term();
        }
        if fencing.is_none() || self.logged_fencing.replace(fencing) == fencing {
            return;
        }
        let left = match self.term_state(Duration::ZERO) {
            TermState::Waiting { left } => left,
            TermState::NotHeld | TermState::Refused | TermState::Acting(_) => Duration::ZERO,
        };
        log::info!(
            "event=duty_term fencing={} may_act_in_ms={}",
            fencing.unwrap_or_default(),
            left.as_millis()
        );
    }

    /// Whether this node may make a call that takes `timeout` at most now.
    fn term_state(&self, timeout: Duration) -> TermState {
        let lease = self.state.current_lease();
        self.term.borrow().state(lease.as_ref(), timeout, Instant::now(), SystemTime::now())
    }

    /// Fencing number under which this node holds the lease now; `None` if it does not.
    fn held_fencing(&self) -> Option<FencingNumber> {
        let lease = self.state.current_lease()?;
        let is_held = lease.is_valid_for(Duration::ZERO, Instant::now(), SystemTime::now());
        is_held.then_some(lease.fencing)
    }

    /// Whether the settings name the duty, which may change with a reload.
    fn has_duty(&self, duty: DutyKind) -> bool {
        self.state.settings().duties.has(duty)
    }

    /// Time until the next look for something to do.
    fn interval(&self) -> Duration {
        if self.held_fencing().is_some() { HOLDER_INTERVAL } else { IDLE_INTERVAL }
    }

    /// Makes a call. Returns `None` if this node may not make it now: it does not hold the lease for
    /// long enough, or the calls would become too many.
    ///
    /// The lease is checked directly before the call is sent. The call is dropped, and its connection
    /// closed, when the lease ends.
    async fn call<F: Future<Output = DutyOutcome>>(
        &self,
        duty: DutyKind,
        subject: &str,
        send: impl FnOnce(DutyClient, NodeId, FencingNumber) -> F,
    ) -> Option<DutyOutcome> {
        let TermState::Acting(fencing) = self.term_state(CALL_TIMEOUT) else { return None };
        if !self.has_duty(duty) || !self.budget.borrow_mut().try_take(Instant::now()) {
            return None;
        }
        let node = self.state.settings().node.clone();
        let begun_at = Instant::now();
        let mut call = pin!(send(self.client.clone(), node, fencing));
        // The lease is checked before the call goes on, also after the process was frozen.
        let mut guarded = poll_fn(|context| match self.held_fencing() == Some(fencing) {
            true => call.as_mut().poll(context),
            false => Poll::Ready(DutyOutcome::Unknown),
        });
        let outcome = loop {
            let step = compio::time::timeout(LEASE_CHECK_INTERVAL, &mut guarded).await;
            if let Ok(outcome) = step {
                break outcome;
            }
        };
        self.record_outcome(duty, subject, fencing, outcome);
        self.watch_answers(fencing, outcome, begun_at);
        Some(outcome)
    }

    /// Gives up the lease if the API has not answered for long, so that another node tries.
    fn watch_answers(&self, fencing: FencingNumber, outcome: DutyOutcome, begun_at: Instant) {
        let now = Instant::now();
        match outcome {
            DutyOutcome::Unavailable | DutyOutcome::Unknown => {
                let must_give_up = self.answers.borrow_mut().record_failure(begun_at, now);
                let has_others = self.state.directory.borrow().live_others(now).next().is_some();
                if must_give_up && has_others && self.held_fencing() == Some(fencing) {
                    log::warn!("event=duty_handed_over fencing={fencing} reason=\"no answer\"");
                    self.state.lease_left_until.set(Some(now + LEAVE_PERIOD));
                    self.state.request_lease_release(fencing);
                }
            }
            DutyOutcome::Accepted
            | DutyOutcome::Fenced
            | DutyOutcome::Throttled
            | DutyOutcome::Refused(_) => self.answers.borrow_mut().record_answer(),
        }
    }

    fn record_outcome(
        &self,
        duty: DutyKind,
        subject: &str,
        fencing: FencingNumber,
        outcome: DutyOutcome,
    ) {
        let duty = match duty {
            DutyKind::Usage => "usage",
            DutyKind::Scale => "scale",
        };
        let name = match outcome {
            DutyOutcome::Accepted => "accepted",
            DutyOutcome::Fenced => "fenced",
            DutyOutcome::Throttled => "throttled",
            DutyOutcome::Unavailable => "unavailable",
            DutyOutcome::Unknown => "unknown",
            DutyOutcome::Refused(_) => "refused",
        };
        log::info!(
            "event=duty duty={duty} subject={subject} fencing={fencing} outcome={name}{}",
            match outcome {
                DutyOutcome::Refused(status) => format!(" status={status}"),
                _ => String::new(),
            }
        );
        metrics::counter!("eelgrassdeal_duty_calls_total", "duty" => duty, "outcome" => name)
            .increment(1);
        if outcome == DutyOutcome::Fenced {
            self.term.borrow_mut().record_refusal(fencing);
            self.state.request_lease_release(fencing);
        }
    }
}
