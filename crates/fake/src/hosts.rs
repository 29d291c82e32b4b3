//! A fake host list that lags behind its changes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use plat::call::call;
use plat::error::CallError;
use plat::hosts::CALL_TIMEOUT;
use plat::hosts::HostList;
use plat::hosts::Hosts;
use plat::hosts::http::LIST_PATH;
use plat::hosts::http::ListRequest;
use plat::hosts::http::ListResponse;
use tokio::time::Instant;

use crate::faults::Faults;
use crate::faults::inject;
use crate::server;
use crate::server::HandlerResponse;
use crate::server::Request;
use crate::server::Server;

/// A fake host list; clones share its state.
#[derive(Clone, Debug)]
pub struct FakeHosts {
    changes: Arc<Mutex<Vec<(Instant, HostList)>>>,
    lag: Duration,
    faults: Faults,
}

impl FakeHosts {
    /// Creates a list whose changes become visible after `lag`; `list` is visible immediately.
    #[must_use]
    pub fn new(list: HostList, lag: Duration) -> Self {
        let first = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        Self {
            changes: Arc::new(Mutex::new(vec![(first, list)])),
            lag,
            faults: Faults::default(),
        }
    }

    /// Returns the fault injection of the list; the operation is `list`.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Changes the list and increments its revision.
    pub fn change(&self, change: impl FnOnce(&mut HostList)) {
        let mut changes = self.lock();
        let mut list = changes
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut list);
        list.revision += 1;
        changes.push((Instant::now(), list));
    }

    /// Returns the currently visible list, which lags behind the changes.
    #[must_use]
    pub fn visible_list(&self) -> HostList {
        let visible_until = Instant::now().checked_sub(self.lag);
        let changes = self.lock();
        let visible = changes.iter().rfind(|(at, _)| Some(*at) <= visible_until);
        visible
            .or_else(|| changes.first())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Returns the client interface without a socket.
    #[must_use]
    pub fn direct(&self) -> Hosts {
        let hosts = self.clone();
        Hosts {
            list: call(move |known| {
                let hosts = hosts.clone();
                let faults = hosts.faults.clone();
                let apply = move || Ok::<_, CallError>(hosts.list_unless_known(known));
                async move { inject(&faults, "list", CALL_TIMEOUT, apply).await }
            }),
        }
    }

    /// Starts an HTTP server with the wire format of `plat::hosts::http`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let hosts = self.clone();
        server::serve(address, self.faults.clone(), move |req| hosts.handle(req)).await
    }

    fn handle(&self, req: &Request) -> HandlerResponse {
        if req.path != LIST_PATH {
            return HandlerResponse::refused(404, "no such path");
        }
        match serde_json::from_slice(&req.body) {
            Ok(ListRequest { known }) => {
                let list = self.list_unless_known(known);
                HandlerResponse::json(200, &ListResponse { list })
            }
            Err(error) => HandlerResponse::refused(400, &error.to_string()),
        }
    }

    fn list_unless_known(&self, known: Option<u64>) -> Option<HostList> {
        Some(self.visible_list()).filter(|list| known != Some(list.revision))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, HostList)>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
