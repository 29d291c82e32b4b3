//! The web console for operators, served under [`PATH`] on the operators' address.
//!
//! The console is plain HTML without scripts. An operator logs in with the token from the settings.
//! The [`session`] of the operator stores a draft of the document; [`draft_edits`] changes it and
//! preserves its comments, [`forms`] renders it with each finding next to its field, and [`send`]
//! submits it through the same code as the API. [`state_pages`] shows the data of the API's status
//! reply. See `docs/CONSOLE.md`.

pub mod checked_draft;
pub mod draft_edits;
pub mod form;
pub mod forms;
pub mod html;
pub mod page;
pub mod section;
pub mod send;
pub mod session;
pub mod session_context;
pub mod state_pages;
mod status_tables;
mod task_list;

use std::sync::Arc;
use std::sync::Mutex;

use conf::edit::EditError;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_SECURITY_POLICY;
use http::header::CONTENT_TYPE;
use http::header::COOKIE;
use http::header::LOCATION;
use http::header::SET_COOKIE;
use http::header::X_CONTENT_TYPE_OPTIONS;
use salvo::Request;
use salvo::Response;

use crate::console::form::Form;
use crate::console::form::FormError;
use crate::console::page::Page;
use crate::console::session::MAX_AGE;
use crate::console::session::Secrets;
use crate::console::session::Sessions;
use crate::console::session_context::SessionContext;
use crate::console::session_context::not_logged_in;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::operators::is_operator_token;

/// The prefix of all paths of the console.
pub const PATH: &str = "/console";
/// The name of the cookie that contains the id of the session.
pub const COOKIE_NAME: &str = "fireflynotch_session";
/// The maximum length of an operator's name, in bytes.
const MAX_OPERATOR_NAME_BYTES: usize = 64;
/// The content security policy: pages load only this daemon's style sheet, and forms are submitted
/// only to this daemon.
const SECURITY_POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                               base-uri 'none'; frame-ancestors 'none'";

/// Returns whether a path belongs to the console.
#[must_use]
pub fn is_console_path(path: &str) -> bool {
    path.strip_prefix(PATH)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The console of one daemon. Clones share the same sessions.
#[derive(Clone)]
pub struct Console {
    cx: Arc<DaemonContext>,
    sessions: Arc<Mutex<Sessions>>,
}

/// The response to a browser's request.
#[derive(Clone, Debug)]
pub enum ConsoleResponse {
    /// An HTML page with its status.
    Page(StatusCode, Page),
    /// A redirect to this path, which the browser fetches with GET.
    SeeOther(String),
    /// A redirect to a path, with the value of a `Set-Cookie` header.
    SetCookie(String, String),
    /// The style sheet of the console.
    StyleSheet,
}

/// The reason why a browser's request was rejected.
#[derive(Clone, Debug)]
pub struct ConsoleError {
    /// The HTTP status of the response.
    pub status: StatusCode,
    /// The explanation that the error page shows to the operator.
    pub reason: String,
}

/// The response to a request, or the error that the error page shows.
pub type ConsoleResult = Result<ConsoleResponse, ConsoleError>;

impl ConsoleError {
    /// Creates an error with status 400 for invalid input.
    #[must_use]
    pub fn bad_request(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: reason.into(),
        }
    }
}

impl From<FormError> for ConsoleError {
    fn from(error: FormError) -> Self {
        Self::bad_request(error.to_string())
    }
}

impl From<EditError> for ConsoleError {
    fn from(error: EditError) -> Self {
        Self::bad_request(format!("the draft was not changed: {error}"))
    }
}

impl Console {
    /// Creates a console without sessions.
    #[must_use]
    pub fn new(cx: Arc<DaemonContext>) -> Self {
        Self {
            cx,
            sessions: Arc::default(),
        }
    }

    /// Handles a request for a path of the console.
    pub async fn handle(&self, req: &mut Request, res: &mut Response) {
        let answer = self.dispatch(req).await.unwrap_or_else(|error| {
            let page = page::error_page(&error);
            ConsoleResponse::Page(error.status, page)
        });
        render(answer, res);
    }

