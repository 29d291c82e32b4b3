//! The object store over HTTP and JSON.

use serde::Deserialize;
use serde::Serialize;

use super::Objects;
use crate::call::call;
use crate::client::Client;
use crate::client::Endpoint;
use crate::client::PostRequest;
use crate::error::CallError;

/// The path of [`Objects::head`].
pub const HEAD_PATH: &str = "/v1/objects/head";
/// The path of [`Objects::delete`].
pub const DELETE_PATH: &str = "/v1/objects/delete";

/// A request for one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectRequest {
    /// The name of the object.
    pub name: String,
}

/// The response to [`Objects::head`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeadResponse {
    /// The name from the request.
    pub name: String,
    /// The size of the object in bytes, or `None` if it does not exist.
    pub bytes: Option<u64>,
}

/// The response to [`Objects::delete`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeleteResponse {
    /// The name from the request.
    pub name: String,
}

/// Creates the interface to the object store at `endpoint`.
#[must_use]
pub fn http(client: &Client, endpoint: Endpoint) -> Objects {
    let [heads, deletes] = [client.clone(), client.clone()];
    Objects {
        head: call(move |name| head(heads.clone(), endpoint, name)),
        delete: call(move |name| delete(deletes.clone(), endpoint, name)),
    }
}

async fn head(client: Client, endpoint: Endpoint, name: String) -> Result<Option<u64>, CallError> {
    let req = ObjectRequest { name };
    let post = PostRequest::new(HEAD_PATH, &req);
    let found: HeadResponse = client.post_for(&endpoint, post).await?;
    ensure_matches(found.name == req.name)?;
    Ok(found.bytes)
}

async fn delete(client: Client, endpoint: Endpoint, name: String) -> Result<(), CallError> {
    let req = ObjectRequest { name };
    let post = PostRequest::new(DELETE_PATH, &req);
    let deleted: DeleteResponse = client.post_for(&endpoint, post).await?;
    ensure_matches(deleted.name == req.name)
}

/// Returns an error unless the response is for the requested object.
fn ensure_matches(matches: bool) -> Result<(), CallError> {
    if matches {
        Ok(())
    } else {
        Err(CallError::Unknown("answer for another object".to_owned()))
    }
}
