//! Losses, returns and additions of a day.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::spec::FleetSpec;

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// Members of groups of a data centre fall silent for good.
    LoseMembers {
        /// Data centre.
        data_centre: usize,
        /// How many.
        count: usize,
    },
    /// All upstreams of a domain fall silent, and start again later.
    DarkDomain {
        /// Domain, counted over all data centres.
        domain: usize,
        /// How long.
        lasts: Duration,
    },
    /// An upstream without a model is added.
    Add {
        /// Data centre.
        data_centre: usize,
    },
    /// The planner is lost, and another takes over later.
    LosePlanner {
        /// How long nobody plans.
        lasts: Duration,
    },
}

/// What happens to a fleet, and when, counted from the first request.
#[derive(Clone, Debug, Default)]
pub struct LossScript {
    /// Events in the order of their times.
    pub events: Vec<(Duration, FleetEvent)>,
    /// How long requests come.
    pub length: Duration,
}

impl LossScript {
    /// A day on which nothing happens.
    pub fn calm(length: Duration) -> Self {
        Self { events: Vec::new(), length }
    }

    /// Adds an event.
    pub fn with_event(mut self, at: Duration, event: FleetEvent) -> Self {
        self.events.push((at, event));
        self.events.sort_by_key(|(at, _)| *at);
        self
    }

    /// A day as the users describe it: two members lost about every three seconds in one data centre
    /// after the other, new upstreams from the eleventh second on, on half of the days a dark domain,
    /// on a third of the days a lost planner.
    pub fn heavy_day(spec: &FleetSpec, random: &mut StdRng) -> Self {
        let length = Duration::from_secs(34);
        let mut script = Self::calm(length);
        let mut add = |at: f64, event: FleetEvent| {
            script.events.push((Duration::from_secs_f64(at), event));
        };
        let first = random.random_range(0..spec.data_centres);
        let has_dark_domain = random.random_bool(0.5);
        for index in 0..9 {
            let at = 2.5 + 3.0 * f64::from(index) + random.random_range(0.0..1.0);
            let data_centre = (first + index as usize) % spec.data_centres;
            match has_dark_domain && index == 3 {
                true => {
                    let domain = random.random_range(0..spec.domains * spec.data_centres);
                    let lasts = Duration::from_secs_f64(random.random_range(6.0..9.0));
                    add(11.0, FleetEvent::DarkDomain { domain, lasts });
                }
                false => add(at, FleetEvent::LoseMembers { data_centre, count: 2 }),
            }
        }
        for index in 0..7 {
            let at = 11.5 + 3.0 * f64::from(index) + random.random_range(0.0..1.0);
            let data_centre = (first + 1 + index as usize) % spec.data_centres;
            add(at, FleetEvent::Add { data_centre });
            add(at + 1.0, FleetEvent::Add { data_centre });
        }
        if random.random_bool(0.33) {
            let at = random.random_range(8.0..25.0);
            add(at, FleetEvent::LosePlanner { lasts: Duration::from_secs(3) });
        }
        script.events.sort_by_key(|(at, _)| *at);
        script
    }
}
