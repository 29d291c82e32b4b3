//! JSON pointers into a text.

/// Escapes one segment of a JSON pointer (RFC 6901).
#[must_use]
pub fn escape(segment: &str) -> String {
    segment.replace('~', "~0").replace('/', "~1")
}
