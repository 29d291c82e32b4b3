//! A console of forms for operators, below [`PATH`] on the operators' address.
//!
//! Plain HTML that needs no scripts. An operator logs in with the token of the settings; the draft
//! of the document is kept in the operator's [`session`], edited by [`write`] so that its comments
//! stay, shown by [`forms`] with each finding at its field, and sent by [`send`] on the same way as
//! the API's. [`look`] shows what the API's status tells. See `docs/CONSOLE.md`.

pub mod form;
pub mod forms;
pub mod html;
pub mod look;
pub mod page;
pub mod section;
pub mod send;
pub mod session;
pub mod sheet;
pub mod visit;
pub mod write;

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
use crate::console::visit::Visit;
use crate::console::visit::logged_out;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::operators::is_operator;

/// What all paths of the console start with.
pub const PATH: &str = "/console";
/// The name of the cookie that carries a session.
pub const COOKIE_NAME: &str = "fireflynotch_session";
/// The longest name that an operator may give, in bytes.
const MAX_BY_BYTES: usize = 64;
/// Nothing but this daemon's own style sheet is loaded, and forms go nowhere else.
const POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; \
                      frame-ancestors 'none'";

/// Returns whether a path is the console's.
#[must_use]
pub fn is_below(path: &str) -> bool {
    path.strip_prefix(PATH)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The console of one daemon; clones share its sessions.
#[derive(Clone)]
pub struct Console {
    cx: Arc<DaemonContext>,
    sessions: Arc<Mutex<Sessions>>,
}

/// What a browser is answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A page.
    Page(StatusCode, Page),
    /// Another path to get.
    SeeOther(String),
    /// Another path to get, with a session's cookie.
    Cookie(String, String),
    /// The style sheet.
    Style,
}

/// Why a request of a browser was not carried out.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The status.
    pub status: StatusCode,
    /// What the operator is told.
    pub reason: String,
}

/// An answer, or what the error page tells.
pub type Answered = Result<Answer, Fault>;

impl Fault {
    /// A fault of what was sent.
    #[must_use]
    pub fn bad(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: reason.into(),
        }
    }
}

impl From<FormError> for Fault {
    fn from(error: FormError) -> Self {
        Self::bad(error.to_string())
    }
}

impl From<EditError> for Fault {
    fn from(error: EditError) -> Self {
        Self::bad(format!("the draft was not changed: {error}"))
    }
}

impl Console {
    /// Makes a console at which nobody is logged in.
    #[must_use]
    pub fn new(cx: Arc<DaemonContext>) -> Self {
        Self {
            cx,
            sessions: Arc::default(),
        }
    }

    /// Answers a request for a path of the console.
    pub async fn handle(&self, req: &mut Request, res: &mut Response) {
        let answer = self.dispatch(req).await.unwrap_or_else(|fault| {
            let page = page::fault(&fault);
            Answer::Page(fault.status, page)
        });
        render(answer, res);
    }

