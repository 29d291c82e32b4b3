//! Validates a text against the JSON Schema of its type: keys, types and ranges.
//!
//! Besides the findings it returns the valid part of the text, so that the semantic checks run in
//! the same pass and an operator sees all findings at once.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value as Ast;
use jsonc_parser::common::Ranged;
use serde_json::Map;
use serde_json::Value;

use crate::finding::Code;
use crate::finding::Finding;
use crate::hint;
use crate::tree::LineIndex;
use crate::tree::escape;

/// Validates one text against a schema.
pub struct Validator<'a> {
    schema: &'a Value,
    lines: LineIndex<'a>,
    findings: Vec<Finding>,
}

impl<'a> Validator<'a> {
    /// Creates a validator of a text against a schema.
    #[must_use]
    pub fn new(schema: &'a Value, text: &'a str) -> Self {
        Self {
            schema,
            lines: LineIndex::new(text),
            findings: Vec::new(),
        }
    }

    /// Returns the valid part of the text, if there is one, and the findings.
    #[must_use]
    pub fn check(mut self, root: &Ast<'_>) -> (Option<Value>, Vec<Finding>) {
        let valid = self.check_value(root, self.schema, "");
        (valid, self.findings)
    }

    /// Adds a finding at a node.
    fn report(&mut self, code: Code, message: String, node: &impl Ranged, pointer: &str) {
        let location = self.lines.at(node.range(), pointer);
        self.findings.push(Finding::error(code, message, location));
    }

    /// Sets the suggestion of the last finding.
    fn add_help(&mut self, help: Option<String>) {
        if let Some(finding) = self.findings.last_mut() {
            finding.help = help;
        }
    }

