//! Assigns a primary model to each fabric domain.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use eelgrassdeal_types::{ModelId, ServiceId, UpstreamId};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, UpstreamRecord};

/// Fraction of a domain's upstreams that the estimate of the domain's number of groups leaves out,
/// as an allowance for lost upstreams. The same for every domain, whatever it has lost so far.
const EXPECTED_LOSS_FRACTION: f64 = 0.33;

/// Primary model of each fabric domain: the model that the spares of the domain hold. Upstreams in
/// one domain that hold the same model can replace each other, so a domain uses a single model
/// wherever possible.
pub(super) type PrimaryModels = BTreeMap<Arc<str>, ModelId>;

/// Returns the primary model of each domain. This is the model that most upstreams of the domain
/// hold, where a member of a group counts as holding the group's model.
///
/// Domains in which no upstream holds a model are then assigned one by one. Of the models that fit
/// into a remaining domain, the one with the highest demand for further groups is selected. To
/// spread the model, only the data centres in which it is the primary model of the fewest domains
/// are considered, and it is assigned the largest remaining domain there. A domain that is too
/// small for every model has no primary model.
pub(super) fn primary_models(
    view: &FleetView,
    service: &ServiceId,
    engine: &EngineSpec,
) -> PrimaryModels {
    let mut domains: BTreeMap<&Arc<str>, Vec<&Arc<UpstreamRecord>>> = BTreeMap::new();
    for record in view.upstreams.values().filter(|record| record.service == *service) {
        if let Some(domain) = &record.domain {
            domains.entry(domain).or_default().push(record);
        }
    }
    let group_models: HashMap<&UpstreamId, &ModelId> = view
        .groups
        .values()
        .flat_map(|group| group.members.iter().map(|(upstream, _)| (upstream, &group.model)))
        .collect();
    let mut primary_models = PrimaryModels::new();
    let mut expected_groups: HashMap<ModelId, f64> = HashMap::new();
    let add_domain =
        |expected_groups: &mut HashMap<ModelId, f64>, spec: &ModelSpec, upstreams: usize| {
            let remaining = upstreams as f64 * (1.0 - EXPECTED_LOSS_FRACTION);
            *expected_groups.entry(spec.model.clone()).or_default() +=
                (remaining / spec.size as f64).floor();
        };
    let mut unassigned = Vec::new();
    for (domain, records) in &domains {
        let holder_count = |spec: &&ModelSpec| {
            records
                .iter()
                .filter(|record| match group_models.get(&record.upstream) {
                    Some(model) => **model == spec.model,
                    None => {
                        record.staged.contains(&spec.model)
                            || record.loaded.as_ref() == Some(&spec.model)
                    }
                })
                .count()
        };
        match engine.models.iter().max_by_key(holder_count).filter(|spec| holder_count(spec) > 0) {
            Some(spec) => {
                add_domain(&mut expected_groups, spec, records.len());
                primary_models.insert((*domain).clone(), spec.model.clone());
            }
            None => unassigned.push((*domain, records)),
        }
    }
    unassigned.sort_by_key(|(domain, records)| (std::cmp::Reverse(records.len()), *domain));
    while !unassigned.is_empty() {
        // Unlike `ServiceContext::demand`, this counts the groups that are expected in the assigned
        // domains, not the existing ones, and ignores the requests per slot.
        let expected_demand = |spec: &&ModelSpec| {
            let expected_groups = expected_groups.get(&spec.model).copied().unwrap_or(0.0);
            spec.share / spec.size as f64 / (expected_groups + 1.0)
        };
        let fits =
            |spec: &&ModelSpec| unassigned.iter().any(|(_, records)| records.len() >= spec.size);
        let best = engine.models.iter().filter(fits).max_by(|left, right| {
            (expected_demand(left), left.size)
                .partial_cmp(&(expected_demand(right), right.size))
                .unwrap_or(Ordering::Equal)
        });
        let Some(spec) = best else { break };
        // Each model is spread over the data centres. This counts the domains with the primary
        // model `spec` in the data centre of `records`.
        let assigned_in_centre = |records: &[&Arc<UpstreamRecord>]| {
            let centre = records.first().map(|record| &record.data_centre);
            let is_in_centre = |domain: &Arc<str>| {
                let first_record = domains.get(domain).and_then(|records| records.first());
                first_record.map(|record| &record.data_centre) == centre
            };
            primary_models
                .iter()
                .filter(|(domain, model)| **model == spec.model && is_in_centre(domain))
                .count()
        };
        let position = (0..unassigned.len())
            .filter(|index| unassigned[*index].1.len() >= spec.size)
            .min_by_key(|index| assigned_in_centre(unassigned[*index].1));
        let Some(position) = position else { break };
        let (domain, records) = unassigned.remove(position);
        add_domain(&mut expected_groups, spec, records.len());
        primary_models.insert(domain.clone(), spec.model.clone());
    }
    primary_models
}
