//! The shape of one call to the outside.

use std::sync::Arc;

use futures::future::BoxFuture;

/// One call of an outside interface, as a closure that can be cloned and swapped.
pub type Call<Req, Res> = Arc<dyn Fn(Req) -> BoxFuture<'static, Res> + Send + Sync>;

/// Makes a [`Call`] from an async closure.
pub fn call<Req, Res, F, Fut>(f: F) -> Call<Req, Res>
where
    F: Fn(Req) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Res> + Send + 'static,
{
    Arc::new(move |req| Box::pin(f(req)))
}
