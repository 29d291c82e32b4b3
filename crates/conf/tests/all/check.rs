use std::collections::BTreeMap;

use conf::check::Context;
use conf::check::Inventory;
use conf::check::Running;
use conf::check::RunningGroup;
use conf::check::check;
use conf::diff;
use conf::finding::Code;
use conf::finding::Finding;
use conf::report::Report;
use model::Size;
use model::id::DataCentreId;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::support::assert_found;
use crate::support::replace_once;

const SEED: u64 = 20_261_204;
const GEN_SIZE: usize = 60;

const VALID: &str = r#"{
  // Comments stay.
  "halves": { "east": { "share_percent": 60 }, "west": { "share_percent": 40 } },
  "regions": { "r1": { "data_centres": ["d1", "d2"] }, "r2": { "data_centres": ["d3"] } },
  "upstreams": {
    "planning": { "half": "east", "routes": ["/plan"] },
    "parts": { "half": "west", "routes": ["/parts"] },
  },
  "teams": { "fleet": { "half": "east", "quota": { "cpu_millis": 6000, "memory_mib": 600 } } },
  "classes": { "checks": { "kind": "batch", "half": "east", "regions": ["r1"] } },
  "sharing": { "batch_percent": 70 }
}"#;

fn inventory() -> Inventory {
    let centre = |name: &str| (DataCentreId::new(name), Size::new(5000, 500, 0));
    Inventory {
        capacity: BTreeMap::from([centre("d1"), centre("d2")]),
    }
}

fn running() -> Running {
    Running {
        groups: vec![RunningGroup {
            class: "checks".into(),
            team: "fleet".into(),
            data_centre: "d2".into(),
            tasks: 3,
        }],
    }
}

fn findings(text: &str) -> Vec<Finding> {
    let (inventory, running) = (inventory(), running());
    let before = check(VALID, &Context::default()).document.unwrap();
    let cx = Context {
        inventory: Some(&inventory),
        running: Some(&running),
        in_force: Some(&before),
    };
    check(text, &cx).findings
}

#[test]
fn a_valid_document_has_no_findings() {
    assert_eq!(findings(VALID), []);
}

