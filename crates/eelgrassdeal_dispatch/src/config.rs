//! Configuration that operators declare: routes, services and client accounts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_types::{ClientAccountId, ModelId, Revision, ServiceId};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may continue a broken stream.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSplit {
    /// Service.
    pub service: ServiceId,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Beginning of the path; ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time without a final answer.
    pub timeout: Duration,
    /// Time within which an answer is most useful; to the first event for a stream.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream.
    pub event_gap: Duration,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Services that the requests go to.
    pub splits: Vec<ServiceSplit>,
    /// Most upstreams that one request may run on.
    pub attempt_limit: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// The service of a request; `draw` is uniform in 0..1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.splits.iter().map(|split| split.weight).sum();
        let mut position = draw * f64::from(total);
        for split in &self.splits {
            position -= f64::from(split.weight);
            if position < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|split| &split.service)
    }
}

/// A model that an engine service runs in groups.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Id.
    pub model: ModelId,
    /// Upstreams of one group.
    pub size: usize,
    /// Share of the work at the start.
    pub share: f64,
    /// Factor on all times of a group.
    pub pace: f64,
    /// Time of a load from the weight store.
    pub load_time: Duration,
    /// Time of a load from the host's staged copy.
    pub warm_time: Duration,
}

/// How the engines of a service work.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Models and their groups.
    pub models: Vec<ModelSpec>,
    /// Requests of one batch.
    pub slots: u32,
    /// Tokens that fit into the KV memory of a group.
    pub kv_memory_tokens: u64,
    /// Time of one token step without any request.
    pub step_time: Duration,
    /// Time that each writing request adds to a step, in ms.
    pub per_sequence_ms: f64,
    /// Time that 1,000 tokens of context add to a step, in ms.
    pub per_context_ms: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Token steps of one pass with writers.
    pub stride: u32,
    /// Loads from the weight store that may begin in a second.
    pub load_rate: f64,
    /// Loads that run at full speed together.
    pub loads_at_once: u32,
    /// Time from the order to open to the first request.
    pub form_time: Duration,
    /// Factor on the times of a group whose members are in several fabric domains.
    pub far_factor: f64,
    /// Mean prompt length in tokens.
    pub usual_prompt: f64,
    /// Mean answer length in tokens.
    pub usual_answer: f64,
}

impl EngineSpec {
    /// The spec of `model`.
    pub fn model(&self, model: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|spec| &*spec.model == model)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Id.
    pub service: ServiceId,
    /// Connections that an upstream accepts from all nodes.
    pub max_connections: u32,
    /// Requests a second that a cold upstream takes, from all nodes; 0 if it never is cold.
    pub cold_rate: f64,
    /// Engine, if the upstreams are model workers.
    pub engine: Option<EngineSpec>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Id.
    pub account: ClientAccountId,
    /// Overrides the priority of the route.
    pub priority: Option<u32>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_limit: usize,
    /// Largest body of a request in bytes.
    pub body_limit: usize,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_limit: 16 * 1024,
            body_limit: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Rises with every change.
    pub revision: Revision,
    /// Services by id.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Accounts by key; `None` if no route needs a key.
    pub accounts: Option<HashMap<Arc<str>, AccountEntry>>,
    routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
}

impl ServiceConfig {
    /// A configuration without routes.
    pub fn new(revision: Revision) -> Self {
        Self { revision, ..Self::default() }
    }

    /// Sets the routes.
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

    /// Sets the accounts by key.
    pub fn with_accounts(mut self, accounts: Option<HashMap<Arc<str>, AccountEntry>>) -> Self {
        self.accounts = accounts;
        self
    }

    /// Sets the bounds on what callers send.
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// The route with the longest prefix of `path` on `host`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
