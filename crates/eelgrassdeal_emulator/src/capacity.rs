//! How much of the demand the groups of a fleet could serve.

use std::time::Duration;

/// Length of the windows of which the worst is reported.
const WINDOW: Duration = Duration::from_secs(4);

/// How much of the demand the groups of a fleet could serve.
#[derive(Clone, Debug, Default)]
pub struct CapacityReport {
    /// Share of the demand that could be served in each step, by model.
    served: Vec<Vec<f64>>,
    /// The same if groups were formed in no time.
    possible: Vec<Vec<f64>>,
    step: Duration,
}

impl CapacityReport {
    pub(crate) fn new(models: usize, step: Duration) -> Self {
        Self { served: vec![Vec::new(); models], possible: vec![Vec::new(); models], step }
    }

    /// Notes the capacity of one step, and that of groups formed in no time, in groups of usual
    /// speed.
    pub(crate) fn note(&mut self, capacity: &[f64], potential: &[f64], demand: &[f64]) {
        for (model, demand) in demand.iter().enumerate() {
            self.served[model].push((capacity[model] / demand).min(1.0));
            self.possible[model].push((potential[model] / demand).min(1.0));
        }
    }

    /// Share of the demand for `model` that could be served over the day.
    pub fn model_share(&self, model: usize) -> f64 {
        mean(&self.served[model])
    }

    /// Share of all demand that could be served over the day; models count alike.
    pub fn share(&self) -> f64 {
        mean_of_models(&self.served)
    }

    /// The same if the upstreams that hold a model formed groups in no time.
    pub fn possible_share(&self) -> f64 {
        mean_of_models(&self.possible)
    }

    /// Share of all demand that could be served in the worst four seconds.
    pub fn worst_window(&self) -> f64 {
        let steps = (WINDOW.as_secs_f64() / self.step.as_secs_f64()) as usize;
        let count = self.served.first().map_or(0, Vec::len);
        let total =
            |at: usize| mean(&self.served.iter().map(|model| model[at]).collect::<Vec<_>>());
        let totals: Vec<f64> = (0..count).map(total).collect();
        totals.windows(steps.max(1)).map(mean).fold(1.0, f64::min)
    }
}

fn mean_of_models(shares: &[Vec<f64>]) -> f64 {
    mean(&shares.iter().map(|model| mean(model)).collect::<Vec<_>>())
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / values.len() as f64 }
}
