//! Helpers shared by the tests of several interfaces.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fake::faults::Fault;
use model::id::OpId;
use model::id::RowVersion;
use plat::client::Client;
use plat::client::Endpoint;
use plat::error::CallError;
use plat::table::Check;
use plat::table::Txn;
use plat::table::Write;
use serde_json::Value;
use serde_json::json;

/// A timeout longer than any call of a test takes.
pub(crate) const LONG: Duration = Duration::from_secs(60);
/// The timeout of calls without a response.
pub(crate) const SHORT: Duration = Duration::from_millis(500);
/// The largest response body that the tests accept.
pub(crate) const MAX_BYTES: usize = 64 << 10;

/// The loopback address with any free port.
pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    Answered,
    Refused,
    Unknown,
}

/// Every fault of a call, with the permitted outcome and how often the call is executed.
pub(crate) fn fault_cases() -> Vec<(Option<Fault>, CallOutcome, u32)> {
    use CallOutcome::Answered;
    use CallOutcome::Refused;
    use CallOutcome::Unknown;
    vec![
        (None, Answered, 1),
        (Some(Fault::Slow(Duration::from_millis(1))), Answered, 1),
        (Some(Fault::Slow(LONG * 2)), Unknown, 1),
        (Some(Fault::Refused), Refused, 0),
        (Some(Fault::LostBefore), Unknown, 0),
        (Some(Fault::LostAfter), Unknown, 1),
        (Some(Fault::WrongId), Unknown, 1),
        (Some(Fault::OutOfOrder), Unknown, 1),
        (Some(Fault::CutShort), Unknown, 1),
        (Some(Fault::CutAfterHead), Unknown, 1),
        (Some(Fault::Silent), Unknown, 0),
        (Some(Fault::Oversized(MAX_BYTES + 1)), Unknown, 1),
        (Some(Fault::Garbage), Unknown, 1),
        (Some(Fault::Failure), Unknown, 1),
        (
            Some(Fault::Redirect("/v1/elsewhere".to_owned())),
            Unknown,
            0,
        ),
    ]
}

/// Returns an endpoint whose timeout is short only if the fault withholds the response.
pub(crate) fn endpoint(address: SocketAddr, fault: Option<&Fault>) -> Endpoint {
    let timeout = match fault {
        Some(Fault::Silent) => SHORT,
        Some(Fault::Slow(by)) if *by > LONG => SHORT,
        _ => LONG,
    };
    Endpoint::new(address, timeout, MAX_BYTES)
}

pub(crate) fn client() -> Client {
    Client::for_service("test").expect("the HTTP client is made")
}

pub(crate) fn call_outcome<T>(response: &Result<T, CallError>) -> CallOutcome {
    match response {
        Ok(_) => CallOutcome::Answered,
        Err(CallError::Refused(_)) => CallOutcome::Refused,
        Err(CallError::Unknown(_)) => CallOutcome::Unknown,
    }
}

pub(crate) fn check(key: &str, version: u64) -> Check {
    Check {
        key: key.to_owned(),
        version: RowVersion(version),
    }
}

pub(crate) fn write(key: &str, value: Value) -> Write {
    Write {
        key: key.to_owned(),
        value: Some(value),
    }
}

pub(crate) fn delete(key: &str) -> Write {
    Write {
        key: key.to_owned(),
        value: None,
    }
}

/// Returns a transaction that writes `key` if it has `version`.
pub(crate) fn txn(op: &str, key: &str, version: u64) -> Txn {
    Txn {
        op: OpId::from(op),
        checks: vec![check(key, version)],
        writes: vec![write(key, json!(op))],
    }
}
