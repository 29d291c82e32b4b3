//! Checks the syntax of names and that each reference to a name resolves.

use std::collections::BTreeMap;

use model::id::DataCentreId;
use model::id::RegionId;

use crate::check::Collector;
use crate::check::allowed_data_centres;
use crate::doc::Class;
use crate::doc::Document;
use crate::doc::Kind;
use crate::finding::Code;
use crate::tree::escape;

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The sections of the document whose keys are names.
const NAMED_SECTIONS: [&str; 6] = [
    "/halves",
    "/regions",
    "/upstreams",
    "/callers",
    "/teams",
    "/classes",
];

pub(super) fn check(document: &Document, collector: &mut Collector) {
    for section in NAMED_SECTIONS {
        for name in collector.locations.child_names(section) {
            check_name(&name, &format!("{section}/{}", escape(&name)), collector);
        }
    }
    check_halves(document, collector);
    check_regions(document, collector);
    let regions = collector.locations.child_names("/regions");
    let centres: Vec<String> = document
        .regions
        .values()
        .flat_map(|region| &region.data_centres)
        .map(ToString::to_string)
        .collect();
    for (name, class) in &document.classes {
        let pointer = format!("/classes/{}", escape(name.as_str()));
        check_class(document, class, &pointer, &regions, &centres, collector);
    }
}

/// Returns whether a text is a valid name. Names are used in URL paths and in keys of the table, so
/// only a few characters are allowed.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid = text.chars().all(allowed) && text.chars().any(|c| c != '.');
    valid && text.len() <= MAX_NAME_BYTES
}

fn check_name(name: &str, pointer: &str, collector: &mut Collector) {
    if is_valid_name(name) {
        return;
    }
    let message = format!("`{name}` cannot be used as a name");
    collector
        .error_at_key(Code::OutOfRange, pointer, message)
        .help = Some(format!(
        "use 1 to {MAX_NAME_BYTES} ASCII letters, digits, `-`, `_` or `.`"
    ));
}

fn check_halves(document: &Document, collector: &mut Collector) {
    let halves = collector.locations.child_names("/halves");
    let owner_pointer = |section: &str, name: &str| format!("/{section}/{}/half", escape(name));
    for (name, upstream) in &document.upstreams {
        let pointer = owner_pointer("upstreams", name.as_str());
        collector.check_known("half", upstream.half.as_str(), &halves, &pointer);
    }
    for (name, caller) in &document.callers {
        let pointer = owner_pointer("callers", name.as_str());
        collector.check_known("half", caller.half.as_str(), &halves, &pointer);
    }
    for (name, team) in &document.teams {
        let pointer = owner_pointer("teams", name.as_str());
        collector.check_known("half", team.half.as_str(), &halves, &pointer);
    }
    for (name, class) in &document.classes {
        let pointer = owner_pointer("classes", name.as_str());
        collector.check_known("half", class.half.as_str(), &halves, &pointer);
    }
}

fn check_regions(document: &Document, collector: &mut Collector) {
    let mut regions_by_centre: BTreeMap<&DataCentreId, &RegionId> = BTreeMap::new();
    for (name, region) in &document.regions {
        for (index, centre) in region.data_centres.iter().enumerate() {
            let pointer = format!("/regions/{}/data_centres/{index}", escape(name.as_str()));
            check_name(centre.as_str(), &pointer, collector);
            if let Some(other) = regions_by_centre.insert(centre, name) {
                let message = format!("data centre `{centre}` already belongs to region `{other}`");
                collector.error(Code::Contradiction, &pointer, message);
            }
        }
    }
}

fn check_class(
    document: &Document,
    class: &Class,
    pointer: &str,
    regions: &[String],
    centres: &[String],
    collector: &mut Collector,
) {
    for (index, region) in class.regions.iter().enumerate() {
        let value_pointer = format!("{pointer}/regions/{index}");
        collector.check_known("region", region.as_str(), regions, &value_pointer);
    }
    let within = |centre: &DataCentreId| {
        document.regions.iter().any(|(name, region)| {
            class.regions.contains(name) && region.data_centres.contains(centre)
        })
    };
    for (index, centre) in class.data_centres.iter().enumerate() {
        let value_pointer = format!("{pointer}/data_centres/{index}");
        let known = centres.iter().any(|known| known == centre.as_str());
        if known && !class.regions.is_empty() && !within(centre) {
            let message = format!("data centre `{centre}` lies in none of the class's regions");
            collector.error(Code::Contradiction, &value_pointer, message);
        }
        collector.check_known("data centre", centre.as_str(), centres, &value_pointer);
    }
    let all_known = class
        .regions
        .iter()
        .all(|region| regions.iter().any(|r| r == region.as_str()))
        && class
            .data_centres
            .iter()
            .all(|centre| centres.iter().any(|c| c == centre.as_str()));
    if all_known && allowed_data_centres(document, class).is_empty() {
        let message = "tasks of this class may run nowhere".to_owned();
        collector
            .error_at_key(Code::RunsNowhere, pointer, message)
            .help = Some("leave `regions` and `data_centres` empty to allow all".to_owned());
    }
    if class.kind == Kind::Batch && class.p99_target_us.is_some() {
        let message = "a batch class cannot have a tail latency target".to_owned();
        let value_pointer = format!("{pointer}/p99_target_us");
        collector.error(Code::Contradiction, &value_pointer, message);
    }
}
