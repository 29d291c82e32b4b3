//! The sessions of logged-in operators and their drafts.
//!
//! Sessions are stored in memory only, so operators have to log in again after a restart of the
//! daemon. Their number, age and size are limited. The caller provides the time and the random
//! values.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::id::DocVersion;
use model::id::OpId;
use subtle::ConstantTimeEq;

/// The maximum number of sessions. Opening another one ends the least recently used session.
pub const MAX_SESSIONS: usize = 16;
/// The maximum age of a session, counted from the log-in.
pub const MAX_AGE: Duration = Duration::from_secs(8 * 60 * 60);
/// The time without requests after which a session expires.
pub const MAX_IDLE: Duration = Duration::from_secs(30 * 60);
/// The maximum length of a draft, in bytes.
pub const MAX_DRAFT_BYTES: usize = 256 << 10;

/// The random values of a new session, in hexadecimal digits. The console generates 256 bits for
/// `id` and `anti_forgery`, and 64 bits for `op_prefix`.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// The id of the session, which is the value of the cookie.
    pub id: String,
    /// The anti-forgery token that each form contains, so that other sites cannot submit forms.
    pub anti_forgery: String,
    /// The part of the operation ids that identifies the session. It is not secret.
    pub op_prefix: String,
}

/// A document that an operator is editing.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The version of the document that the draft is based on; 0 if none was in force.
    pub base: DocVersion,
    /// The text of the base version.
    pub base_text: Arc<str>,
    /// The current text of the draft.
    pub text: Arc<str>,
    /// Whether the draft was submitted and the outcome is unknown.
    pub in_doubt: bool,
}

/// The session of a logged-in operator.
#[derive(Clone, Debug)]
pub struct Session {
    /// The name that the operator entered at log-in. It is published as the author of each change.
    pub operator: String,
    /// The anti-forgery token that each form of this session contains.
    pub anti_forgery: String,
    /// The draft; `None` until a page needs one, and after it was accepted or discarded.
    pub draft: Option<Draft>,
    /// The number of changes to the draft. A form for an older revision is rejected.
    pub revision: u64,
    op_prefix: String,
    opened_at: Mono,
    used_at: Mono,
}

/// The sessions of one daemon, by id.
#[derive(Debug, Default)]
pub struct Sessions {
    by_id: Map<String, Session>,
}

impl Draft {
    /// Returns whether the text differs from that of the base version.
    #[must_use]
    pub fn is_changed(&self) -> bool {
        self.text != self.base_text
    }
}

impl Session {
    /// Returns the operation id for submitting the draft, which changes only with the draft.
    #[must_use]
    pub fn op_id(&self) -> OpId {
        OpId::new(format!("console/{}/{}", self.op_prefix, self.revision))
    }

    /// Returns whether this is the anti-forgery token of the session, in constant time.
    #[must_use]
    pub fn has_anti_forgery_token(&self, anti_forgery: &str) -> bool {
        bool::from(self.anti_forgery.as_bytes().ct_eq(anti_forgery.as_bytes()))
    }

    /// Replaces or removes the draft and increments the revision, which invalidates open forms.
    pub fn set_draft(&mut self, draft: Option<Draft>) {
        self.draft = draft;
        self.revision += 1;
    }

    fn is_expired(&self, now: Mono) -> bool {
        now.since(self.opened_at) >= MAX_AGE || now.since(self.used_at) >= MAX_IDLE
    }
}

impl Sessions {
    /// Opens a session. Removes expired sessions first and, if [`MAX_SESSIONS`] are left, the least
    /// recently used one.
    pub fn open(&mut self, secrets: Secrets, operator: String, now: Mono) {
        self.by_id.retain(|_, session| !session.is_expired(now));
        while self.by_id.len() >= MAX_SESSIONS {
            let oldest = self.by_id.iter().min_by_key(|(_, session)| session.used_at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.by_id.remove(&id);
        }
        let session = Session {
            operator,
            anti_forgery: secrets.anti_forgery,
            draft: None,
            revision: 0,
            op_prefix: secrets.op_prefix,
            opened_at: now,
            used_at: now,
        };
        self.by_id.insert(secrets.id, session);
    }

    /// Returns the session with this id, if it has not expired, and records that it was used.
    pub fn get(&mut self, id: &str, now: Mono) -> Option<&mut Session> {
        if self.by_id.get(id)?.is_expired(now) {
            self.by_id.remove(id);
            return None;
        }
        let session = self.by_id.get_mut(id)?;
        session.used_at = now;
        Some(session)
    }

    /// Ends the session with this id.
    pub fn close(&mut self, id: &str) {
        self.by_id.remove(id);
    }
}
