//! Sends the orders for the number of workers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use eelgrassdeal_dispatch::{CallBackoff, DutyKind, ScalePlanner, ScaleTarget};
use eelgrassdeal_platform::{DutyOutcome, ScaleOrder};
use eelgrassdeal_types::{DataCentreId, FencingNumber, ModelId, ServiceId};

use super::{CALL_TIMEOUT, DutyRunner};
use crate::state::GatewayState;

/// The service and the data centre of an order.
type ScaleSubject = (ServiceId, DataCentreId);

/// Calls for one subject.
#[derive(Default)]
struct SubjectCalls {
    /// Number of workers in the last order that was accepted, and its fencing number.
    accepted: Option<(u32, FencingNumber)>,
    is_calling: bool,
    backoff: CallBackoff,
}

type SubjectTable = Rc<RefCell<HashMap<ScaleSubject, SubjectCalls>>>;

/// Numbers of workers that the services are to have. None while the copies of the tables may lack
/// workers.
fn desired_orders(
    planner: &mut ScalePlanner,
    state: &GatewayState,
    now: Instant,
) -> Vec<ScaleOrder> {
    let Some(config) = state.config() else { return Vec::new() };
    let mirror = state.mirror.borrow();
    if !mirror.is_loaded() || !mirror.is_past_grace(now) {
        return Vec::new();
    }
    let (view, has_traffic) = (mirror.view(), state.has_traffic.get());
    let targets = planner.plan(&view, &config, &demand(state, now), has_traffic, now);
    let order = |target: ScaleTarget| ScaleOrder {
        service: target.service,
        data_centre: target.data_centre,
        desired: target.desired,
    };
    targets.into_iter().map(order).collect()
}

/// Requests in progress for each model, over all nodes.
fn demand(state: &GatewayState, now: Instant) -> HashMap<ModelId, f64> {
    let Some(config) = state.config() else { return HashMap::new() };
    let (view, loads) = (state.view(), state.loads.borrow());
    let mut demand = HashMap::new();
    for spec in config.services.values() {
        for model in spec.engine.iter().flat_map(|engine| &engine.models) {
            let replicas = view.replicas(&spec.service, &model.model);
            demand.insert(model.model.clone(), f64::from(loads.requests_at(&replicas, now)));
        }
    }
    demand
}

/// Sends each order that was not accepted under the current fencing number, with one call at a time
/// for each subject, until the task is dropped.
pub(super) async fn send_orders(runner: Rc<DutyRunner>) {
    if !runner.has_duty(DutyKind::Scale) {
        return;
    }
    let subjects = SubjectTable::default();
    let mut planner = ScalePlanner::new();
    loop {
        if let Some(fencing) = runner.held_fencing().filter(|_| runner.has_duty(DutyKind::Scale)) {
            for order in desired_orders(&mut planner, &runner.state, Instant::now()) {
                begin_order(&runner, &subjects, order, fencing);
            }
        }
        compio::time::sleep(runner.interval()).await;
    }
}

/// Sends an order unless it was accepted, or a call for its subject is in progress.
fn begin_order(
    runner: &Rc<DutyRunner>,
    subjects: &SubjectTable,
    order: ScaleOrder,
    fencing: FencingNumber,
) {
    let subject = (order.service.clone(), order.data_centre.clone());
    {
        let mut subjects = subjects.borrow_mut();
        let calls = subjects.entry(subject.clone()).or_default();
        // A number that another holder ordered in between is not known.
        let is_accepted = calls.accepted == Some((order.desired, fencing));
        if is_accepted || calls.is_calling || !calls.backoff.is_over(Instant::now()) {
            return;
        }
        calls.is_calling = true;
    }
    let (runner, subjects) = (runner.clone(), subjects.clone());
    compio::runtime::spawn(async move {
        let outcome = send_order(&runner, &order).await;
        let mut subjects = subjects.borrow_mut();
        let calls = subjects.entry(subject).or_default();
        calls.is_calling = false;
        match outcome {
            Some(DutyOutcome::Accepted) => {
                calls.accepted = Some((order.desired, fencing));
                calls.backoff.record_success();
            }
            Some(_) => {
                // The call may have been carried out, or may be later.
                calls.accepted = None;
                calls.backoff.record_failure(Instant::now());
            }
            None => {}
        }
    })
    .detach();
}

async fn send_order(runner: &DutyRunner, order: &ScaleOrder) -> Option<DutyOutcome> {
    let subject = format!("{}/{}", order.service, order.data_centre);
    metrics::gauge!(
        "eelgrassdeal_scale_desired",
        "service" => order.service.to_string(),
        "data_centre" => order.data_centre.to_string()
    )
    .set(f64::from(order.desired));
    let call = runner.call(DutyKind::Scale, &subject, |client, node, fencing| async move {
        client.order_scale(&node, fencing, order, CALL_TIMEOUT).await
    });
    call.await
}
