//! Derives the rack of each executor from its labels.

use std::sync::Arc;

use model::Map;
use model::Set;

use crate::fleet::Fleet;

/// Sets the rack of each listed executor.
///
/// One of an executor's labels names its rack, and the list does not say which one. A rack is in one
/// data centre. So a label is taken for the rack if it is the executor's only one that occurs in a
/// single data centre. Otherwise executors count as being in one rack only if all their labels are the
/// same: the rack is among the labels, so that this never joins two racks, but it may split one.
pub(crate) fn assign_racks(fleet: &mut Fleet) {
    let mut data_centres: Map<Arc<str>, Set<Arc<str>>> = Map::default();
    for (_, executor) in fleet.iter().filter(|(_, executor)| executor.listed) {
        for label in &executor.listing.labels {
            let known = data_centres.entry(label.clone()).or_default();
            if !known.contains(&executor.listing.data_centre) {
                known.insert(executor.listing.data_centre.clone());
            }
        }
    }
    for (_, executor) in fleet.iter_mut().filter(|(_, executor)| executor.listed) {
        let labels = &executor.listing.labels;
        let is_local =
            |label: &&Arc<str>| data_centres.get(*label).is_some_and(|in_| in_.len() == 1);
        let mut local = labels.iter().filter(is_local);
        let rack = match (local.next(), local.next()) {
            (Some(rack), None) => Some(rack.clone()),
            _ if labels.is_empty() => None,
            _ => {
                let mut sorted = labels.clone();
                sorted.sort();
                let names: Vec<&str> = sorted.iter().map(|label| &**label).collect();
                Some(format!("{}:{}", executor.listing.data_centre, names.join("+")).into())
            }
        };
        if executor.rack != rack {
            executor.rack = rack;
        }
    }
}
