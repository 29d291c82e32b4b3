use conf::finding::Code;
use conf::settings::load;

use crate::support::assert_found;
use crate::support::replace_once;

const VALID: &str = r#"{
  "daemon": "limburg-1", "half": "vlaanderen",
  "place": { "region": "vlaanderen", "data_centre": "limburg" },
  "listen": { "callers": "0.0.0.0:7000", "operators": "0.0.0.0:7001", "peers": "0.0.0.0:7002" },
  "advertise": { "callers": "10.1.0.1:7000", "peers": "10.1.0.1:7002" },
  "platform": { "table": "10.9.0.1:1", "objects": "10.9.0.1:2", "hosts": "10.9.0.1:3" },
  "operator_token": "0123456789abcdef",
  "drain_ms": 20000
}"#;

#[test]
fn valid_settings_load() {
    let settings = load(VALID).unwrap();
    assert_eq!(settings.daemon.as_str(), "limburg-1");
    assert_eq!(settings.drain_ms, 20_000);
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn each_fault_is_found_at_its_location() {
    // The text to replace, its replacement, the code of the finding, the text at its location.
    let cases = [
        (
            r#""half": "vl"#,
            r#""x": 1, "half": "vl"#,
            Code::UnknownKey,
            r#""x""#,
        ),
        (r#""daemon": "limburg-1", "#, "", Code::MissingKey, "{"),
        ("0123456789abcdef", "short", Code::OutOfRange, r#""short""#),
        ("limburg-1", "limburg/1", Code::OutOfRange, r#""limburg/1""#),
        ("20000", "5", Code::OutOfRange, "5\n"),
        ("20000", "5.5", Code::WrongType, "5.5"),
        (
            "10.1.0.1:7000",
            "localhost:7000",
            Code::OutOfRange,
            r#""localhost"#,
        ),
        (
            "10.1.0.1:7000",
            "10.1.0.1:0",
            Code::OutOfRange,
            r#""10.1.0.1:0""#,
        ),
        (
            "0.0.0.0:7001",
            "0.0.0.0:7000",
            Code::Contradiction,
            r#""0.0.0.0:7000", "peers""#,
        ),
        (
            "10.9.0.1:3",
            "10.9.0.1:2",
            Code::Contradiction,
            r#""10.9.0.1:2" }"#,
        ),
        (
            r#""advertise""#,
            r#""x""#,
            Code::Contradiction,
            r#""0.0.0.0:7000""#,
        ),
    ];
    for (from, to, code, at) in cases {
        let text = replace_once(VALID, from, to);
        assert_found(&load(&text).unwrap_err().findings, &text, code, at);
    }
}

#[test]
fn five_faults_give_five_findings() {
    let text = VALID
        .replace(
            r#""place": { "region": "vlaanderen", "data_centre": "limburg" },"#,
            "",
        )
        .replace("20000", "5")
        .replace("0123456789abcdef", "short")
        .replace("\"half\"", "\"hlaf\"")
        .replace("0.0.0.0:7001", "0.0.0.0:7000");
    let found = load(&text).unwrap_err().findings;
    let codes: Vec<Code> = found.iter().map(|finding| finding.code).collect();
    assert_eq!(
        codes,
        [
            Code::MissingKey,
            Code::UnknownKey,
            Code::Contradiction,
            Code::OutOfRange,
            Code::OutOfRange,
        ]
    );
}
