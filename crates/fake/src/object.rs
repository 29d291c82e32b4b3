//! A fake object store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use plat::call::call;
use plat::error::CallError;
use plat::object::CALL_TIMEOUT;
use plat::object::Objects;
use plat::object::http::DELETE_PATH;
use plat::object::http::DeleteResponse;
use plat::object::http::HEAD_PATH;
use plat::object::http::HeadResponse;
use plat::object::http::ObjectRequest;

use crate::faults::Faults;
use crate::faults::inject;
use crate::server;
use crate::server::HandlerResponse;
use crate::server::Request;
use crate::server::Server;

/// A fake object store; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct FakeObjects {
    objects: Arc<Mutex<BTreeMap<String, Bytes>>>,
    faults: Faults,
}

impl FakeObjects {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the fault injection of the store; the operations are `put`, `head` and `delete`.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Stores an object as a worker does, and returns whether the store accepted it. Any fault set
    /// for `put` rejects it.
    pub fn put(&self, name: &str, body: Bytes) -> bool {
        let accepted = self.faults.take("put").is_none();
        if accepted {
            self.lock().insert(name.to_owned(), body);
        }
        accepted
    }

    /// Returns an object as a worker reads it, without injected faults.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.lock().get(name).cloned()
    }

    /// Returns the names of all objects.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Returns the client interface without a socket.
    #[must_use]
    pub fn direct(&self) -> Objects {
        let [heads, deletes] = [self.clone(), self.clone()];
        Objects {
            head: call(move |name: String| {
                let store = heads.clone();
                let faults = store.faults.clone();
                let apply = move || Ok::<_, CallError>(store.head(&name));
                async move { inject(&faults, "head", CALL_TIMEOUT, apply).await }
            }),
            delete: call(move |name: String| {
                let store = deletes.clone();
                let faults = store.faults.clone();
                let apply = move || {
                    store.lock().remove(&name);
                    Ok::<_, CallError>(())
                };
                async move { inject(&faults, "delete", CALL_TIMEOUT, apply).await }
            }),
        }
    }

    /// Starts an HTTP server with the wire format of `plat::object::http`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let store = self.clone();
        server::serve(address, self.faults.clone(), move |req| store.handle(req)).await
    }

    fn handle(&self, req: &Request) -> HandlerResponse {
        let name = match serde_json::from_slice(&req.body) {
            Ok(ObjectRequest { name }) => name,
            Err(error) => return HandlerResponse::refused(400, &error.to_string()),
        };
        match req.path.as_str() {
            HEAD_PATH => {
                let bytes = self.head(&name);
                HandlerResponse::json(200, &HeadResponse { name, bytes })
            }
            DELETE_PATH => {
                self.lock().remove(&name);
                HandlerResponse::json(200, &DeleteResponse { name })
            }
            _ => HandlerResponse::refused(404, "no such path"),
        }
    }

    fn head(&self, name: &str) -> Option<u64> {
        let size = self.lock().get(name).map(Bytes::len)?;
        u64::try_from(size).ok()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
