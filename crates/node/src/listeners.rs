//! The sockets that a daemon listens on.

use std::net::SocketAddr;
use std::os::fd::AsFd;

use conf::settings::Listen;
use tokio::net::TcpListener;

use crate::daemon::StartError;

/// The listeners of a daemon, bound before anything else happens.
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub(crate) async fn bind(addresses: &Listen) -> Result<Self, StartError> {
        Ok(Self {
            callers: listen(addresses.callers).await?,
            operators: listen(addresses.operators).await?,
            peers: listen(addresses.peers).await?,
        })
    }

    /// Returns the bound addresses for callers, for operators and for the other daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not state them.
    pub(crate) fn addresses(&self) -> Result<[SocketAddr; 3], StartError> {
        let address = |listener: &TcpListener| {
            listener
                .local_addr()
                .map_err(|error| StartError::Platform(error.to_string()))
        };
        Ok([
            address(&self.callers)?,
            address(&self.operators)?,
            address(&self.peers)?,
        ])
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|reason| StartError::Listen { address, reason })
}

/// Creates a second listener on the same socket.
///
/// # Errors
///
/// Returns an error if the socket cannot be duplicated.
pub(crate) fn clone_listener(listener: &TcpListener) -> std::io::Result<TcpListener> {
    let socket = listener.as_fd().try_clone_to_owned()?;
    TcpListener::from_std(std::net::TcpListener::from(socket))
}
