//! Names: what they may look like, and that each refers to something.

use std::collections::BTreeMap;

use model::id::DataCentreId;
use model::id::RegionId;

use crate::check::Found;
use crate::check::allowed;
use crate::doc::Class;
use crate::doc::Document;
use crate::doc::Kind;
use crate::finding::Code;
use crate::tree::escape;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The parts of the document whose keys are names.
const NAMED: [&str; 6] = [
    "/halves",
    "/regions",
    "/upstreams",
    "/callers",
    "/teams",
    "/classes",
];

pub(super) fn check(document: &Document, found: &mut Found) {
    for part in NAMED {
        for name in found.places.names(part) {
            check_name(&name, &format!("{part}/{}", escape(&name)), found);
        }
    }
    check_halves(document, found);
    check_regions(document, found);
    let regions = found.places.names("/regions");
    let centres: Vec<String> = document
        .regions
        .values()
        .flat_map(|region| &region.data_centres)
        .map(ToString::to_string)
        .collect();
    for (name, class) in &document.classes {
        let pointer = format!("/classes/{}", escape(name.as_str()));
        check_class(document, class, &pointer, &regions, &centres, found);
    }
}

/// Returns whether a text can be used as a name: names are parts of paths and of the table's keys.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let sound = text.chars().all(allowed) && text.chars().any(|c| c != '.');
    sound && text.len() <= MAX_NAME_BYTES
}

fn check_name(name: &str, pointer: &str, found: &mut Found) {
    if is_name(name) {
        return;
    }
    let message = format!("`{name}` cannot be used as a name");
    found.error_at_key(Code::OutOfRange, pointer, message).help = Some(format!(
        "use 1 to {MAX_NAME_BYTES} letters of ASCII, digits, `-`, `_` or `.`"
    ));
}

fn check_halves(document: &Document, found: &mut Found) {
    let halves = found.places.names("/halves");
    let owners = |part: &str, name: &str| format!("/{part}/{}/half", escape(name));
    for (name, upstream) in &document.upstreams {
        let pointer = owners("upstreams", name.as_str());
        found.unknown("half", upstream.half.as_str(), &halves, &pointer);
    }
    for (name, caller) in &document.callers {
        let pointer = owners("callers", name.as_str());
        found.unknown("half", caller.half.as_str(), &halves, &pointer);
    }
    for (name, team) in &document.teams {
        let pointer = owners("teams", name.as_str());
        found.unknown("half", team.half.as_str(), &halves, &pointer);
    }
    for (name, class) in &document.classes {
        let pointer = owners("classes", name.as_str());
        found.unknown("half", class.half.as_str(), &halves, &pointer);
    }
}

fn check_regions(document: &Document, found: &mut Found) {
    let mut homes: BTreeMap<&DataCentreId, &RegionId> = BTreeMap::new();
    for (name, region) in &document.regions {
        for (index, centre) in region.data_centres.iter().enumerate() {
            let pointer = format!("/regions/{}/data_centres/{index}", escape(name.as_str()));
            check_name(centre.as_str(), &pointer, found);
            if let Some(home) = homes.insert(centre, name) {
                let message = format!("data centre `{centre}` already belongs to region `{home}`");
                found.error(Code::Contradiction, &pointer, message);
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
    found: &mut Found,
) {
    for (index, region) in class.regions.iter().enumerate() {
        let place = format!("{pointer}/regions/{index}");
        found.unknown("region", region.as_str(), regions, &place);
    }
    let within = |centre: &DataCentreId| {
        document.regions.iter().any(|(name, region)| {
            class.regions.contains(name) && region.data_centres.contains(centre)
        })
    };
    for (index, centre) in class.data_centres.iter().enumerate() {
        let place = format!("{pointer}/data_centres/{index}");
        let known = centres.iter().any(|known| known == centre.as_str());
        if known && !class.regions.is_empty() && !within(centre) {
            let message = format!("data centre `{centre}` lies in none of the class's regions");
            found.error(Code::Contradiction, &place, message);
        }
        found.unknown("data centre", centre.as_str(), centres, &place);
    }
    let all_known = class
        .regions
        .iter()
        .all(|region| regions.iter().any(|r| r == region.as_str()))
        && class
            .data_centres
            .iter()
            .all(|centre| centres.iter().any(|c| c == centre.as_str()));
    if all_known && allowed(document, class).is_empty() {
        let message = "tasks of this class may run nowhere".to_owned();
        found.error_at_key(Code::RunsNowhere, pointer, message).help =
            Some("leave `regions` and `data_centres` empty to allow all".to_owned());
    }
    if class.kind == Kind::Batch && class.p99_target_us.is_some() {
        let message = "a batch class has no tail latency to keep to".to_owned();
        let place = format!("{pointer}/p99_target_us");
        found.error(Code::Contradiction, &place, message);
    }
}