    async fn dispatch(&self, req: &mut Request) -> Answered {
        let path = req.uri().path().strip_prefix(PATH).unwrap_or_default();
        let path = path.trim_matches('/').to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "style.css") => return Ok(Answer::Style),
            (&Method::GET, "login") => return Ok(Answer::Page(StatusCode::OK, page::login(None))),
            (&Method::POST, "login") => return self.log_in(req).await,
            _ => {}
        }
        let Some(id) = cookie(req) else {
            return outside(req);
        };
        let session = lock(&self.sessions).get(&id, self.cx.clock.now()).cloned();
        let Some(session) = session else {
            return outside(req);
        };
        let mut visit = Visit {
            cx: &self.cx,
            session,
            id: &id,
            sessions: &self.sessions,
        };
        let parts: Vec<&str> = path.split('/').collect();
        if req.method() == Method::GET {
            let query = req.uri().query().unwrap_or_default();
            let query = Form::parse(query.as_bytes())?;
            return shown(&mut visit, &parts, &query).await;
        }
        if req.method() != Method::POST {
            return Err(nowhere());
        }
        let form = Form::read(req).await?;
        visit.admit(&form)?;
        self.posted(&mut visit, &parts, &form).await
    }

    async fn posted(&self, visit: &mut Visit<'_>, parts: &[&str], form: &Form) -> Answered {
        match parts {
            ["logout"] => {
                lock(&self.sessions).close(visit.id);
                Ok(Answer::Cookie(path("login"), expired_cookie()))
            }
            ["edit", key] => write::edit(visit, key, form),
            ["add", key] => write::add(visit, key, form),
            ["remove", key] => write::remove(visit, key, form),
            ["text"] => write::text(visit, form),
            ["discard"] => write::discard(visit),
            ["rebase"] => write::rebase(visit),
            ["send"] => send::send(visit, form).await,
            _ => Err(nowhere()),
        }
    }

    async fn log_in(&self, req: &mut Request) -> Answered {
        let form = Form::read(req).await?;
        let by = form.get("by")?.trim();
        if by.is_empty() || by.len() > MAX_BY_BYTES {
            let reason = format!("give your name, in at most {MAX_BY_BYTES} bytes");
            return Ok(refuse_log_in(StatusCode::BAD_REQUEST, &reason));
        }
        if !is_operator(&self.cx, form.get("token")?) {
            log::warn!("the console was given a wrong token");
            return Ok(refuse_log_in(
                StatusCode::FORBIDDEN,
                "the token is missing or wrong",
            ));
        }
        let secrets = Secrets {
            id: secret(),
            anti_forgery: secret(),
            tag: secret()[..16].to_owned(),
        };
        let cookie = session_cookie(&secrets.id);
        let now = self.cx.clock.now();
        lock(&self.sessions).open(secrets, by.to_owned(), now);
        log::info!(by = by; "an operator has logged in at the console");
        Ok(Answer::Cookie(PATH.into(), cookie))
    }
}

/// Pages that are looked at.
async fn shown(visit: &mut Visit<'_>, parts: &[&str], query: &Form) -> Answered {
    let page = match parts {
        [""] => look::overview(visit).await,
        ["look", what] => look::show(visit, what, query).await?,
        ["draft"] => forms::draft(visit)?,
        ["text"] => forms::text(visit)?,
        ["edit", key] => forms::edit(visit, key, query)?,
        _ => return Err(nowhere()),
    };
    Ok(Answer::Page(StatusCode::OK, page))
}

fn refuse_log_in(status: StatusCode, reason: &str) -> Answer {
    Answer::Page(status, page::login(Some(reason)))
}

/// Sends whoever is not logged in to the log-in; a form that was posted is not carried out.
fn outside(req: &Request) -> Answered {
    if req.method() == Method::GET {
        return Ok(Answer::SeeOther(path("login")));
    }
    Err(logged_out())
}

fn nowhere() -> Fault {
    Fault {
        status: StatusCode::NOT_FOUND,
        reason: "there is no such page".into(),
    }
}

/// Returns a path below the console's.
#[must_use]
pub fn path(below: &str) -> String {
    format!("{PATH}/{below}")
}

/// Makes 256 bits that cannot be guessed, by the generator that the system seeds.
fn secret() -> String {
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

fn render(answer: Answer, res: &mut Response) {
    let headers = res.headers_mut();
    let fixed = HeaderValue::from_static;
    headers.insert(CACHE_CONTROL, fixed("no-store"));
    headers.insert(CONTENT_SECURITY_POLICY, fixed(POLICY));
    headers.insert(X_CONTENT_TYPE_OPTIONS, fixed("nosniff"));
    match answer {
        Answer::Page(status, page) => {
            headers.insert(CONTENT_TYPE, fixed("text/html; charset=utf-8"));
            res.status_code(status);
            res.body(page.to_string());
        }
        Answer::Style => {
            headers.insert(CONTENT_TYPE, fixed("text/css; charset=utf-8"));
            res.body(page::STYLE);
        }
        Answer::SeeOther(to) => see_other(&to, res),
        Answer::Cookie(to, cookie) => {
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
