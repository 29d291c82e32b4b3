//! Checks that shares, quotas and classes fit the capacity of the workers.

use std::collections::BTreeMap;

use model::Size;
use model::id::DataCentreId;
use model::id::HalfId;

use crate::check::Collector;
use crate::check::Context;
use crate::check::Inventory;
use crate::check::allowed_data_centres;
use crate::doc::Document;
use crate::finding::Code;
use crate::tree::escape;

/// The whole capacity, in percent.
const HUNDRED_PERCENT: u64 = 100;

pub(super) fn check(document: &Document, cx: &Context<'_>, collector: &mut Collector) {
    check_shares(document, collector);
    let sharing = &document.sharing;
    if sharing.tail_weight + sharing.throughput_weight + sharing.evictions_weight == 0 {
        let message = "at least one of the three weights must be above 0".to_owned();
        collector.error(Code::Contradiction, "/sharing", message);
    }
    if let Some(inventory) = cx.inventory {
        check_quotas(document, inventory, collector);
        check_worker_locations(document, inventory, collector);
    }
}

fn check_shares(document: &Document, collector: &mut Collector) {
    let sum: u64 = document
        .halves
        .values()
        .map(|half| u64::from(half.share_percent))
        .sum();
    if sum > HUNDRED_PERCENT {
        let message = format!("the halves' shares add up to {sum} percent");
        collector
            .error_at_key(Code::OverShare, "/halves", message)
            .help = Some("lower `share_percent`; a half that names none has 100".to_owned());
    }
}

fn check_quotas(document: &Document, inventory: &Inventory, collector: &mut Collector) {
    let total: Size = inventory.capacity.values().copied().sum();
    let mut promised: BTreeMap<&HalfId, Size> = BTreeMap::new();
    for (name, team) in &document.teams {
        *promised.entry(&team.half).or_default() += team.quota;
        if !team.quota.fits(&total) {
            let pointer = format!("/teams/{}/quota", escape(name.as_str()));
            let message =
                format!("the quota of team `{name}` exceeds the capacity of all workers: {total}");
            collector.error(Code::OverPromised, &pointer, message);
        }
    }
    for (name, half) in &document.halves {
        let share = percent_of(&total, half.share_percent.into());
        let quotas = promised.get(name).copied().unwrap_or_default();
        if !quotas.fits(&share) {
            let pointer = format!("/halves/{}", escape(name.as_str()));
            let message = format!("the quotas in half `{name}` add up to {quotas} of {share}");
            collector
                .error_at_key(Code::OverPromised, &pointer, message)
                .help = Some("lower the teams' quotas or raise `share_percent`".to_owned());
        }
    }
}

fn percent_of(total: &Size, percent: u64) -> Size {
    let of =
        |all: u64| (u128::from(all) * u128::from(percent) / u128::from(HUNDRED_PERCENT)) as u64;
    Size::new(
        of(total.cpu_millis),
        of(total.memory_mib),
        of(total.accelerators),
    )
}

fn check_worker_locations(document: &Document, inventory: &Inventory, collector: &mut Collector) {
    let has_workers = |centre: &DataCentreId| {
        inventory
            .capacity
            .get(centre)
            .is_some_and(|capacity| *capacity != Size::ZERO)
    };
    for (name, class) in &document.classes {
        let allowed = allowed_data_centres(document, class);
        if !allowed.is_empty() && !allowed.iter().any(has_workers) {
            let pointer = format!("/classes/{}", escape(name.as_str()));
            let message = format!("there is no worker where class `{name}` may run");
            collector.error_at_key(Code::RunsNowhere, &pointer, message);
        }
    }
}
