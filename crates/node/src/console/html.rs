//! An HTML builder that escapes text and attribute values when they are added, so that user input
//! cannot inject markup.

use std::fmt;

/// The void elements that the console uses: they have no content and no end tag.
const VOID_ELEMENTS: [&str; 5] = ["br", "hr", "input", "link", "meta"];

/// An HTML element with its attributes and content, both already escaped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    tag: &'static str,
    attrs: String,
    inner: String,
}

/// Creates an empty element.
#[must_use]
pub fn el(tag: &'static str) -> Element {
    Element {
        tag,
        attrs: String::new(),
        inner: String::new(),
    }
}

/// Creates a link (`<a>`) with this target and text.
#[must_use]
pub fn link(href: impl AsRef<str>, text: impl AsRef<str>) -> Element {
    el("a").attr("href", href).text(text)
}

impl Element {
    /// Adds an attribute and escapes its value.
    #[must_use]
    pub fn attr(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        self.attrs.push(' ');
        self.attrs.push_str(name);
        self.attrs.push_str("=\"");
        escape(value.as_ref(), &mut self.attrs);
        self.attrs.push('"');
        self
    }

    /// Adds a boolean attribute (one without a value) if `set` is true.
    #[must_use]
    pub fn flag(mut self, name: &'static str, set: bool) -> Self {
        if set {
            self.attrs.push(' ');
            self.attrs.push_str(name);
        }
        self
    }

    /// Appends text and escapes it.
    #[must_use]
    pub fn text(mut self, text: impl AsRef<str>) -> Self {
        escape(text.as_ref(), &mut self.inner);
        self
    }

    /// Appends a child element.
    #[must_use]
    pub fn child(mut self, child: Self) -> Self {
        self.inner.push_str(&child.to_string());
        self
    }

    /// Appends child elements in order.
    #[must_use]
    pub fn children(self, children: impl IntoIterator<Item = Self>) -> Self {
        children.into_iter().fold(self, Self::child)
    }
}

impl fmt::Display for Element {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "<{}{}>", self.tag, self.attrs)?;
        if VOID_ELEMENTS.contains(&self.tag) {
            return Ok(());
        }
        // Browsers ignore a line break directly after `<textarea>`; this one preserves a line break
        // at the start of the content.
        let lead = if self.tag == "textarea" { "\n" } else { "" };
        write!(f, "{lead}{}</{}>", self.inner, self.tag)
    }
}

fn escape(text: &str, out: &mut String) {
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            c => out.push(c),
        }
    }
}
