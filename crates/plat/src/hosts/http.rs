//! The list of hosts over HTTP and JSON.

use serde::Deserialize;
use serde::Serialize;

use super::HostList;
use super::Hosts;
use crate::call::call;
use crate::client::Client;
use crate::client::Endpoint;
use crate::client::PostRequest;
use crate::error::CallError;

/// The path of [`Hosts::list`].
pub const LIST_PATH: &str = "/v1/hosts/list";

/// A request for the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// The revision that the asker has.
    pub known: Option<u64>,
}

/// The answer to a request for the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListResponse {
    /// The list, unless it still has the revision known.
    pub list: Option<HostList>,
}

/// Makes the call of the list at `endpoint`.
#[must_use]
pub fn http(client: &Client, endpoint: Endpoint) -> Hosts {
    let client = client.clone();
    Hosts {
        list: call(move |known| list(client.clone(), endpoint, known)),
    }
}

async fn list(
    client: Client,
    endpoint: Endpoint,
    known: Option<u64>,
) -> Result<Option<HostList>, CallError> {
    let req = ListRequest { known };
    let answer = client
        .post(&endpoint, PostRequest::new(LIST_PATH, &req))
        .await?;
    if !answer.is_ok() {
        return Err(answer.failure());
    }
    let ListResponse { list } = answer.json()?;
    Ok(list)
}
