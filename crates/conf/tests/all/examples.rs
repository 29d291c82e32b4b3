use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use conf::check::Context;
use conf::check::Inventory;
use conf::check::check;
use conf::doc::Document;
use conf::settings::load;
use model::Size;

/// The capacity of one worker: 64 cores and 250 GB of memory.
const WORKER: Size = Size::new(64_000, 238_400, 0);

fn example(name: &str) -> String {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(examples.join(name)).unwrap()
}

fn inventory(workers: &[(&str, u64)]) -> Inventory {
    let all = |count: &u64| (0..*count).map(|_| WORKER).sum();
    let capacity: BTreeMap<_, _> = workers
        .iter()
        .map(|(centre, count)| ((*centre).into(), all(count)))
        .collect();
    Inventory { capacity }
}

fn document(name: &str, workers: &[(&str, u64)]) -> Document {
    let inventory = inventory(workers);
    let cx = Context {
        inventory: Some(&inventory),
        ..Context::default()
    };
    let checked = check(&example(name), &cx);
    assert_eq!(checked.findings, [], "{name}");
    checked.document.unwrap()
}

#[test]
fn sample_documents_hold_on_the_users_workers() {
    let rsh = document(
        "rsh.document.jsonc",
        &[("limburg", 25), ("antwerpen", 20), ("namur", 20)],
    );
    let aqse = document(
        "aqse.document.jsonc",
        &[("rimouski", 17), ("saguenay", 17), ("gatineau", 16)],
    );
    assert!(rsh.sharing.tail_weight > rsh.sharing.throughput_weight);
    assert!(aqse.sharing.throughput_weight > aqse.sharing.tail_weight);
}

#[test]
fn sample_settings_load_and_fit_the_documents() {
    let cases = [
        ("rsh.limburg-1.settings.jsonc", "rsh.document.jsonc"),
        ("rsh.namur-1.settings.jsonc", "rsh.document.jsonc"),
        ("aqse.rimouski-1.settings.jsonc", "aqse.document.jsonc"),
        ("aqse.gatineau-1.settings.jsonc", "aqse.document.jsonc"),
    ];
    for (settings, document) in cases {
        let settings = load(&example(settings)).unwrap();
        let document = conf::check::read(&example(document)).unwrap();
        assert!(document.halves.contains_key(&settings.half));
        let region = &document.regions[&settings.place.region];
        assert!(region.data_centres.contains(&settings.place.data_centre));
    }
}
