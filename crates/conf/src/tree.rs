//! Parsing of texts, and the locations of their values by JSON pointer.

use std::collections::BTreeMap;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::parse_to_ast;

use crate::finding::Code;
use crate::finding::Finding;
use crate::finding::Location;

/// The JSON dialect of documents and settings: comments and trailing commas are allowed, other
/// JSON5 extensions are not.
pub const DIALECT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses a text to its syntax tree.
///
/// # Errors
///
/// Returns a finding on the first syntax error. The text after it cannot be parsed reliably, so
/// there is never more than one.
pub fn parse(text: &str) -> Result<Value<'_>, Finding> {
    let lines = LineIndex::new(text);
    let parsed = parse_to_ast(text, &CollectOptions::default(), &DIALECT);
    match parsed.map(|parsed| parsed.value) {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err(Finding::error(
            Code::Syntax,
            "the text is empty".to_owned(),
            lines.at(Range::new(0, 0), ""),
        )),
        Err(error) => Err(syntax_finding(&error, &lines)),
    }
}

fn syntax_finding(error: &ParseError, lines: &LineIndex<'_>) -> Finding {
    let location = lines.at(error.range(), "");
    Finding::error(Code::Syntax, error.kind().to_string(), location)
        .help("nothing after this place was checked")
}

/// Returns the string at a JSON pointer, if there is one; the pointer may only lead through
/// objects.
#[must_use]
pub fn string_at<'b>(root: &'b Value<'_>, pointer: &str) -> Option<&'b str> {
    let mut value = root;
    for segment in pointer.split('/').skip(1) {
        let name = unescape(segment);
        let property = value
            .as_object()?
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)?;
        value = &property.value;
    }
    value.as_string_lit().map(|text| text.value.as_ref())
}

/// Escapes one segment of a JSON pointer (RFC 6901).
#[must_use]
pub fn escape(segment: &str) -> String {
    segment.replace('~', "~0").replace('/', "~1")
}

/// Reverses [`escape`].
#[must_use]
pub fn unescape(segment: &str) -> String {
    segment.replace("~1", "/").replace("~0", "~")
}

/// An index of the lines of a text, to find the line and column of an offset.
#[derive(Clone, Debug)]
pub struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Creates the index of a text.
    #[must_use]
    pub fn new(text: &'a str) -> Self {
        let line_starts = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(line_starts).collect(),
        }
    }

    /// Returns the location of a range of bytes.
    #[must_use]
    pub fn at(&self, range: Range, pointer: &str) -> Location {
        let offset = self.char_boundary(range.start);
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        Location {
            line,
            column: self.text[start..offset].chars().count() + 1,
            offset,
            len: self.char_boundary(range.end).saturating_sub(offset),
            pointer: pointer.to_owned(),
        }
    }

    /// Returns the last character boundary at or before `offset`.
    fn char_boundary(&self, offset: usize) -> usize {
        self.text.floor_char_boundary(offset)
    }
}

/// The locations of all values and keys of a text.
#[derive(Clone, Debug, Default)]
pub struct Locations {
    values: BTreeMap<String, Location>,
    keys: BTreeMap<String, Location>,
}

impl Locations {
    /// Collects the locations of a parsed text.
    #[must_use]
    pub fn collect(value: &Value<'_>, lines: &LineIndex<'_>) -> Self {
        let mut locations = Self::default();
        locations.add(value, lines, "");
        locations
    }

    fn add(&mut self, value: &Value<'_>, lines: &LineIndex<'_>, pointer: &str) {
        let location = lines.at(value.range(), pointer);
        self.values.entry(pointer.to_owned()).or_insert(location);
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    let child_pointer = format!("{pointer}/{}", escape(property.name.as_str()));
                    let location = lines.at(property.name.range(), &child_pointer);
                    self.keys.entry(child_pointer.clone()).or_insert(location);
                    self.add(&property.value, lines, &child_pointer);
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.add(element, lines, &format!("{pointer}/{index}"));
                }
            }
            _ => {}
        }
    }

    /// Returns the location of the value at `pointer`, or of the innermost value around it.
    #[must_use]
    pub fn value(&self, pointer: &str) -> Location {
        self.nearest(&self.values, pointer)
    }

    /// Returns the location of the key at `pointer`, or of the innermost key or value around it.
    #[must_use]
    pub fn key(&self, pointer: &str) -> Location {
        self.nearest(&self.keys, pointer)
    }

    /// Returns whether the text has a value at `pointer`.
    #[must_use]
    pub fn contains(&self, pointer: &str) -> bool {
        self.values.contains_key(pointer)
    }

    /// Returns the keys directly below `pointer`, sorted by name.
    #[must_use]
    pub fn child_names(&self, pointer: &str) -> Vec<String> {
        let prefix = format!("{pointer}/");
        self.keys
            .keys()
            .filter_map(|key| key.strip_prefix(&prefix))
            .filter(|rest| !rest.contains('/'))
            .map(unescape)
            .collect()
    }

    fn nearest(&self, map: &BTreeMap<String, Location>, pointer: &str) -> Location {
        if let Some(location) = map.get(pointer).or_else(|| self.values.get(pointer)) {
            return location.clone();
        }
        match pointer.rsplit_once('/') {
            Some((parent, _)) => self.nearest(map, parent),
            None => Location::default(),
        }
    }
}
