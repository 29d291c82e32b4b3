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

/// A request that names an object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectRequest {
    /// The name of the object.
    pub name: String,
}

/// The answer to [`Objects::head`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeadResponse {
    /// The name of the object.
    pub name: String,
    /// Its size in bytes, if it is there.
    pub bytes: Option<u64>,
}

/// The answer to [`Objects::delete`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeleteResponse {
    /// The name of the object.
    pub name: String,
}

/// Makes the calls of the object store at `endpoint`.
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
    let answer = client
        .post(&endpoint, PostRequest::new(HEAD_PATH, &req))
        .await?;
    if !answer.is_ok() {
        return Err(answer.failure());
    }
    let found: HeadResponse = answer.json()?;
    ensure_matches(found.name == req.name)?;
    Ok(found.bytes)
}

async fn delete(client: Client, endpoint: Endpoint, name: String) -> Result<(), CallError> {
    let req = ObjectRequest { name };
    let answer = client
        .post(&endpoint, PostRequest::new(DELETE_PATH, &req))
        .await?;
    if !answer.is_ok() {
        return Err(answer.failure());
    }
    let deleted: DeleteResponse = answer.json()?;
    ensure_matches(deleted.name == req.name)
}

/// Fails unless the answer names the object that was asked for.
fn ensure_matches(fits: bool) -> Result<(), CallError> {
    if fits {
        Ok(())
    } else {
        Err(CallError::Unknown("answer for another object".to_owned()))
    }
}
