//! Fault injection for the fakes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

/// Faults that a fake injects until the plan is replaced. Each count is reduced by one when a call
/// meets the fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Closes every connection without processing the request or sending a response.
    pub is_down: bool,
    /// Delay before a request is processed.
    pub delay: Duration,
    /// How many of the next writes are applied but get no response: each one's connection is
    /// closed.
    pub lost_responses: u32,
    /// How many of the next writes are not applied and get no response: each one's connection is
    /// closed.
    pub lost_requests: u32,
    /// How many of the next writes get no response, because the connection is closed, and are
    /// applied `write_delay` later.
    pub delayed_writes: u32,
    /// Time after which a delayed write is applied.
    pub write_delay: Duration,
    /// How many of the next calls are rejected with a throttling error before they are processed.
    pub throttled_calls: u32,
}

/// Shares of writes that meet a random fault, in percent. All other writes are applied and get a
/// response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    /// Writes that are applied but get no response.
    pub lost_response_percent: u8,
    /// Writes that are neither applied nor get a response.
    pub lost_request_percent: u8,
    /// Writes that get no response and are applied later.
    pub delayed_write_percent: u8,
    /// Upper bound of the time after which a delayed write is applied. The time of each write is
    /// uniformly distributed below it.
    pub max_write_delay: Duration,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// The write is applied and gets a response.
    NoFault,
    /// The write is applied; the connection is closed without a response.
    LostResponse,
    /// The write is not applied; the connection is closed without a response.
    LostRequest,
    /// The connection is closed without a response; the write is applied after this time.
    Delayed(Duration),
}

/// Injects faults into one fake. Clones share the faults.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector {
    plan: Rc<RefCell<FaultPlan>>,
    rates: Rc<RefCell<Option<(FaultRates, StdRng)>>>,
}

impl FaultInjector {
    /// Creates an injector without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the fault plan.
    pub fn set(&self, plan: FaultPlan) {
        *self.plan.borrow_mut() = plan;
    }

    /// Injects a random fault into each write according to `rates`, in a sequence determined by
    /// `seed`. Faults of the fault plan take precedence.
    pub fn set_rates(&self, rates: FaultRates, seed: u64) {
        *self.rates.borrow_mut() = Some((rates, StdRng::seed_from_u64(seed)));
    }

    /// Stops the random faults of [`FaultInjector::set_rates`].
    pub fn clear_rates(&self) {
        *self.rates.borrow_mut() = None;
    }

    /// Starts or ends a complete outage.
    pub fn set_down(&self, is_down: bool) {
        self.plan.borrow_mut().is_down = is_down;
    }

    /// Delays the processing of each request.
    pub fn set_delay(&self, delay: Duration) {
        self.plan.borrow_mut().delay = delay;
    }

    /// Applies the next `count` writes without sending responses.
    pub fn lose_responses(&self, count: u32) {
        self.plan.borrow_mut().lost_responses = count;
    }

    /// Drops the next `count` writes without sending responses.
    pub fn lose_requests(&self, count: u32) {
        self.plan.borrow_mut().lost_requests = count;
    }

    /// Sends no response to the next `count` writes and applies each one `write_delay` later.
    pub fn delay_writes(&self, count: u32, write_delay: Duration) {
        let mut plan = self.plan.borrow_mut();
        plan.delayed_writes = count;
        plan.write_delay = write_delay;
    }

    /// Rejects the next `count` calls with a throttling error.
    pub fn throttle(&self, count: u32) {
        self.plan.borrow_mut().throttled_calls = count;
    }

    /// Returns the current fault plan.
    pub fn plan(&self) -> FaultPlan {
        *self.plan.borrow()
    }

    /// Whether the response of this write is to be dropped; reduces the count.
    pub(crate) fn consume_lost_response(&self) -> bool {
        consume_one(&mut self.plan.borrow_mut().lost_responses)
    }

    /// Whether this write is to be dropped; reduces the count.
    pub(crate) fn consume_lost_request(&self) -> bool {
        consume_one(&mut self.plan.borrow_mut().lost_requests)
    }

    /// Whether this call is to be throttled; reduces the count.
    pub(crate) fn consume_throttled_call(&self) -> bool {
        consume_one(&mut self.plan.borrow_mut().throttled_calls)
    }

    /// Selects the fault of the next write and reduces the count of that fault.
    pub(crate) fn next_write_fault(&self) -> WriteFault {
        let mut plan = self.plan.borrow_mut();
        let write_delay = plan.write_delay;
        match () {
            () if consume_one(&mut plan.lost_requests) => WriteFault::LostRequest,
            () if consume_one(&mut plan.lost_responses) => WriteFault::LostResponse,
            () if consume_one(&mut plan.delayed_writes) => WriteFault::Delayed(write_delay),
            () => self.draw_write_fault(),
        }
    }

    fn draw_write_fault(&self) -> WriteFault {
        let mut rates = self.rates.borrow_mut();
        let Some((rates, random)) = rates.as_mut() else { return WriteFault::NoFault };
        let lost_response = rates.lost_response_percent;
        let lost_request = lost_response + rates.lost_request_percent;
        let delayed = lost_request + rates.delayed_write_percent;
        match random.random_range(0..100_u8) {
            percent if percent < lost_response => WriteFault::LostResponse,
            percent if percent < lost_request => WriteFault::LostRequest,
            percent if percent < delayed => {
                WriteFault::Delayed(rates.max_write_delay.mul_f64(random.random_range(0.0..1.0)))
            }
            _ => WriteFault::NoFault,
        }
    }

    /// Replaces the fault plan with one in JSON: `{"down": true, "delay_ms": 50, "lost_answers": 1,
    /// "lost_requests": 1, "late_writes": 1, "late_ms": 500, "throttled": 1}`.
    pub(crate) fn set_from_json(&self, value: &Value) {
        let count = |name: &str| {
            value[name].as_u64().and_then(|count| u32::try_from(count).ok()).unwrap_or(0)
        };
        let millis = |name: &str| Duration::from_millis(value[name].as_u64().unwrap_or(0));
        self.set(FaultPlan {
            is_down: value["down"].as_bool().unwrap_or(false),
            delay: millis("delay_ms"),
            lost_responses: count("lost_answers"),
            lost_requests: count("lost_requests"),
            delayed_writes: count("late_writes"),
            write_delay: millis("late_ms"),
            throttled_calls: count("throttled"),
        });
    }
}

/// Whether `count` is positive; reduces it by one.
fn consume_one(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count = count.saturating_sub(1);
    is_positive
}
