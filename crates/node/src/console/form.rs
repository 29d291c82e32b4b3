//! Parses posted forms and queries with limits on their size. Invalid input results in an error,
//! never in a panic.

use derive_more::Display;
use derive_more::Error;
use http::header::CONTENT_TYPE;
use salvo::Request;

/// The maximum size of a form's body, in bytes: a draft of the maximum length with every byte
/// percent-encoded, and room for the other fields.
pub const MAX_FORM_BYTES: usize = 3 * super::session::MAX_DRAFT_BYTES + (16 << 10);
/// The maximum number of fields in a form.
const MAX_FIELDS: usize = 64;
/// The content type that forms must have.
const FORM_TYPE: &str = "application/x-www-form-urlencoded";

/// The reason why a form could not be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FormError {
    /// The content type is not that of a form.
    #[display("a form is sent as {FORM_TYPE}")]
    NotAForm,
    /// The body exceeds [`MAX_FORM_BYTES`] or ended early.
    #[display("the form cannot be read, at most {MAX_FORM_BYTES} bytes: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// A name or a value is not valid UTF-8.
    #[display("the form is not UTF-8 text")]
    NotText,
    /// The form has more fields than any form of the console.
    #[display("the form has more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// The form has no field with this name.
    #[display("the form has no field `{_0}`")]
    Missing(#[error(not(source))] String),
}

/// The fields of a posted form or of a query string, in the order received.
#[derive(Clone, Debug, Default)]
pub struct Form {
    fields: Vec<(String, String)>,
}

impl Form {
    /// Reads and parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a form, is too large, or cannot be parsed.
    pub async fn read(req: &mut Request) -> Result<Self, FormError> {
        let content_type = req.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|content_type| content_type.to_str().ok())
            .unwrap_or_default();
        if content_type.split(';').next().map(str::trim) != Some(FORM_TYPE) {
            return Err(FormError::NotAForm);
        }
        let body = req.payload_with_max_size(MAX_FORM_BYTES).await;
        let body = body.map_err(|error| FormError::Unreadable(error.to_string()))?;
        Self::parse(body)
    }

    /// Parses URL-encoded fields.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is not UTF-8 text or if there are too many fields.
    pub fn parse(encoded: &[u8]) -> Result<Self, FormError> {
        let mut fields = Vec::new();
        for (name, value) in form_urlencoded::parse(encoded) {
            if fields.len() == MAX_FIELDS {
                return Err(FormError::TooManyFields);
            }
            if [&name, &value].iter().any(|text| text.contains('\u{FFFD}')) {
                return Err(FormError::NotText);
            }
            // Browsers submit the lines of a text area with CR LF line endings.
            fields.push((name.into_owned(), value.replace("\r\n", "\n")));
        }
        Ok(Self { fields })
    }

    /// Returns the value of the first field with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such field.
    pub fn get(&self, name: &str) -> Result<&str, FormError> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        let found = found.map(|(_, value)| value.as_str());
        found.ok_or_else(|| FormError::Missing(name.to_owned()))
    }
}
