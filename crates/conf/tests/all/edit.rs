use conf::edit::EditError;
use conf::edit::read;
use conf::edit::remove;
use conf::edit::set;
use serde_json::json;

const TEXT: &str = r#"{
  // Who owns what.
  "upstreams": {
    "planning": { "half": "east" /* until May */, "weight": 1 },
  },
  "sharing": { "batch_percent": 70 }, // agreed in March
}
"#;

#[test]
fn setting_a_value_keeps_comments_and_layout() {
    let cases = [
        (
            "/upstreams/planning/half",
            json!("west"),
            "\"east\"",
            "\"west\"",
        ),
        ("/sharing/batch_percent", json!(60), "70", "60"),
        ("/sharing", json!({}), r#"{ "batch_percent": 70 }"#, "{}"),
    ];
    for (pointer, value, from, to) in cases {
        let edited = set(TEXT, pointer, &value).unwrap();
        assert_eq!(edited, TEXT.replacen(from, to, 1), "{pointer}");
    }
}

#[test]
fn absent_objects_are_created_and_keys_removed() {
    let edited = set(TEXT, "/classes/ice~1jam/regions", &json!(["r1"])).unwrap();
    assert!(
        edited.contains(r#""ice/jam""#) && edited.contains("agreed in March"),
        "{edited}"
    );
    let removed = remove(&edited, "/classes").unwrap();
    assert!(
        !removed.contains("ice/jam") && removed.contains("until May"),
        "{removed}"
    );
}

#[test]
fn an_impossible_pointer_is_refused() {
    let cases = ["", "planning", "/sharing/batch_percent/x"];
    for pointer in cases {
        let refused = set(TEXT, pointer, &json!(1));
        assert_eq!(refused, Err(EditError::NoPlace(pointer.to_owned())));
    }
    assert!(matches!(
        set("{", "/a", &json!(1)),
        Err(EditError::Syntax(_))
    ));
}

#[test]
fn reading_skips_comments_and_refuses_deep_nesting() {
    let values = read(TEXT).unwrap();
    assert_eq!(values["upstreams"]["planning"]["half"], "east");
    for text in ["{", "[1 2]", &"[".repeat(100_000)] {
        assert!(
            matches!(read(text), Err(EditError::Syntax(_))),
            "{text:.10}"
        );
    }
}
