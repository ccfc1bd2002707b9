//! Size of an emulated fleet, its models and the demand for them.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_dispatch::{EngineSpec, ModelSpec, ServiceConfig, ServiceSpec};
use eelgrassdeal_types::ServiceId;

/// Size of a fleet, its models and the demand for them.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of fabric domains in each data centre.
    pub domains: usize,
    /// Number of upstreams in each domain at the start.
    pub domain_size: usize,
    /// Engine that all upstreams run, and its models.
    pub engine: EngineSpec,
    /// Demand for each model, in the order of the engine's models, as the number of groups of
    /// normal speed that serve it without queues. If the demand would keep four groups fully busy,
    /// this number is five.
    pub demand: Vec<f64>,
}

impl FleetSpec {
    /// A small fleet: 54 upstreams and groups of 4 and 3 members.
    pub fn small() -> Self {
        let models =
            vec![model("first", 4, 0.57, 1.0, 16.0, 1.6), model("second", 3, 0.43, 0.6, 12.0, 1.1)];
        Self {
            data_centres: 3,
            domains: 2,
            domain_size: 9,
            engine: engine(models, 4.5, 6),
            demand: vec![5.1, 5.1],
        }
    }

    /// A fleet in which a group of one model leaves room for a group of the other: 66 upstreams in
    /// domains of 11, and groups of 6 and 3 members.
    pub fn shared_domains() -> Self {
        let models =
            vec![model("first", 6, 0.67, 1.0, 16.0, 1.6), model("second", 3, 0.33, 0.6, 12.0, 1.1)];
        Self {
            data_centres: 3,
            domains: 2,
            domain_size: 11,
            engine: engine(models, 5.5, 8),
            demand: vec![5.0, 5.0],
        }
    }

    /// A large fleet: 222 upstreams and groups of 16 and 4 members.
    pub fn large() -> Self {
        let models =
            vec![model("first", 16, 0.5, 1.0, 16.0, 1.6), model("second", 4, 0.5, 0.6, 12.0, 1.1)];
        Self {
            data_centres: 3,
            domains: 2,
            domain_size: 37,
            engine: engine(models, 18.0, 27),
            demand: vec![5.2, 20.5],
        }
    }

    pub(crate) fn service(&self) -> ServiceId {
        Arc::from("engines")
    }

    pub(crate) fn config(&self) -> ServiceConfig {
        let spec = ServiceSpec {
            service: self.service(),
            max_connections: 400,
            cold_rate: 30.0,
            engine: Some(self.engine.clone()),
            scale: None,
        };
        ServiceConfig::new(1).with_services(vec![spec])
    }
}

/// A model with the given name, group size, share of the work, factor on processing times, and times
/// to load it from the weight store and from the copy staged on the host.
fn model(
    name: &str,
    size: usize,
    share: f64,
    time_factor: f64,
    load_s: f64,
    staged_load_s: f64,
) -> ModelSpec {
    ModelSpec {
        model: Arc::from(name),
        size,
        share,
        time_factor,
        load_time: Duration::from_secs_f64(load_s),
        warm_time: Duration::from_secs_f64(staged_load_s),
    }
}

/// The engine of the emulated fleets. `load_rate` is the maximum number of loads from the weight store
/// that may start per second, and up to `loads_at_once` concurrent loads run at full speed. The other
/// values are the same in both fleets.
fn engine(models: Vec<ModelSpec>, load_rate: f64, loads_at_once: u32) -> EngineSpec {
    EngineSpec {
        models,
        slots: 26,
        kv_memory_tokens: 1_590_000,
        step_time: Duration::from_secs_f64(0.00595),
        per_sequence_ms: 0.0445,
        per_context_ms: 0.00813,
        prompt_tokens_per_s: 50_700.0,
        steps_per_pass: 7,
        load_rate,
        loads_at_once,
        open_delay: Duration::from_millis(300),
        cross_domain_factor: 2.5,
        mean_prompt_tokens: 1_115.0,
        mean_answer_tokens: 178.0,
    }
}
