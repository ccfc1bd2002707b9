//! Divides the upstreams of each fabric domain among the models of a service.
//!
//! It answers the load of a day on which group members are lost one after the other, while a model
//! takes longer to load than the time between two losses. What a domain holds at the start then
//! decides how many groups of each model are left later. The upstreams of a domain that hold the
//! same model replace each other, so upstreams beyond full groups are worth something, too: they
//! raise the number of groups that is expected to survive.
//!
//! A model whose groups fit into no domain gets upstreams of several ones.
//!
//! The division maximises the sum, over the models, of the model's share of the work times the
//! logarithm of its expected capacity, with all data centres and with each of them missing in turn.
//! The logarithm favours the model that has too little.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use eelgrassdeal_types::{DataCentreId, ModelId};

use crate::config::{EngineSpec, ModelSpec};

use super::service_context::DomainModel;

/// Fraction of the upstreams that are assumed to be lost before other upstreams have loaded their
/// model.
const EXPECTED_LOSS_FRACTION: f64 = 0.1;
/// Added to the capacity of a model, in upstreams, so that its logarithm is defined without any.
const CAPACITY_OFFSET: f64 = 0.5;
/// Maximum number of passes over the domains. Each pass adjusts every domain to the others.
const MAX_PASSES: usize = 5;

/// The upstreams of one fabric domain that may serve.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DomainContent {
    pub(super) data_centre: DataCentreId,
    /// Number of upstreams that hold or are loading each model, in the order of
    /// [`EngineSpec::models`].
    pub(super) holders: Vec<usize>,
    /// Number of upstreams without a model.
    pub(super) empty: usize,
}

impl DomainContent {
    /// Number of upstreams in the domain.
    pub(super) fn size(&self) -> usize {
        self.holders.iter().sum::<usize>() + self.empty
    }
}

/// Number of upstreams of each domain that are to hold each model, including those that hold it
/// already.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct DomainSplit {
    wanted: HashMap<DomainModel, usize>,
}

impl DomainSplit {
    /// Divides the upstreams without a model. `weights` are the shares of the work by model, in the
    /// order of [`EngineSpec::models`].
    pub(super) fn new(
        domains: &BTreeMap<Arc<str>, DomainContent>,
        engine: &EngineSpec,
        weights: &[f64],
    ) -> Self {
        let mut capacity = SplitCapacity::new(domains, engine, weights);
        let empty_domains: Vec<_> =
            domains.iter().filter(|(_, content)| content.empty > 0).collect();
        for _ in 0..MAX_PASSES {
            let mut is_changed = false;
            for (domain, content) in &empty_domains {
                is_changed |= capacity.improve(domain, content);
            }
            if !is_changed {
                break;
            }
        }
        let mut wanted = HashMap::new();
        for (domain, holders) in capacity.holders {
            for (spec, count) in engine.models.iter().zip(holders) {
                wanted.insert((domain.clone(), spec.model.clone()), count);
            }
        }
        Self { wanted }
    }

    /// Number of upstreams of `domain` that are to hold `model`.
    pub(super) fn wanted(&self, domain: &Arc<str>, model: &ModelId) -> usize {
        self.wanted.get(&(domain.clone(), model.clone())).copied().unwrap_or(0)
    }
}

/// Expected capacity of each model under a division, and the division itself.
struct SplitCapacity<'a> {
    weights: &'a [f64],
    /// Expected capacity in upstreams, by model and number of holders in a domain.
    expected: Vec<Vec<f64>>,
    centres: BTreeMap<&'a DataCentreId, usize>,
    /// Expected capacity by data centre and model.
    by_centre: Vec<Vec<f64>>,
    /// Number of holders of each model, by domain.
    holders: BTreeMap<Arc<str>, Vec<usize>>,
}

impl<'a> SplitCapacity<'a> {
    fn new(
        domains: &'a BTreeMap<Arc<str>, DomainContent>,
        engine: &EngineSpec,
        weights: &'a [f64],
    ) -> Self {
        let largest = domains.values().map(DomainContent::size).max().unwrap_or(0);
        let expected = engine
            .models
            .iter()
            .map(|spec| match spec.size <= largest {
                true => expected_capacities(spec, largest),
                false => cross_domain_capacities(largest, engine.cross_domain_factor),
            })
            .collect();
        let centres: BTreeSet<_> = domains.values().map(|content| &content.data_centre).collect();
        let centres: BTreeMap<_, _> =
            centres.into_iter().enumerate().map(|(index, centre)| (centre, index)).collect();
        let mut capacity = Self {
            weights,
            expected,
            by_centre: vec![vec![0.0; engine.models.len()]; centres.len()],
            centres,
            holders: BTreeMap::new(),
        };
        for (domain, content) in domains {
            capacity.add(content, &content.holders, 1.0);
            capacity.holders.insert(domain.clone(), content.holders.clone());
        }
        capacity
    }

