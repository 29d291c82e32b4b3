//! HTML that cannot be broken out of: text and attributes are escaped as they are added.

use std::fmt;

/// Elements that have no content and no end tag.
const VOID_ELEMENTS: [&str; 5] = ["br", "hr", "input", "link", "meta"];

/// One element with what lies in it; its content is escaped already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    tag: &'static str,
    attrs: String,
    inner: String,
}

/// Makes an empty element.
#[must_use]
pub fn el(tag: &'static str) -> Element {
    Element {
        tag,
        attrs: String::new(),
        inner: String::new(),
    }
}

/// Makes a link.
#[must_use]
pub fn link(href: impl AsRef<str>, text: impl AsRef<str>) -> Element {
    el("a").attr("href", href).text(text)
}

impl Element {
    /// Adds an attribute.
    #[must_use]
    pub fn attr(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        self.attrs.push(' ');
        self.attrs.push_str(name);
        self.attrs.push_str("=\"");
        escape(value.as_ref(), &mut self.attrs);
        self.attrs.push('"');
        self
    }

    /// Adds an attribute without a value if `set`.
    #[must_use]
    pub fn flag(mut self, name: &'static str, set: bool) -> Self {
        if set {
            self.attrs.push(' ');
            self.attrs.push_str(name);
        }
        self
    }

    /// Adds text.
    #[must_use]
    pub fn text(mut self, text: impl AsRef<str>) -> Self {
        escape(text.as_ref(), &mut self.inner);
        self
    }

    /// Adds an element.
    #[must_use]
    pub fn child(mut self, child: Self) -> Self {
        self.inner.push_str(&child.to_string());
        self
    }

    /// Adds elements in their order.
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
        // A browser drops the first line break of a text area, so that one is given to it.
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
