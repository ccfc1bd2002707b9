//! Losses and additions of upstreams during an emulated run.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::spec::FleetSpec;

/// A change to the fleet that the planner does not initiate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// Randomly chosen group members in one data centre fail permanently.
    LoseMembers {
        /// Index of the data centre.
        data_centre: usize,
        /// Number of members.
        count: usize,
    },
    /// All upstreams of a fabric domain fail, and restart under new ids when the outage ends.
    DomainOutage {
        /// Index of the domain among the domains of all data centres.
        domain: usize,
        /// Time until the upstreams restart.
        duration: Duration,
    },
    /// An upstream that holds no model is added in a random domain of a data centre.
    AddUpstream {
        /// Index of the data centre.
        data_centre: usize,
    },
    /// The planner fails, and a new one takes over when the outage ends.
    PlannerOutage {
        /// Time without a planner.
        duration: Duration,
    },
}

/// Events of an emulated run.
#[derive(Clone, Debug, Default)]
pub struct LossScenario {
    /// Events with their times since the start of traffic, in order of time.
    pub events: Vec<(Duration, FleetEvent)>,
    /// Time from the start of traffic until the end of the run.
    pub duration: Duration,
}

impl LossScenario {
    /// Creates a scenario without events.
    pub fn without_events(duration: Duration) -> Self {
        Self { events: Vec::new(), duration }
    }

    /// Adds an event at `at` after the start of traffic.
    pub fn with_event(mut self, at: Duration, event: FleetEvent) -> Self {
        self.events.push((at, event));
        self.events.sort_by_key(|(at, _)| *at);
        self
    }

    /// Creates a random scenario of 34 s with heavy losses:
    ///
    /// - Every three seconds or so, two group members are lost, in each data centre in turn.
    /// - In half of the scenarios, a domain outage replaces the fourth of these losses.
    /// - From 11.5 s on, two upstreams are added about every three seconds.
    /// - In a third of the scenarios, there is no planner for three seconds.
    pub fn heavy_losses(spec: &FleetSpec, random: &mut StdRng) -> Self {
        let duration = Duration::from_secs(34);
        let mut scenario = Self::without_events(duration);
        let mut add = |at: f64, event: FleetEvent| {
            scenario.events.push((Duration::from_secs_f64(at), event));
        };
        let first_centre = random.random_range(0..spec.data_centres);
        let has_domain_outage = random.random_bool(0.5);
        for index in 0..9 {
            let at = 2.5 + 3.0 * f64::from(index) + random.random_range(0.0..1.0);
            let data_centre = (first_centre + index as usize) % spec.data_centres;
            match has_domain_outage && index == 3 {
                true => {
                    let domain = random.random_range(0..spec.domains * spec.data_centres);
                    let duration = Duration::from_secs_f64(random.random_range(6.0..9.0));
                    add(11.0, FleetEvent::DomainOutage { domain, duration });
                }
                false => add(at, FleetEvent::LoseMembers { data_centre, count: 2 }),
            }
        }
        for index in 0..7 {
            let at = 11.5 + 3.0 * f64::from(index) + random.random_range(0.0..1.0);
            let data_centre = (first_centre + 1 + index as usize) % spec.data_centres;
            add(at, FleetEvent::AddUpstream { data_centre });
            add(at + 1.0, FleetEvent::AddUpstream { data_centre });
        }
        if random.random_bool(0.33) {
            let at = random.random_range(8.0..25.0);
            add(at, FleetEvent::PlannerOutage { duration: Duration::from_secs(3) });
        }
        scenario.events.sort_by_key(|(at, _)| *at);
        scenario
    }
}
