//! Names in the messages between daemons, which daemons of the release before this one read.

use peer::rpc::DocumentRequest;
use peer::rpc::GossipRequest;
use peer::rpc::GossipResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

/// Checks that a message has exactly these names when it is read and when it is written.
fn assert_names<T: DeserializeOwned + Serialize>(message: &Value) {
    let read: T = serde_json::from_value(message.clone()).expect("the names are known");
    let written = serde_json::to_value(read).expect("a message");
    assert_eq!(&written, message);
}

fn exchange() -> Value {
    json!({
        "from": "daemon-0",
        "beats": [
            ["daemon-1", 2, 3, 1, 0]
        ],
        "have": [["daemon-1", 4]]
    })
}

fn delta() -> Value {
    json!({
        "ballot": 5,
        "pending": false,
        "staged": null,
        "version": 3,
        "current": null,
        "age": { "secs": 0, "nanos": 7_000_000 },
        "serving": true
    })
}

#[test]
fn gossip_keeps_its_names() {
    assert_names::<GossipRequest>(&json!({
        "exchange": exchange(),
        "digest": { "daemon": "daemon-0", "incarnation": 1, "ballot": 4, "version": 2 }
    }));
    assert_names::<GossipResponse>(&json!({ "exchange": exchange(), "news": delta() }));
}

#[test]
fn steps_of_a_proposer_keep_their_names() {
    for message in [
        json!({ "tell": "push", "news": delta() }),
        json!({ "tell": "committed", "ballot": 5 }),
        json!({ "tell": "abandoned", "ballot": 5 }),
    ] {
        assert_names::<DocumentRequest>(&message);
    }
}
