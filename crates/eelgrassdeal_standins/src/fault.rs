//! Switches for faults of the platform's services.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

/// Faults that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Cuts every connection without doing anything.
    pub is_down: bool,
    /// Waits before doing anything.
    pub delay: Duration,
    /// Carries out this many writes and then cuts the connection without an answer.
    pub lost_answers: u32,
    /// Cuts the connection of this many writes without doing anything.
    pub lost_requests: u32,
    /// Cuts the connection of this many writes and carries each out `late_by` later.
    pub late_writes: u32,
    /// How much later a late write is carried out.
    pub late_by: Duration,
    /// Refuses this many calls for load, without doing anything.
    pub throttled: u32,
}

/// Shares of writes that meet a fault, in percent. The rest is answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultMix {
    /// Writes that are carried out but not answered.
    pub lost_answer_percent: u8,
    /// Writes that are neither carried out nor answered.
    pub lost_request_percent: u8,
    /// Writes that are not answered and are carried out later.
    pub late_write_percent: u8,
    /// Latest time after which a late write is carried out; each takes a random part of it.
    pub late_by: Duration,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// It is carried out and answered.
    Answered,
    /// It is carried out; the connection is cut.
    LostAnswer,
    /// It is not carried out; the connection is cut.
    LostRequest,
    /// The connection is cut; it is carried out after this time.
    Late(Duration),
}

/// Shared access to the faults of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    plan: Rc<RefCell<FaultPlan>>,
    mix: Rc<RefCell<Option<(FaultMix, StdRng)>>>,
}

impl FaultSwitch {
    /// All faults off.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the faults.
    pub fn set(&self, plan: FaultPlan) {
        *self.plan.borrow_mut() = plan;
    }

    /// Draws a fault for each write from `mix`, in a sequence given by `seed`. Faults of the plan
    /// come first.
    pub fn set_mix(&self, mix: FaultMix, seed: u64) {
        *self.mix.borrow_mut() = Some((mix, StdRng::seed_from_u64(seed)));
    }

    /// Ends the faults of [`FaultSwitch::set_mix`].
    pub fn clear_mix(&self) {
        *self.mix.borrow_mut() = None;
    }

    /// Switches a complete outage on or off.
    pub fn set_down(&self, is_down: bool) {
        self.plan.borrow_mut().is_down = is_down;
    }

    /// Makes each call wait.
    pub fn set_delay(&self, delay: Duration) {
        self.plan.borrow_mut().delay = delay;
    }

    /// Loses the answers of the next `count` writes.
    pub fn lose_answers(&self, count: u32) {
        self.plan.borrow_mut().lost_answers = count;
    }

    /// Loses the next `count` writes.
    pub fn lose_requests(&self, count: u32) {
        self.plan.borrow_mut().lost_requests = count;
    }

    /// Leaves the next `count` writes without an answer and carries each out `late_by` later.
    pub fn delay_writes(&self, count: u32, late_by: Duration) {
        let mut plan = self.plan.borrow_mut();
        plan.late_writes = count;
        plan.late_by = late_by;
    }

    /// Refuses the next `count` calls for load.
    pub fn throttle(&self, count: u32) {
        self.plan.borrow_mut().throttled = count;
    }

    /// The faults now.
    pub fn plan(&self) -> FaultPlan {
        *self.plan.borrow()
    }

    /// Takes one lost answer, if any is left.
    pub(crate) fn take_lost_answer(&self) -> bool {
        take_one(&mut self.plan.borrow_mut().lost_answers)
    }

    /// Takes one lost request, if any is left.
    pub(crate) fn take_lost_request(&self) -> bool {
        take_one(&mut self.plan.borrow_mut().lost_requests)
    }

    /// Takes one refusal for load, if any is left.
    pub(crate) fn take_throttled(&self) -> bool {
        take_one(&mut self.plan.borrow_mut().throttled)
    }

    /// Takes the fault of the next write.
    pub(crate) fn take_write_fault(&self) -> WriteFault {
        let mut plan = self.plan.borrow_mut();
        let late_by = plan.late_by;
        match () {
            () if take_one(&mut plan.lost_requests) => WriteFault::LostRequest,
            () if take_one(&mut plan.lost_answers) => WriteFault::LostAnswer,
            () if take_one(&mut plan.late_writes) => WriteFault::Late(late_by),
            () => self.draw_write_fault(),
        }
    }

    fn draw_write_fault(&self) -> WriteFault {
        let mut mix = self.mix.borrow_mut();
        let Some((mix, random)) = mix.as_mut() else { return WriteFault::Answered };
        let lost_answer = mix.lost_answer_percent;
        let lost_request = lost_answer + mix.lost_request_percent;
        let late = lost_request + mix.late_write_percent;
        match random.random_range(0..100_u8) {
            percent if percent < lost_answer => WriteFault::LostAnswer,
            percent if percent < lost_request => WriteFault::LostRequest,
            percent if percent < late => {
                WriteFault::Late(mix.late_by.mul_f64(random.random_range(0.0..1.0)))
            }
            _ => WriteFault::Answered,
        }
    }

    /// Reads faults from JSON: `{"down": true, "delay_ms": 50, "lost_answers": 1,
    /// "lost_requests": 1, "late_writes": 1, "late_ms": 500, "throttled": 1}`.
    pub(crate) fn set_json(&self, value: &Value) {
        let count = |name: &str| {
            value[name].as_u64().and_then(|count| u32::try_from(count).ok()).unwrap_or(0)
        };
        let millis = |name: &str| Duration::from_millis(value[name].as_u64().unwrap_or(0));
        self.set(FaultPlan {
            is_down: value["down"].as_bool().unwrap_or(false),
            delay: millis("delay_ms"),
            lost_answers: count("lost_answers"),
            lost_requests: count("lost_requests"),
            late_writes: count("late_writes"),
            late_by: millis("late_ms"),
            throttled: count("throttled"),
        });
    }
}

fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
