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
    /// The revision that the client already has.
    pub known: Option<u64>,
}

/// The response to a request for the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListResponse {
    /// The list, or `None` if it still has the revision that the client knows.
    pub list: Option<HostList>,
}

/// Creates the interface to the list of hosts at `endpoint`.
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
    let post = PostRequest::new(LIST_PATH, &req);
    let ListResponse { list } = client.post_for(&endpoint, post).await?;
    Ok(list)
}
