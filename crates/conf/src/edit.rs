//! Edits values in a text while preserving its comments and layout.

use derive_more::Display;
use derive_more::Error;
use jsonc_parser::cst::CstInputValue;
use jsonc_parser::cst::CstNode;
use jsonc_parser::cst::CstObject;
use jsonc_parser::cst::CstRootNode;
use serde_json::Value;

use crate::tree::DIALECT;
use crate::tree::parse as parse_tree;
use crate::tree::unescape;

/// The reason why a text could not be edited.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EditError {
    /// The text is not JSON with comments.
    #[display("the text cannot be read: {_0}")]
    Syntax(#[error(not(source))] String),
    /// The JSON pointer is malformed, or leads through a value that is not an object.
    #[display("there is no place {_0} in the text")]
    NoPlace(#[error(not(source))] String),
}

/// Returns the text with the value at a JSON pointer set. Absent parent objects are created.
///
/// # Errors
///
/// Returns an error if the text is not JSON with comments, or if the pointer is malformed or leads
/// through a value that is not an object.
pub fn set(text: &str, pointer: &str, value: &Value) -> Result<String, EditError> {
    let root = parse(text)?;
    let no_place = || EditError::NoPlace(pointer.to_owned());
    let (parents, name) = split_pointer(pointer).ok_or_else(no_place)?;
    let mut object = root.object_value_or_create().ok_or_else(no_place)?;
    for parent in parents {
        object = object
            .object_value_or_create(&parent)
            .ok_or_else(no_place)?;
    }
    match object.get(&name) {
        Some(property) => property.set_value(to_cst_value(value)),
        None => {
            object.append(&name, to_cst_value(value));
        }
    }
    Ok(root.to_string())
}

/// Returns the text without the key at a JSON pointer. An absent key is not an error.
///
/// # Errors
///
/// Returns an error if the text is not JSON with comments or the pointer is malformed.
pub fn remove(text: &str, pointer: &str) -> Result<String, EditError> {
    let root = parse(text)?;
    let no_place = || EditError::NoPlace(pointer.to_owned());
    let (parents, name) = split_pointer(pointer).ok_or_else(no_place)?;
    if let Some(property) = find_object(&root, &parents).and_then(|object| object.get(&name)) {
        property.remove();
    }
    Ok(root.to_string())
}

/// Parses a text to plain values, for display in forms. Of a duplicate key the last value wins.
///
/// # Errors
///
/// Returns an error if the text is not JSON with comments.
pub fn read(text: &str) -> Result<Value, EditError> {
    // The parser of the tree limits the nesting depth; the conversion below does not.
    parse_tree(text).map_err(|finding| EditError::Syntax(finding.message))?;
    let value = jsonc_parser::parse_to_serde_value(text, &DIALECT);
    value.map_err(|error| EditError::Syntax(error.to_string()))
}

fn parse(text: &str) -> Result<CstRootNode, EditError> {
    CstRootNode::parse(text, &DIALECT).map_err(|error| EditError::Syntax(error.to_string()))
}

/// Splits a JSON pointer into the unescaped names of the parents and the last name.
fn split_pointer(pointer: &str) -> Option<(Vec<String>, String)> {
    let mut segments: Vec<String> = pointer
        .strip_prefix('/')?
        .split('/')
        .map(unescape)
        .collect();
    let name = segments.pop()?;
    Some((segments, name))
}

/// Returns the object at a path of names, if there is one.
fn find_object(root: &CstRootNode, parents: &[String]) -> Option<CstObject> {
    let mut node: CstNode = root.value()?;
    for parent in parents {
        node = node.as_object()?.get(parent)?.value()?;
    }
    node.as_object()
}

fn to_cst_value(value: &Value) -> CstInputValue {
    match value {
        Value::Null => CstInputValue::Null,
        Value::Bool(boolean) => CstInputValue::Bool(*boolean),
        Value::Number(number) => CstInputValue::Number(number.to_string()),
        Value::String(text) => CstInputValue::String(text.clone()),
        Value::Array(elements) => CstInputValue::Array(elements.iter().map(to_cst_value).collect()),
        Value::Object(entries) => CstInputValue::Object(
            entries
                .iter()
                .map(|(key, value)| (key.clone(), to_cst_value(value)))
                .collect(),
        ),
    }
}
