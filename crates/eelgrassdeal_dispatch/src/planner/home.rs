//! Which model each fabric domain is for.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use eelgrassdeal_types::{ModelId, ServiceId, UpstreamId};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, UpstreamRecord};

/// Part of a domain's upstreams that may be lost before its groups are counted.
const RESERVE_PART: f64 = 0.33;

/// The model that the spares of a domain hold. Upstreams of one domain that hold the same model can
/// replace each other, so a domain keeps to one model as far as it can.
pub(super) type HomeModels = BTreeMap<Arc<str>, ModelId>;

/// The home model of each domain: the one that most of its upstreams hold, or for a domain without
/// any the one that lacks most groups.
pub(super) fn home_models(
    view: &FleetView,
    service: &ServiceId,
    engine: &EngineSpec,
) -> HomeModels {
    let mut domains: BTreeMap<&Arc<str>, Vec<&Arc<UpstreamRecord>>> = BTreeMap::new();
    for record in view.upstreams.values().filter(|record| record.service == *service) {
        if let Some(domain) = &record.domain {
            domains.entry(domain).or_default().push(record);
        }
    }
    let planned: HashMap<&UpstreamId, &ModelId> = view
        .groups
        .values()
        .flat_map(|group| group.members.iter().map(|(upstream, _)| (upstream, &group.model)))
        .collect();
    let mut homes = HomeModels::new();
    let mut groups: HashMap<ModelId, f64> = HashMap::new();
    let note = |groups: &mut HashMap<ModelId, f64>, spec: &ModelSpec, upstreams: usize| {
        let lasting = upstreams as f64 * (1.0 - RESERVE_PART);
        *groups.entry(spec.model.clone()).or_default() += (lasting / spec.size as f64).floor();
    };
    let mut unassigned = Vec::new();
    for (domain, records) in &domains {
        let held = |spec: &&ModelSpec| {
            records
                .iter()
                .filter(|record| match planned.get(&record.upstream) {
                    Some(model) => **model == spec.model,
                    None => {
                        record.staged.contains(&spec.model)
                            || record.loaded.as_ref() == Some(&spec.model)
                    }
                })
                .count()
        };
        match engine.models.iter().max_by_key(held).filter(|spec| held(spec) > 0) {
            Some(spec) => {
                note(&mut groups, spec, records.len());
                homes.insert((*domain).clone(), spec.model.clone());
            }
            None => unassigned.push((*domain, records)),
        }
    }
    unassigned.sort_by_key(|(domain, records)| (std::cmp::Reverse(records.len()), *domain));
    while !unassigned.is_empty() {
        let lack = |spec: &&ModelSpec| {
            let groups = groups.get(&spec.model).copied().unwrap_or(0.0);
            spec.share / spec.size as f64 / (groups + 1.0)
        };
        let fits = |spec: &&ModelSpec| unassigned.iter().any(|(_, known)| known.len() >= spec.size);
        let best = engine.models.iter().filter(fits).max_by(|left, right| {
            (lack(left), left.size)
                .partial_cmp(&(lack(right), right.size))
                .unwrap_or(Ordering::Equal)
        });
        let Some(spec) = best else { break };
        // The models are spread over the data centres.
        let same_centre = |records: &[&Arc<UpstreamRecord>]| {
            let centre = records.first().map(|record| &record.data_centre);
            let is_same = |domain: &Arc<str>| {
                let known = domains.get(domain).and_then(|records| records.first());
                known.map(|record| &record.data_centre) == centre
            };
            homes.iter().filter(|(domain, model)| **model == spec.model && is_same(domain)).count()
        };
        let position = (0..unassigned.len())
            .filter(|index| unassigned[*index].1.len() >= spec.size)
            .min_by_key(|index| same_centre(unassigned[*index].1));
        let Some(position) = position else { break };
        let (domain, records) = unassigned.remove(position);
        note(&mut groups, spec, records.len());
        homes.insert(domain.clone(), spec.model.clone());
    }
    homes
}
