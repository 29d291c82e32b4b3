//! Assertions on the findings of a text.

use conf::finding::Code;
use conf::finding::Finding;

/// Returns `text` with the first occurrence of `from` replaced.
///
/// # Panics
///
/// Panics if that does not change the text.
pub fn replace_once(text: &str, from: &str, to: &str) -> String {
    let replaced = text.replacen(from, to, 1);
    assert_ne!(replaced, text, "{from} is not in the text");
    replaced
}

/// Checks that a finding of `text` has this code and that the text at its location starts with `at`.
///
/// # Panics
///
/// Panics if there is no such finding.
pub fn assert_found(found: &[Finding], text: &str, code: Code, at: &str) {
    let expected = found
        .iter()
        .filter(|finding| finding.code == code)
        .any(|finding| text[finding.location.offset..].starts_with(at));
    assert!(
        expected,
        "expected {code} at {at}, found {found:#?} in {text}"
    );
}