    /// Gives the empty upstreams of one domain to the models for which the value is highest, and
    /// takes the earlier choice back for this. Returns whether the division has changed.
    fn improve(&mut self, domain: &Arc<str>, content: &DomainContent) -> bool {
        let Some(current) = self.holders.get(domain).cloned() else { return false };
        self.add(content, &current, -1.0);
        let mut best: Option<(f64, Vec<usize>)> = None;
        for holders in divisions(content) {
            self.add(content, &holders, 1.0);
            let value = self.value();
            self.add(content, &holders, -1.0);
            if best.as_ref().is_none_or(|(best_value, _)| value > *best_value) {
                best = Some((value, holders));
            }
        }
        let chosen = best.map_or_else(|| current.clone(), |(_, holders)| holders);
        self.add(content, &chosen, 1.0);
        let is_changed = chosen != current;
        self.holders.insert(domain.clone(), chosen);
        is_changed
    }

    /// Adds the capacity of a domain, multiplied by `sign`.
    fn add(&mut self, content: &DomainContent, holders: &[usize], sign: f64) {
        let Some(centre) = self.centres.get(&content.data_centre) else { return };
        for (model, count) in holders.iter().enumerate() {
            self.by_centre[*centre][model] += sign * self.expected[model][*count];
        }
    }

    /// Value of the division, see the module's documentation.
    fn value(&self) -> f64 {
        let total = |model: usize| -> f64 { self.by_centre.iter().map(|sums| sums[model]).sum() };
        let totals: Vec<f64> = (0..self.weights.len()).map(total).collect();
        let value_without = |missing: Option<&Vec<f64>>| -> f64 {
            let capacity = |model: usize| totals[model] - missing.map_or(0.0, |sums| sums[model]);
            let weights = self.weights.iter().enumerate();
            weights
                .map(|(model, weight)| weight * (capacity(model).max(0.0) + CAPACITY_OFFSET).ln())
                .sum()
        };
        let missing_values: f64 = self.by_centre.iter().map(|sums| value_without(Some(sums))).sum();
        value_without(None) + missing_values / self.by_centre.len().max(1) as f64
    }
}

/// The ways to give the empty upstreams of a domain to at most two models. More models in one domain
/// would leave each of them with too few upstreams that replace each other.
fn divisions(content: &DomainContent) -> Vec<Vec<usize>> {
    let models = content.holders.len();
    let mut divisions = Vec::new();
    for first in 0..models {
        for second in first + 1..models.max(first + 2) {
            // The last model alone stands for the case of a single model.
            let counts =
                if second < models { 0..=content.empty } else { content.empty..=content.empty };
            for count in counts {
                let mut holders = content.holders.clone();
                holders[first] += count;
                if second < models {
                    holders[second] += content.empty - count;
                }
                divisions.push(holders);
            }
        }
    }
    divisions
}

/// Like [`expected_capacities`], for a model whose groups fit into no domain: its groups take members
/// from several domains and are slower by `factor`. Any upstream can complete one of them.
fn cross_domain_capacities(largest: usize, factor: f64) -> Vec<f64> {
    let capacity = (1.0 - EXPECTED_LOSS_FRACTION) / factor.max(1.0);
    (0..=largest).map(|holders| holders as f64 * capacity).collect()
}

/// Expected number of upstreams in groups of `spec`, by the number of upstreams in a domain that
/// hold the model, from 0 to `largest`. Each is lost with the probability
/// [`EXPECTED_LOSS_FRACTION`].
fn expected_capacities(spec: &ModelSpec, largest: usize) -> Vec<f64> {
    let size = spec.size.max(1);
    let survival = 1.0 - EXPECTED_LOSS_FRACTION;
    // Probability of each number of survivors.
    let mut survivors = vec![1.0];
    let mut capacities = Vec::with_capacity(largest + 1);
    for _ in 0..=largest {
        let upstreams =
            |(count, probability): (usize, &f64)| probability * (count / size * size) as f64;
        capacities.push(survivors.iter().enumerate().map(upstreams).sum());
        let mut next = vec![0.0; survivors.len() + 1];
        for (count, probability) in survivors.iter().enumerate() {
            next[count] += probability * (1.0 - survival);
            next[count + 1] += probability * survival;
        }
        survivors = next;
    }
    capacities
}
