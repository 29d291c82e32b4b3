//! A simulated browser without scripts, which stores the session cookie and submits forms with the
//! hidden fields of the last page.

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header::CONTENT_TYPE;
use http::header::COOKIE;
use http::header::LOCATION;
use http::header::SET_COOKIE;
use node::console::Console;
use salvo::Request;
use salvo::Response;
use salvo::http::ReqBody;
use salvo::http::ResBody;

use crate::world::TOKEN;

const FORM: &str = "application/x-www-form-urlencoded";

/// A response of the console.
pub struct PageReply {
    pub status: u16,
    pub headers: HeaderMap,
    pub html: String,
}

pub struct Browser {
    console: Console,
    pub cookie: Option<String>,
    pub anti_forgery: String,
    pub revision: String,
}

impl PageReply {
    pub fn location(&self) -> &str {
        self.headers
            .get(LOCATION)
            .map_or("", |to| to.to_str().unwrap())
    }

    /// Asserts that the page contains this text, and prints the page if it does not.
    pub fn assert_has(&self, text: &str) -> &Self {
        assert!(
            self.html.contains(text),
            "`{text}` is missing in\n{}",
            self.html
        );
        self
    }

    pub fn assert_lacks(&self, text: &str) -> &Self {
        assert!(!self.html.contains(text), "`{text}` is in\n{}", self.html);
        self
    }

    /// Returns the text of the text area with this id, as the operator sees it.
    pub fn textarea(&self, id: &str) -> String {
        let field = self.html.split(&format!("id=\"{id}\"")).nth(1).unwrap();
        let inner = field.split_once('>').unwrap().1;
        let inner = inner.split_once("</textarea>").unwrap().0;
        unescape(inner.strip_prefix('\n').unwrap())
    }
}

impl Browser {
    pub fn new(console: &Console) -> Self {
        Self {
            console: console.clone(),
            cookie: None,
            anti_forgery: String::new(),
            revision: String::new(),
        }
    }

    /// Returns a browser with a session for this operator.
    pub async fn logged_in(console: &Console, by: &str) -> Self {
        let mut browser = Self::new(console);
        let reply = browser.log_in(by, TOKEN).await;
        assert_eq!(reply.status, 303);
        browser.get("/console").await;
        browser
    }

    pub async fn log_in(&mut self, by: &str, token: &str) -> PageReply {
        let body = encode(&[("by", by), ("token", token)]);
        self.send(Method::POST, "/console/login", FORM, body.into_bytes())
            .await
    }

    pub async fn get(&mut self, path: &str) -> PageReply {
        self.send(Method::GET, path, "", Vec::new()).await
    }

    /// Posts fields together with the hidden fields of the last page.
    pub async fn post(&mut self, path: &str, fields: &[(&str, &str)]) -> PageReply {
        let (anti_forgery, revision) = (self.anti_forgery.clone(), self.revision.clone());
        let mut body_fields = vec![("anti_forgery", &*anti_forgery), ("revision", &*revision)];
        body_fields.extend(fields);
        let body = encode(&body_fields);
        self.send(Method::POST, path, FORM, body.into_bytes()).await
    }

    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        content_type: &str,
        body: Vec<u8>,
    ) -> PageReply {
        let mut req = Request::default();
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().unwrap();
        if let Some(cookie) = &self.cookie {
            let cookie = HeaderValue::from_str(cookie).unwrap();
            req.headers_mut().insert(COOKIE, cookie);
        }
        let content_type = HeaderValue::from_str(content_type).unwrap();
        req.headers_mut().insert(CONTENT_TYPE, content_type);
        req.replace_body(ReqBody::Once(body.into()));
        let mut res = Response::new();
        self.console.handle(&mut req, &mut res).await;
        let ResBody::Once(bytes) = res.take_body() else {
            return self.receive(&res, String::new());
        };
        self.receive(&res, String::from_utf8(bytes.to_vec()).unwrap())
    }

    fn receive(&mut self, res: &Response, html: String) -> PageReply {
        if let Some(cookie) = res.headers().get(SET_COOKIE) {
            let pair = cookie.to_str().unwrap().split(';').next().unwrap();
            self.cookie = Some(pair.to_owned());
        }
        let hidden = |name: &str| {
            let rest = html.split(&format!("name=\"{name}\" value=\"")).nth(1)?;
            Some(rest.split('"').next()?.to_owned())
        };
        if let (Some(anti_forgery), Some(revision)) = (hidden("anti_forgery"), hidden("revision")) {
            self.anti_forgery = anti_forgery;
            self.revision = revision;
        }
        PageReply {
            status: res.status_code.map_or(200, |status| status.as_u16()),
            headers: res.headers().clone(),
            html,
        }
    }
}

pub fn encode(fields: &[(&str, &str)]) -> String {
    form_urlencoded::Serializer::new(String::new())
        .extend_pairs(fields)
        .finish()
}

fn unescape(text: &str) -> String {
    let text = text.replace("&lt;", "<").replace("&gt;", ">");
    let text = text.replace("&quot;", "\"").replace("&#39;", "'");
    text.replace("&amp;", "&")
}
