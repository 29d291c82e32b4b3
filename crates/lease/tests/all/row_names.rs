//! Names in the rows of the table, which daemons of the release before this one read.

use lease::record::MemberRow;
use serde_json::json;

#[test]
fn row_of_a_heartbeat_keeps_its_names() {
    let row = json!({
        "daemon": "limburg-1",
        "incarnation": 2,
        "beat": 3,
        "half": "noord",
        "place": { "region": "vlaanderen", "data_centre": "limburg" },
        "addresses": { "callers": "127.0.0.1:1", "peers": "127.0.0.1:2" },
        "draining": false,
        "ballot": 4,
        "in_force": 1
    });
    let read: MemberRow = serde_json::from_value(row.clone()).expect("the names are known");
    assert_eq!(serde_json::to_value(read).expect("a row"), row);
}