    /// Returns the schema that a `$ref` refers to, or the schema itself.
    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let reference = schema.get("$ref").and_then(Value::as_str);
        let target = reference.and_then(|path| self.schema.pointer(path.trim_start_matches('#')));
        target.unwrap_or(schema)
    }

    fn check_value(&mut self, ast: &Ast<'_>, schema: &'a Value, pointer: &str) -> Option<Value> {
        let schema = self.resolve(schema);
        if let Some(choices) = schema.get("anyOf").and_then(Value::as_array) {
            return self.check_optional(ast, choices, pointer);
        }
        if let Some(choices) = schema.get("oneOf").and_then(Value::as_array) {
            return self.check_enum(ast, choices, pointer);
        }
        let types = types(schema);
        match ast {
            Ast::Object(object) if types.contains(&"object") => {
                self.check_object(object, schema, pointer)
            }
            Ast::Array(array) if types.contains(&"array") => {
                self.check_array(array, schema, pointer)
            }
            Ast::StringLit(text) if types.contains(&"string") => {
                self.check_string(ast, &text.value, schema, pointer)
            }
            Ast::NumberLit(number) if types.contains(&"integer") => {
                self.check_integer(ast, number.value, schema, pointer)
            }
            Ast::BooleanLit(boolean) if types.contains(&"boolean") => {
                Some(Value::Bool(boolean.value))
            }
            Ast::NullKeyword(_) if types.contains(&"null") => Some(Value::Null),
            _ => {
                let message = format!(
                    "{} is needed here, not {}",
                    expected_kind(&types),
                    actual_kind(ast)
                );
                self.report(Code::WrongType, message, ast, pointer);
                None
            }
        }
    }

    fn check_optional(
        &mut self,
        ast: &Ast<'_>,
        choices: &'a [Value],
        pointer: &str,
    ) -> Option<Value> {
        if matches!(ast, Ast::NullKeyword(_)) {
            return Some(Value::Null);
        }
        let choice = choices.iter().find(|choice| types(choice) != ["null"])?;
        self.check_value(ast, choice, pointer)
    }

    fn check_enum(&mut self, ast: &Ast<'_>, choices: &[Value], pointer: &str) -> Option<Value> {
        let variants: Vec<&str> = choices
            .iter()
            .filter_map(|choice| choice.get("const").and_then(Value::as_str))
            .collect();
        let Ast::StringLit(text) = ast else {
            let message = format!("an allowed value is needed here, not {}", actual_kind(ast));
            self.report(Code::WrongType, message, ast, pointer);
            self.add_help(hint::suggest("", variants));
            return None;
        };
        if variants.contains(&text.value.as_ref()) {
            return Some(Value::from(text.value.as_ref()));
        }
        let message = format!("`{}` is not one of the values allowed here", text.value);
        self.report(Code::OutOfRange, message, ast, pointer);
        self.add_help(hint::suggest(&text.value, variants));
        None
    }

    fn check_string(
        &mut self,
        ast: &Ast<'_>,
        text: &str,
        schema: &Value,
        pointer: &str,
    ) -> Option<Value> {
        let bound = |key: &str| schema.get(key).and_then(Value::as_u64);
        let len = text.len() as u64;
        if let Some(min) = bound("minLength").filter(|min| len < *min) {
            let message = format!("at least {min} bytes are needed here, not {len}");
            self.report(Code::OutOfRange, message, ast, pointer);
            return None;
        }
        if let Some(max) = bound("maxLength").filter(|max| len > *max) {
            let message = format!("at most {max} bytes are allowed here, not {len}");
            self.report(Code::OutOfRange, message, ast, pointer);
            return None;
        }
        let is_address = schema.get("format").and_then(Value::as_str) == Some("socket-address");
        if is_address && text.parse::<SocketAddr>().is_err() {
            let message = format!("`{text}` is not an IP address with a port");
            self.report(Code::OutOfRange, message, ast, pointer);
            self.add_help(Some(
                "write it like `10.0.0.1:7000` or `[::1]:7000`".to_owned(),
            ));
            return None;
        }
        Some(Value::from(text))
    }

    fn check_integer(
        &mut self,
        ast: &Ast<'_>,
        text: &str,
        schema: &Value,
        pointer: &str,
    ) -> Option<Value> {
        let min = schema.get("minimum").and_then(Value::as_u64).unwrap_or(0);
        let max = schema
            .get("maximum")
            .and_then(Value::as_u64)
            .unwrap_or_else(|| format_maximum(schema));
        match text.parse::<i128>() {
            Ok(number) if (i128::from(min)..=i128::from(max)).contains(&number) => {
                u64::try_from(number).ok().map(Value::from)
            }
            Ok(number) => {
                let message = format!("{number} is not between {min} and {max}");
                self.report(Code::OutOfRange, message, ast, pointer);
                None
            }
            Err(_) => {
                let message = format!("a whole number is needed here, not {text}");
                self.report(Code::WrongType, message, ast, pointer);
                None
            }
        }
    }

    fn check_array(
        &mut self,
        array: &Array<'_>,
        schema: &'a Value,
        pointer: &str,
    ) -> Option<Value> {
        let items = schema.get("items")?;
        let mut valid = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            valid.extend(self.check_value(element, items, &format!("{pointer}/{index}")));
        }
        Some(Value::Array(valid))
    }

    fn check_object(
        &mut self,
        object: &Object<'_>,
        schema: &'a Value,
        pointer: &str,
    ) -> Option<Value> {
        let properties = schema.get("properties").and_then(Value::as_object);
        let entries = schema
            .get("additionalProperties")
            .filter(|entries| entries.is_object());
        let mut valid = Map::new();
        let mut seen = BTreeSet::new();
        let mut misspelled = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let child_pointer = format!("{pointer}/{}", escape(name));
            if !seen.insert(name.to_owned()) {
                let message = format!("`{name}` appears twice");
                self.report(Code::DuplicateKey, message, &property.name, &child_pointer);
                continue;
            }
            let declared = properties.and_then(|properties| properties.get(name));
            match declared.or(entries) {
                Some(schema) => {
                    if let Some(value) = self.check_value(&property.value, schema, &child_pointer) {
                        valid.insert(name.to_owned(), value);
                    }
                }
                None => {
                    let message = format!("there is no key `{name}` here");
                    self.report(Code::UnknownKey, message, &property.name, &child_pointer);
                    let known: Vec<&str> = properties
                        .into_iter()
                        .flatten()
                        .map(|(key, _)| key.as_str())
                        .collect();
                    misspelled.extend(hint::nearest(name, known.clone()).map(str::to_owned));
                    self.add_help(hint::suggest(name, known));
                }
            }
        }
        seen.append(&mut misspelled);
        self.finish_object(object, schema, &seen, valid, pointer)
    }

    /// Reports required keys that are absent and not just misspelled, and returns the object if
    /// every required key has a value or can be replaced by an empty one.
    fn finish_object(
        &mut self,
        object: &Object<'_>,
        schema: &'a Value,
        seen: &BTreeSet<String>,
        mut valid: Map<String, Value>,
        pointer: &str,
    ) -> Option<Value> {
        let mut complete = true;
        let required = schema.get("required").and_then(Value::as_array);
        for name in required.into_iter().flatten().filter_map(Value::as_str) {
            if !seen.contains(name) {
                let message = format!("the key `{name}` is missing");
                let child_pointer = format!("{pointer}/{}", escape(name));
                self.report(Code::MissingKey, message, &object.range, &child_pointer);
            }
            if valid.contains_key(name) {
                continue;
            }
            let empty = schema
                .get("properties")
                .and_then(|properties| properties.get(name))
                .and_then(|property| empty_value(self.resolve(property)));
            match empty {
                Some(empty) => {
                    valid.insert(name.to_owned(), empty);
                }
                None => complete = false,
            }
        }
        complete.then_some(Value::Object(valid))
    }
}

/// Returns the empty list or map that replaces an invalid or absent one, if the schema describes
/// a list or a map of names.
fn empty_value(schema: &Value) -> Option<Value> {
    match types(schema).first() {
        Some(&"array") => Some(Value::Array(Vec::new())),
        Some(&"object") if schema.get("properties").is_none() => Some(Value::Object(Map::new())),
        _ => None,
    }
}

/// Returns the names in the `type` of a schema.
fn types(schema: &Value) -> Vec<&str> {
    match schema.get("type") {
        Some(Value::String(one)) => vec![one],
        Some(Value::Array(several)) => several.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

/// Returns the maximum of the integer type that a schema names as its format.
fn format_maximum(schema: &Value) -> u64 {
    match schema.get("format").and_then(Value::as_str) {
        Some("uint8") => u8::MAX.into(),
        Some("uint16") => u16::MAX.into(),
        Some("uint32") => u32::MAX.into(),
        _ => u64::MAX,
    }
}

fn expected_kind(types: &[&str]) -> &'static str {
    match types.first() {
        Some(&"object") => "an object",
        Some(&"array") => "a list",
        Some(&"string") => "a text in quotes",
        Some(&"integer") => "a whole number",
        Some(&"boolean") => "true or false",
        _ => "another value",
    }
}

const fn actual_kind(ast: &Ast<'_>) -> &'static str {
    match ast {
        Ast::Object(_) => "an object",
        Ast::Array(_) => "a list",
        Ast::StringLit(_) => "a text",
        Ast::NumberLit(_) => "a number",
        Ast::BooleanLit(_) => "true or false",
        Ast::NullKeyword(_) => "null",
    }
}