#[test]
fn each_fault_is_found_at_its_location() {
    // The text to replace, its replacement, the code of the finding, the text at its location.
    let cases = [
        (
            r#""batch","#,
            r#""batch""#,
            Code::Syntax,
            r#" "half": "east", "regions""#,
        ),
        (
            "east\", \"r",
            "east\", \"hafl\": 1, \"r",
            Code::UnknownKey,
            r#""hafl""#,
        ),
        (
            r#""kind": "batch", "#,
            "",
            Code::MissingKey,
            r#"{ "half": "east", "regions""#,
        ),
        (
            r#""quota": {"#,
            r#""quota": {}, "quota": {"#,
            Code::DuplicateKey,
            r#""quota": { "cpu"#,
        ),
        (r#"["/plan"]"#, r#""/plan""#, Code::WrongType, r#""/plan""#),
        (
            r#""batch_percent": 70"#,
            r#""batch_percent": 170"#,
            Code::OutOfRange,
            "170",
        ),
        (
            r#"["/plan"]"#,
            r#"["plan"]"#,
            Code::OutOfRange,
            r#""plan"]"#,
        ),
        (r#""checks""#, r#""a b""#, Code::OutOfRange, r#""a b""#),
        (
            r#"{ "half": "west", "#,
            r#"{ "half": "wset", "#,
            Code::UnknownName,
            r#""wset""#,
        ),
        (r#"["r1"]"#, r#"["r1", "r9"]"#, Code::UnknownName, r#""r9""#),
        (
            r#"{ "half": "west", "#,
            "{ ",
            Code::NoOwner,
            r#"{ "routes": ["/parts"]"#,
        ),
        (
            r#""parts": {"#,
            r#""planning": {"#,
            Code::TwoOwners,
            r#""planning": { "half": "west""#,
        ),
        (
            r#"["/parts"]"#,
            r#"["/plan/parts"]"#,
            Code::TwoOwners,
            r#""/plan"]"#,
        ),
        (
            r#""share_percent": 40"#,
            r#""share_percent": 50"#,
            Code::OverShare,
            r#""halves""#,
        ),
        (r#"["d1", "d2"]"#, "[]", Code::RunsNowhere, r#""checks""#),
        (r#"["r1"]"#, r#"["r2"]"#, Code::RunsNowhere, r#""checks""#),
        ("6000", "6001", Code::OverPromised, r#""east": { "share"#),
        (
            r#""regions": ["r1"]"#,
            r#""data_centres": ["d1"]"#,
            Code::StrandsWork,
            r#""checks""#,
        ),
        (
            r#""checks""#,
            r#""others""#,
            Code::StrandsWork,
            r#""classes""#,
        ),
        (
            r#"["d3"]"#,
            r#"["d2"]"#,
            Code::Contradiction,
            r#""d2"] } }"#,
        ),
        (
            r#""/parts"]"#,
            r#""/parts"], "connections": 4"#,
            Code::Contradiction,
            "4 }",
        ),
        (
            r#""kind""#,
            r#""p99_target_us": 5, "kind""#,
            Code::Contradiction,
            "5, ",
        ),
    ];
    for (from, to, code, at) in cases {
        let text = replace_once(VALID, from, to);
        assert_found(&findings(&text), &text, code, at);
    }
}

#[test]
fn locations_count_lines_and_characters_from_one() {
    let text =
        "{\n  \"halves\": { \"élan\": { \"titel\": 1 } },\n  \"regions\": {}, \"upstreams\": {} }";
    let found = check(text, &Context::default()).findings;
    let location =
        |finding: &Finding| (finding.code, finding.location.line, finding.location.column);
    let locations: Vec<_> = found.iter().map(location).collect();
    assert_eq!(
        locations,
        [(Code::OutOfRange, 2, 15), (Code::UnknownKey, 2, 25)]
    );
}

#[test]
fn ten_faults_give_ten_findings() {
    let text = r#"{
  "halves": { "east": { "share_percent": 80 }, "west": { "share_percent": 40 } },
  "regions": { "r1": { "data_centres": ["d1", "d1"] } },
  "upstreams": {
    "planning": { "half": "eats", "routes": ["/plan"] },
    "parts": { "routes": ["/parts"], "slots": 0 },
    "portal": { "half": "west", "routes": ["/portal"], "wieght": 2 },
    "studies": { "half": "east", "routes": ["/portal/studies"] }
  },
  "teams": { "fleet": { "half": "east", "quota": { "cpu_millis": "many" } } },
  "classes": { "checks": { "kind": "bacth", "half": "east" },
               "ice": { "kind": "batch", "half": "east", "regions": ["r2"] } }
}"#;
    let found = check(text, &Context::default()).findings;
    let codes: Vec<Code> = found.iter().map(|finding| finding.code).collect();
    assert_eq!(
        codes,
        [
            Code::OverShare,
            Code::Contradiction,
            Code::UnknownName,
            Code::NoOwner,
            Code::OutOfRange,
            Code::UnknownKey,
            Code::TwoOwners,
            Code::WrongType,
            Code::OutOfRange,
            Code::UnknownName,
        ]
    );
    let helps: Vec<&str> = found.iter().filter_map(|f| f.help.as_deref()).collect();
    assert!(helps.contains(&"did you mean `east`?"));
    assert!(helps.contains(&"did you mean `weight`?"));
    let shown = Report::new("ten.jsonc", text, &found).render();
    for finding in &found {
        assert!(shown.contains(&finding.message), "{shown}");
        let location = format!(
            "line {}, column {}",
            finding.location.line, finding.location.column
        );
        assert!(shown.contains(&location), "{shown}");
    }
}

#[test]
fn work_that_was_already_misplaced_is_not_reported() {
    let running = running();
    let text = VALID.replacen(r#""regions": ["r1"]"#, r#""data_centres": ["d1"]"#, 1);
    let before = check(&text, &Context::default()).document.unwrap();
    let cx = Context {
        running: Some(&running),
        in_force: Some(&before),
        ..Context::default()
    };
    assert_eq!(check(&text, &cx).findings, []);
}

#[test]
fn the_check_does_not_panic_on_corrupted_text() {
    fn property(at: usize, len: u8, insert: String) -> bool {
        let boundary = |offset: usize| VALID.floor_char_boundary(offset.min(VALID.len()));
        let start = boundary(at % VALID.len());
        let end = boundary(start + usize::from(len));
        let text = format!("{}{insert}{}", &VALID[..start], &VALID[end..]);
        let checked = check(&text, &Context::default());
        let placed = checked
            .findings
            .iter()
            .all(|finding| finding.location.offset + finding.location.len <= text.len());
        let shown = Report::new("any", &text, &checked.findings).render();
        placed && !shown.is_empty()
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(300)
        .quickcheck(property as fn(usize, u8, String) -> bool);
}

#[test]
fn deep_nesting_is_a_finding() {
    const DEPTH: usize = 100_000;
    let cases = [("[", "]"), ("{\"halves\":", "}"), ("[/*", "*/]")];
    for (open, close) in cases {
        let text = format!("{}{}", open.repeat(DEPTH), close.repeat(DEPTH));
        let found = check(&text, &Context::default()).findings;
        assert_eq!(found.len(), 1, "{open}");
    }
}

#[test]
fn the_intersection_has_what_two_documents_treat_alike() {
    let read = |text: &str| check(text, &Context::default()).document.unwrap();
    let (before, after) = (
        read(VALID),
        read(
            &VALID
                .replace(r#""half": "west", "r"#, r#""half": "east", "r"#)
                .replace(r#"["r1"]"#, "[]"),
        ),
    );
    let moved = diff::handovers(&before, &after);
    assert_eq!(moved.len(), 1);
    assert_eq!(
        (moved[0].upstream.as_str(), moved[0].to.as_str()),
        ("parts", "east")
    );
    for common in [
        diff::intersection(&before, &after),
        diff::intersection(&after, &before),
    ] {
        let left: Vec<&str> = common.upstreams.keys().map(|name| name.as_str()).collect();
        assert_eq!(left, ["planning"]);
        assert_eq!((common.classes.len(), common.teams.len()), (0, 1));
    }
}

#[test]
fn changes_are_by_value_and_conflict_where_both_touch_a_place() {
    let read = |text: &str| check(text, &Context::default()).document.unwrap();
    let base = read(VALID);
    assert_eq!(
        diff::changes(&base, &read(&VALID.replace("// C", "// No c"))),
        []
    );
    let cases = [
        // ours, theirs, the pointers of the conflicts
        (
            r#"{ "half": "west", "#,
            r#"{ "half": "east", "#,
            r#""batch_percent": 70"#,
            r#""batch_percent": 60"#,
            vec![],
        ),
        ("70", "60", "70", "50", vec!["/sharing/batch_percent"]),
        ("70", "60", "70", "60", vec![]),
        (
            r#""parts": { "half": "west", "routes": ["/parts"] },"#,
            "",
            r#"["/parts"]"#,
            r#"["/p"]"#,
            vec!["/upstreams/parts"],
        ),
    ];
    for (from, to, other_from, other_to, pointers) in cases {
        let ours = diff::changes(&base, &read(&VALID.replacen(from, to, 1)));
        let theirs = diff::changes(&base, &read(&VALID.replacen(other_from, other_to, 1)));
        assert_eq!((ours.len(), theirs.len()), (1, 1));
        let found: Vec<String> = diff::conflicts(&ours, &theirs)
            .into_iter()
            .map(|conflict| conflict.pointer)
            .collect();
        assert_eq!(found, pointers, "{to} against {other_to}");
    }
}