    async fn dispatch(&self, req: &mut Request) -> ConsoleResult {
        let path = req.uri().path().strip_prefix(PATH).unwrap_or_default();
        let path = path.trim_matches('/').to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "style.css") => return Ok(ConsoleResponse::StyleSheet),
            (&Method::GET, "login") => {
                return Ok(ConsoleResponse::Page(
                    StatusCode::OK,
                    page::login_page(None),
                ));
            }
            (&Method::POST, "login") => return self.log_in(req).await,
            _ => {}
        }
        let Some(id) = cookie(req) else {
            return unauthenticated(req);
        };
        let session = lock(&self.sessions).get(&id, self.cx.clock.now()).cloned();
        let Some(session) = session else {
            return unauthenticated(req);
        };
        let mut ctx = SessionContext {
            cx: &self.cx,
            session,
            id: &id,
            sessions: &self.sessions,
        };
        let parts: Vec<&str> = path.split('/').collect();
        if req.method() == Method::GET {
            let query = req.uri().query().unwrap_or_default();
            let query = Form::parse(query.as_bytes())?;
            return get_page(&mut ctx, &parts, &query).await;
        }
        if req.method() != Method::POST {
            return Err(not_found());
        }
        let form = Form::read(req).await?;
        ctx.verify_form(&form)?;
        self.handle_post(&mut ctx, &parts, &form).await
    }

    async fn handle_post(
        &self,
        ctx: &mut SessionContext<'_>,
        parts: &[&str],
        form: &Form,
    ) -> ConsoleResult {
        match parts {
            ["logout"] => {
                lock(&self.sessions).close(ctx.id);
                Ok(ConsoleResponse::SetCookie(
                    console_path("login"),
                    expired_cookie(),
                ))
            }
            ["edit", key] => draft_edits::edit(ctx, key, form),
            ["add", key] => draft_edits::add(ctx, key, form),
            ["remove", key] => draft_edits::remove(ctx, key, form),
            ["text"] => draft_edits::text(ctx, form),
            ["discard"] => draft_edits::discard(ctx),
            ["rebase"] => draft_edits::rebase(ctx),
            ["send"] => send::send(ctx, form).await,
            _ => Err(not_found()),
        }
    }

    async fn log_in(&self, req: &mut Request) -> ConsoleResult {
        let form = Form::read(req).await?;
        let by = form.get("by")?.trim();
        if by.is_empty() || by.len() > MAX_OPERATOR_NAME_BYTES {
            let reason = format!("give your name, in at most {MAX_OPERATOR_NAME_BYTES} bytes");
            return Ok(reject_log_in(StatusCode::BAD_REQUEST, &reason));
        }
        if !is_operator_token(&self.cx, form.get("token")?) {
            log::warn!("console log-in rejected: wrong token");
            return Ok(reject_log_in(
                StatusCode::FORBIDDEN,
                "the token is missing or wrong",
            ));
        }
        let secrets = Secrets {
            id: random_secret(),
            anti_forgery: random_secret(),
            op_prefix: random_secret()[..16].to_owned(),
        };
        let cookie = session_cookie(&secrets.id);
        let now = self.cx.clock.now();
        lock(&self.sessions).open(secrets, by.to_owned(), now);
        log::info!(by = by; "operator logged in to the console");
        Ok(ConsoleResponse::SetCookie(PATH.into(), cookie))
    }
}

/// Renders the page for a GET request.
async fn get_page(ctx: &mut SessionContext<'_>, parts: &[&str], query: &Form) -> ConsoleResult {
    let page = match parts {
        [""] => state_pages::overview(ctx).await,
        ["look", what] => state_pages::state_page(ctx, what, query).await?,
        ["draft"] => forms::draft(ctx)?,
        ["text"] => forms::text(ctx)?,
        ["edit", key] => forms::edit(ctx, key, query)?,
        _ => return Err(not_found()),
    };
    Ok(ConsoleResponse::Page(StatusCode::OK, page))
}

fn reject_log_in(status: StatusCode, reason: &str) -> ConsoleResponse {
    ConsoleResponse::Page(status, page::login_page(Some(reason)))
}

/// Redirects a GET request without a session to the log-in page and rejects a posted form.
fn unauthenticated(req: &Request) -> ConsoleResult {
    if req.method() == Method::GET {
        return Ok(ConsoleResponse::SeeOther(console_path("login")));
    }
    Err(not_logged_in())
}

fn not_found() -> ConsoleError {
    ConsoleError {
        status: StatusCode::NOT_FOUND,
        reason: "there is no such page".into(),
    }
}

/// Returns the absolute path of a page of the console.
#[must_use]
pub fn console_path(below: &str) -> String {
    format!("{PATH}/{below}")
}

/// Generates 256 random bits as hexadecimal digits, from a cryptographically secure generator that
/// the operating system seeds.
fn random_secret() -> String {
    let bytes: [u8; 32] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn session_cookie(id: &str) -> String {
    let age = MAX_AGE.as_secs();
    format!("{COOKIE_NAME}={id}; Path={PATH}; Max-Age={age}; HttpOnly; SameSite=Strict")
}

fn expired_cookie() -> String {
    format!("{COOKIE_NAME}=; Path={PATH}; Max-Age=0; HttpOnly; SameSite=Strict")
}

fn cookie(req: &Request) -> Option<String> {
    let headers = req.headers().get_all(COOKIE).iter();
    let pairs = headers.filter_map(|value| value.to_str().ok());
    let mut pairs = pairs.flat_map(|value| value.split(';'));
    pairs.find_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == COOKIE_NAME).then(|| value.to_owned())
    })
}

fn render(answer: ConsoleResponse, res: &mut Response) {
    let headers = res.headers_mut();
    let fixed = HeaderValue::from_static;
    headers.insert(CACHE_CONTROL, fixed("no-store"));
    headers.insert(CONTENT_SECURITY_POLICY, fixed(SECURITY_POLICY));
    headers.insert(X_CONTENT_TYPE_OPTIONS, fixed("nosniff"));
    match answer {
        ConsoleResponse::Page(status, page) => {
            headers.insert(CONTENT_TYPE, fixed("text/html; charset=utf-8"));
            res.status_code(status);
            res.body(page.to_string());
        }
        ConsoleResponse::StyleSheet => {
            headers.insert(CONTENT_TYPE, fixed("text/css; charset=utf-8"));
            res.body(page::STYLE_SHEET);
        }
        ConsoleResponse::SeeOther(to) => see_other(&to, res),
        ConsoleResponse::SetCookie(to, cookie) => {
            if let Ok(cookie) = HeaderValue::from_str(&cookie) {
                headers.insert(SET_COOKIE, cookie);
            }
            see_other(&to, res);
        }
    }
}

fn see_other(to: &str, res: &mut Response) {
    res.status_code(StatusCode::SEE_OTHER);
    if let Ok(to) = HeaderValue::from_str(to) {
        res.headers_mut().insert(LOCATION, to);
    }
}
