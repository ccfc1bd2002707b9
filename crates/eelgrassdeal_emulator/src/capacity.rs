//! Share of the demand that the groups of a fleet could serve.

use std::time::Duration;

/// Length of the sliding window of [`CapacityReport::worst_window_share`].
const WORST_WINDOW: Duration = Duration::from_secs(4);

/// Share of the demand that the groups of a fleet could serve during a run.
#[derive(Clone, Debug, Default)]
pub struct CapacityReport {
    /// Share of the demand that the serving groups cover, by model and step.
    served: Vec<Vec<f64>>,
    /// Share of the demand that would be covered if groups formed instantly, by model and step.
    potential: Vec<Vec<f64>>,
    /// Virtual time between two steps.
    step: Duration,
}

impl CapacityReport {
    pub(crate) fn new(models: usize, step: Duration) -> Self {
        Self { served: vec![Vec::new(); models], potential: vec![Vec::new(); models], step }
    }

    /// Records one step. Each slice has one value for each model, in groups of normal speed:
    /// `capacity` is the capacity of the serving groups, and `potential` the capacity if groups
    /// formed instantly.
    pub(crate) fn record_step(&mut self, capacity: &[f64], potential: &[f64], demand: &[f64]) {
        for (model, demand) in demand.iter().enumerate() {
            self.served[model].push((capacity[model] / demand).min(1.0));
            self.potential[model].push((potential[model] / demand).min(1.0));
        }
    }

    /// Mean share of the demand for one model that could be served. `model` is an index into the
    /// engine's models.
    pub fn model_served_share(&self, model: usize) -> f64 {
        mean(&self.served[model])
    }

    /// Mean share of the demand that could be served, with equal weight for each model.
    pub fn served_share(&self) -> f64 {
        mean_of_models(&self.served)
    }

    /// Mean share of the demand that could be served if the upstreams that hold a model formed
    /// groups instantly, with equal weight for each model.
    pub fn potential_share(&self) -> f64 {
        mean_of_models(&self.potential)
    }

    /// Share of the demand that could be served in the worst four seconds, with equal weight for
    /// each model.
    pub fn worst_window_share(&self) -> f64 {
        let window_steps = (WORST_WINDOW.as_secs_f64() / self.step.as_secs_f64()) as usize;
        let step_count = self.served.first().map_or(0, Vec::len);
        let share_at =
            |step: usize| mean(&self.served.iter().map(|model| model[step]).collect::<Vec<_>>());
        let shares: Vec<f64> = (0..step_count).map(share_at).collect();
        shares.windows(window_steps.max(1)).map(mean).fold(1.0, f64::min)
    }
}

fn mean_of_models(shares: &[Vec<f64>]) -> f64 {
    mean(&shares.iter().map(|model| mean(model)).collect::<Vec<_>>())
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / values.len() as f64 }
}
