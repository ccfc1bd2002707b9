//! Switches for faults of the platform's services.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

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
}

/// Shared access to the faults of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    plan: Rc<RefCell<FaultPlan>>,
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

    /// The faults now.
    pub fn plan(&self) -> FaultPlan {
        *self.plan.borrow()
    }

    /// Takes one lost answer, if any is left.
    pub(crate) fn take_lost_answer(&self) -> bool {
        let mut plan = self.plan.borrow_mut();
        let is_lost = plan.lost_answers > 0;
        plan.lost_answers = plan.lost_answers.saturating_sub(1);
        is_lost
    }

    /// Reads faults from JSON: `{"down": true, "delay_ms": 50, "lost_answers": 1}`.
    pub(crate) fn set_json(&self, value: &Value) {
        self.set(FaultPlan {
            is_down: value["down"].as_bool().unwrap_or(false),
            delay: Duration::from_millis(value["delay_ms"].as_u64().unwrap_or(0)),
            lost_answers: value["lost_answers"]
                .as_u64()
                .and_then(|count| u32::try_from(count).ok())
                .unwrap_or(0),
        });
    }
}
