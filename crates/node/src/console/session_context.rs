//! The context of a logged-in operator's request, with access to the operator's draft.

use std::sync::Arc;
use std::sync::Mutex;

use http::StatusCode;

use crate::console::ConsoleError;
use crate::console::draft_edits;
use crate::console::form::Form;
use crate::console::session::Draft;
use crate::console::session::MAX_DRAFT_BYTES;
use crate::console::session::Session;
use crate::console::session::Sessions;
use crate::context::DaemonContext;
use crate::context::lock;

/// The context of one request from a logged-in operator.
pub struct SessionContext<'a> {
    /// The state that the components of the daemon share.
    pub cx: &'a Arc<DaemonContext>,
    /// A copy of the session, taken when the request arrived and updated by
    /// [`replace_draft`](Self::replace_draft).
    pub session: Session,
    pub(super) id: &'a str,
    pub(super) sessions: &'a Mutex<Sessions>,
}

impl SessionContext<'_> {
    /// Returns the draft that a posted form refers to.
    ///
    /// Unlike [`current_draft`](Self::current_draft), it does not refresh an unchanged draft,
    /// because the input applies to the text that the operator saw.
    ///
    /// # Errors
    ///
    /// Returns an error if the session has no draft.
    pub fn existing_draft(&self) -> Result<Draft, ConsoleError> {
        self.session.draft.clone().ok_or_else(stale_form)
    }

    /// Returns the draft for rendering a page. If there is none, or it is unchanged and based on
    /// another version, it is first replaced by the document in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the draft has to be replaced and that fails, for example because the
    /// session has ended.
    pub fn current_draft(&mut self) -> Result<Draft, ConsoleError> {
        let in_force = draft_edits::in_force(self.cx);
        let stale = |draft: &Draft| !draft.is_changed() && draft.base != in_force.base;
        match &self.session.draft {
            Some(draft) if !stale(draft) => Ok(draft.clone()),
            _ => {
                self.replace_draft(Some(in_force.clone()))?;
                Ok(in_force)
            }
        }
    }

    /// Replaces or removes the draft.
    ///
    /// # Errors
    ///
    /// Returns an error if the draft is too long, the session has ended, or the draft was changed
    /// concurrently, for example in another window.
    pub fn replace_draft(&mut self, draft: Option<Draft>) -> Result<(), ConsoleError> {
        if let Some(draft) = &draft
            && draft.text.len() > MAX_DRAFT_BYTES
        {
            let reason = format!("the draft would be longer than {MAX_DRAFT_BYTES} bytes");
            return Err(ConsoleError::bad_request(reason));
        }
        let now = self.cx.clock.now();
        let mut sessions = lock(self.sessions);
        let session = sessions.get(self.id, now).ok_or_else(not_logged_in)?;
        if session.revision != self.session.revision {
            return Err(stale_form());
        }
        session.set_draft(draft);
        self.session = session.clone();
        Ok(())
    }

    /// Stores the draft after it was submitted, without a new revision: open forms and the
    /// operation id stay valid.
    pub(super) fn record_send_status(&mut self, draft: Draft) {
        let now = self.cx.clock.now();
        let mut sessions = lock(self.sessions);
        let session = sessions.get(self.id, now);
        if let Some(session) = session.filter(|session| session.revision == self.session.revision) {
            session.draft = Some(draft);
        }
    }

    /// Rejects a form that was submitted by another site or that belongs to an older revision of
    /// the draft.
    pub(super) fn verify_form(&self, form: &Form) -> Result<(), ConsoleError> {
        if !self
            .session
            .has_anti_forgery_token(form.get("anti_forgery")?)
        {
            return Err(ConsoleError {
                status: StatusCode::FORBIDDEN,
                reason: "the form does not belong to this session; open it again".into(),
            });
        }
        if form.get("revision")? != self.session.revision.to_string() {
            return Err(stale_form());
        }
        Ok(())
    }
}

fn stale_form() -> ConsoleError {
    ConsoleError {
        status: StatusCode::CONFLICT,
        reason: "the draft has changed since this form was opened, perhaps in another window; \
                 open the form again"
            .into(),
    }
}

/// Returns the error for a request without a valid session.
#[must_use]
pub fn not_logged_in() -> ConsoleError {
    ConsoleError {
        status: StatusCode::FORBIDDEN,
        reason: "nobody is logged in here, or the session has ended; log in again".into(),
    }
}
