//! Reads what a browser posts, within bounds; whatever is wrong with it is told, never fatal.

use derive_more::Display;
use derive_more::Error;
use http::header::CONTENT_TYPE;
use salvo::Request;

/// The largest body of a form, in bytes: the longest draft, with each of its bytes percent-encoded.
pub const MAX_FORM_BYTES: usize = 3 * super::session::MAX_DRAFT_BYTES + (16 << 10);
/// The most fields of a form.
const MAX_FIELDS: usize = 64;
/// What forms are sent as.
const FORM_TYPE: &str = "application/x-www-form-urlencoded";

/// Why a form was not read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FormError {
    /// It is sent as something else than a form.
    #[display("a form is sent as {FORM_TYPE}")]
    NotAForm,
    /// It is too large or broke off.
    #[display("the form cannot be read, at most {MAX_FORM_BYTES} bytes: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// It is not text.
    #[display("the form is not UTF-8 text")]
    NotText,
    /// It has more fields than any form here.
    #[display("the form has more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// A field is missing.
    #[display("the form has no field `{_0}`")]
    Missing(#[error(not(source))] String),
}

/// The fields of a posted form or of a query.
#[derive(Clone, Debug, Default)]
pub struct Form {
    fields: Vec<(String, String)>,
}

impl Form {
    /// Reads the fields of a body.
    ///
    /// # Errors
    ///
    /// Returns what keeps the body from being read as a form.
    pub async fn read(req: &mut Request) -> Result<Self, FormError> {
        let kind = req.headers().get(CONTENT_TYPE);
        let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
        if kind.split(';').next().map(str::trim) != Some(FORM_TYPE) {
            return Err(FormError::NotAForm);
        }
        let body = req.payload_with_max_size(MAX_FORM_BYTES).await;
        let body = body.map_err(|error| FormError::Unreadable(error.to_string()))?;
        Self::parse(body)
    }

    /// Reads encoded fields.
    ///
    /// # Errors
    ///
    /// Returns an error if they are not text or too many.
    pub fn parse(encoded: &[u8]) -> Result<Self, FormError> {
        let mut fields = Vec::new();
        for (name, value) in form_urlencoded::parse(encoded) {
            if fields.len() == MAX_FIELDS {
                return Err(FormError::TooManyFields);
            }
            if [&name, &value].iter().any(|text| text.contains('\u{FFFD}')) {
                return Err(FormError::NotText);
            }
            // Browsers send the lines of a text area with CR LF.
            fields.push((name.into_owned(), value.replace("\r\n", "\n")));
        }
        Ok(Self { fields })
    }

    /// Returns the first field of this name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub fn get(&self, name: &str) -> Result<&str, FormError> {
        let found = self.fields.iter().find(|(own, _)| own == name);
        let found = found.map(|(_, value)| value.as_str());
        found.ok_or_else(|| FormError::Missing(name.to_owned()))
    }
}
