//! The type of a call to an external service.

use std::sync::Arc;

use futures::future::BoxFuture;

/// A call of an external interface, as a cloneable closure that tests can replace.
pub type Call<Req, Res> = Arc<dyn Fn(Req) -> BoxFuture<'static, Res> + Send + Sync>;

/// Creates a [`Call`] from an async closure.
pub fn call<Req, Res, F, Fut>(f: F) -> Call<Req, Res>
where
    F: Fn(Req) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Res> + Send + 'static,
{
    Arc::new(move |req| Box::pin(f(req)))
}
