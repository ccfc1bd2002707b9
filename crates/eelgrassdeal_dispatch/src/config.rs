//! Configuration that operators write: routes, services and client accounts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_types::{ClientAccountId, ModelId, Revision, ServiceId};

/// Kind of requests on a route, which decides whether a failed request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request must be executed at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream may continue an interrupted stream.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after an attempt that may already have executed it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One target of a route's traffic split: a service that receives a share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSplit {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Rule for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: Arc<str>,
    /// Host name in the request.
    pub host: Arc<str>,
    /// Path prefix; ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated, and whether the response is a stream.
    pub kind: RouteKind,
    /// Time from receiving a request to its deadline. Callers may ask for a shorter time.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest time between two events of a stream.
    pub target_event_gap: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Services among which the requests are split.
    pub splits: Vec<ServiceSplit>,
    /// Maximum number of upstreams on which one request may be executed.
    pub attempt_limit: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
}

impl RouteRule {
    /// Selects the service for a request at random by weight. `draw` is a random number that is
    /// uniform in 0..1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        // Two weights may exceed the range of their type together.
        let total: f64 = self.splits.iter().map(|split| f64::from(split.weight)).sum();
        let mut position = draw * total;
        for split in &self.splits {
            position -= f64::from(split.weight);
            if position < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|split| &split.service)
    }
}

/// A model that an engine service ([`ServiceSpec::engine`]) runs on groups of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Id of the model.
    pub model: ModelId,
    /// Number of upstreams in one group.
    pub size: usize,
    /// Share of the service's work that is initially expected for this model. It is a fixed weight:
    /// the planner always takes the model's demand for groups as proportional to it.
    pub share: f64,
    /// Factor on all processing times of the model's groups.
    pub time_factor: f64,
    /// Time to load the model from the weight store.
    pub load_time: Duration,
    /// Time to load the model from the copy staged on the host.
    pub warm_time: Duration,
}

/// Capacity and timing of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Models that the service runs.
    pub models: Vec<ModelSpec>,
    /// Maximum number of requests in one batch of a group.
    pub slots: u32,
    /// Capacity of a group's KV cache in tokens.
    pub kv_memory_tokens: u64,
    /// Duration of one decoding step with an empty batch.
    pub step_time: Duration,
    /// Time that each request in the decoding phase adds to a step, in ms.
    pub per_sequence_ms: f64,
    /// Time that every 1,000 tokens of context add to a step, in ms.
    pub per_context_ms: f64,
    /// Prompt tokens processed per second.
    pub prompt_tokens_per_s: f64,
    /// Number of decoding steps in one pass of the engine while any request is being decoded. The
    /// time after which a group's head counts as silent is derived from the duration of a pass.
    pub steps_per_pass: u32,
    /// Maximum number of loads from the weight store that may start per second.
    pub load_rate: f64,
    /// Number of concurrent loads up to which each runs at full speed.
    pub loads_at_once: u32,
    /// Time from the order to open a group until it accepts the first request.
    pub open_delay: Duration,
    /// Factor on all processing times of a group whose members are in several fabric domains.
    pub cross_domain_factor: f64,
    /// Mean prompt length in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean length of a generated answer in tokens.
    pub mean_answer_tokens: f64,
}

impl EngineSpec {
    /// The spec of `model`, if the service runs it.
    pub fn model(&self, model: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|spec| &*spec.model == model)
    }
}

/// Limits of a service. An engine service runs models on groups of upstreams; in a plain service
/// each upstream runs requests on its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Id of the service.
    pub service: ServiceId,
    /// Maximum number of connections that an upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Requests per second that a cold upstream accepts from all nodes together; 0 if there is no
    /// limit for cold upstreams.
    pub cold_rate: f64,
    /// Engine that the groups of an engine service run; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Bounds on the number of workers, if the platform starts and stops them on order.
    pub scale: Option<ScaleSpec>,
}

/// Bounds on the number of workers of a service in each data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleSpec {
    /// Fewest workers in a data centre.
    pub min: u32,
    /// Most workers in a data centre.
    pub max: u32,
    /// Time from the order until a new worker serves.
    pub start_time: Duration,
}

/// The client account that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Id of the client account.
    pub account: ClientAccountId,
    /// Priority that overrides the one of the route, if the account has one.
    pub priority: Option<u32>,
}

/// Limits on the size and timing of the callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head (request line and header fields) in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Complete configuration of the services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Revision number; increases with every change.
    pub revision: Revision,
    /// Services by id.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Limits on the callers' requests.
    pub limits: CallerLimits,
    /// Client accounts by API key; `None` if no route requires a key.
    pub accounts: Option<HashMap<Arc<str>, AccountEntry>>,
    /// Routes by host, those with the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
}

impl ServiceConfig {
    /// Creates a configuration without routes, services and client accounts.
    pub fn new(revision: Revision) -> Self {
        Self { revision, ..Self::default() }
    }

    /// Adds the routes.
    pub fn with_routes(mut self, routes: Vec<RouteRule>) -> Self {
        for route in routes {
            self.routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }

    /// Sets the services.
    pub fn with_services(mut self, services: Vec<ServiceSpec>) -> Self {
        self.services = services.into_iter().map(|spec| (spec.service.clone(), spec)).collect();
        self
    }

    /// Sets the client accounts by API key.
    pub fn with_accounts(mut self, accounts: Option<HashMap<Arc<str>, AccountEntry>>) -> Self {
        self.accounts = accounts;
        self
    }

    /// Sets the limits on the callers' requests.
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// The route on `host` whose prefix is the longest match for `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
