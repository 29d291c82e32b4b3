//! Names in the state of the router, which the dump and the console contain.

use route::report::RouterReport;
use serde_json::json;

#[test]
fn state_of_the_router_keeps_its_names() {
    let state = serde_json::to_value(RouterReport::default()).expect("a state");
    let expected = json!({
        "version": 0,
        "serving": false,
        "draining": false,
        "upstreams": {},
        "held": 0,
        "passing": 0,
        "refused": {},
        "far_bytes": 0
    });
    assert_eq!(state, expected);
}
