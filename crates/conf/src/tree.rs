//! A parsed text with the place of every value, by JSON pointer.

use std::collections::BTreeMap;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::parse_to_ast;

use crate::finding::At;
use crate::finding::Code;
use crate::finding::Finding;

/// The dialect of JSON that documents and settings are written in: comments and trailing commas are
/// allowed, the liberties of JSON5 are not.
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

/// Parses a text.
///
/// # Errors
///
/// Returns the finding on the first place that is not JSON with comments; what follows it cannot be
/// told apart reliably.
pub fn parse(text: &str) -> Result<Value<'_>, Finding> {
    let lines = Lines::new(text);
    let parsed = parse_to_ast(text, &CollectOptions::default(), &DIALECT);
    match parsed.map(|parsed| parsed.value) {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err(Finding::error(
            Code::Syntax,
            "the text is empty".to_owned(),
            lines.at(Range::new(0, 0), ""),
        )),
        Err(error) => Err(syntax(&error, &lines)),
    }
}

fn syntax(error: &ParseError, lines: &Lines<'_>) -> Finding {
    let place = lines.at(error.range(), "");
    Finding::error(Code::Syntax, error.kind().to_string(), place)
        .help("nothing after this place was checked")
}

/// Returns the text value at a JSON pointer through objects, if there is one.
#[must_use]
pub fn text_at<'b>(root: &'b Value<'_>, pointer: &str) -> Option<&'b str> {
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

/// Undoes [`escape`].
#[must_use]
pub fn unescape(segment: &str) -> String {
    segment.replace("~1", "/").replace("~0", "~")
}

/// Finds line and column of a place in a text.
#[derive(Clone, Debug)]
pub struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// Indexes a text.
    #[must_use]
    pub fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the place of a range of bytes.
    #[must_use]
    pub fn at(&self, range: Range, pointer: &str) -> At {
        let offset = self.boundary(range.start);
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        At {
            line,
            column: self.text[start..offset].chars().count() + 1,
            offset,
            len: self.boundary(range.end).saturating_sub(offset),
            pointer: pointer.to_owned(),
        }
    }

    fn boundary(&self, offset: usize) -> usize {
        self.text.floor_char_boundary(offset)
    }
}

/// The places of all values and keys of a text.
#[derive(Clone, Debug, Default)]
pub struct Places {
    values: BTreeMap<String, At>,
    keys: BTreeMap<String, At>,
}

impl Places {
    /// Collects the places of a parsed text.
    #[must_use]
    pub fn collect(value: &Value<'_>, lines: &Lines<'_>) -> Self {
        let mut places = Self::default();
        places.add(value, lines, "");
        places
    }

    fn add(&mut self, value: &Value<'_>, lines: &Lines<'_>, pointer: &str) {
        let place = lines.at(value.range(), pointer);
        self.values.entry(pointer.to_owned()).or_insert(place);
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    let below = format!("{pointer}/{}", escape(property.name.as_str()));
                    let place = lines.at(property.name.range(), &below);
                    self.keys.entry(below.clone()).or_insert(place);
                    self.add(&property.value, lines, &below);
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

    /// Returns the place of the value at `pointer`, or of the nearest one around it.
    #[must_use]
    pub fn value(&self, pointer: &str) -> At {
        self.nearest(&self.values, pointer)
    }

    /// Returns the place of the key at `pointer`, or of the nearest value around it.
    #[must_use]
    pub fn key(&self, pointer: &str) -> At {
        self.nearest(&self.keys, pointer)
    }

    /// Returns whether the text has a value at `pointer`.
    #[must_use]
    pub fn has(&self, pointer: &str) -> bool {
        self.values.contains_key(pointer)
    }

    /// Returns the keys directly below `pointer`, in the order of their names.
    #[must_use]
    pub fn names(&self, pointer: &str) -> Vec<String> {
        let prefix = format!("{pointer}/");
        self.keys
            .keys()
            .filter_map(|key| key.strip_prefix(&prefix))
            .filter(|rest| !rest.contains('/'))
            .map(unescape)
            .collect()
    }

    fn nearest(&self, map: &BTreeMap<String, At>, pointer: &str) -> At {
        if let Some(place) = map.get(pointer).or_else(|| self.values.get(pointer)) {
            return place.clone();
        }
        match pointer.rsplit_once('/') {
            Some((around, _)) => self.nearest(map, around),
            None => At::default(),
        }
    }
}
