//! Reads settings and service files, which are JSON with comments, into checked types.
//!
//! Every fault is reported with its file, line and field. A misspelt field gets a suggestion.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::ObjectPropName;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use persimmonbend_core::fault::Fault;
use persimmonbend_core::fault::Faults;
use serde::de::DeserializeOwned;

/// Similarity from 0 to 1 above which a known field is suggested for an unknown one.
const SUGGESTION_SIMILARITY: f64 = 0.75;

/// A fault with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located {
    /// Line in the file, from 1.
    pub line: usize,
    /// The field and why it is invalid.
    pub fault: Fault,
}

/// The faults of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Path of the file.
    pub file: PathBuf,
    /// Faults with their lines.
    pub faults: Vec<Located>,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        let line = |located: &Located| format!("{file}:{}: {}", located.line, located.fault);
        let lines: Vec<String> = self.faults.iter().map(line).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Error {}

/// Reads a file into the raw type `R` and checks it into `C`.
///
/// # Errors
///
/// Returns every fault that was found, with its line and field.
pub fn load<R, C>(file: &Path) -> Result<C, Error>
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = Faults>,
{
    let text = std::fs::read_to_string(file).map_err(|error| Error {
        file: file.to_owned(),
        faults: vec![located(1, "file", &format!("cannot be read: {error}"))],
    })?;
    parse(&text).map_err(|faults| Error {
        file: file.to_owned(),
        faults,
    })
}

/// Parses a text into the raw type `R` and checks it into `C`.
///
/// # Errors
///
/// Returns every fault that was found, with its line and field.
pub fn parse<R, C>(text: &str) -> Result<C, Vec<Located>>
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = Faults>,
{
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let tree =
        parsed.map_err(|error| vec![located(error.line_display(), "file", &error.to_string())])?;
    let Some(tree) = tree.value else {
        return Err(vec![located(
            1,
            "file",
            "is empty; a JSON document is expected",
        )]);
    };
    if let Some(duplicate) = duplicate_field(text, &tree, "") {
        return Err(vec![duplicate]);
    }
    let value =
        jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default());
    let value =
        value.map_err(|error| vec![located(error.line_display(), "file", &error.to_string())])?;
    let (raw, mut found) = deserialize::<R>(text, &tree, value);
    found.sort_by_key(|one| one.line);
    let Some(raw) = raw else {
        return Err(found);
    };
    let locate = |fault: &Fault| Located {
        line: line_of_field(text, &tree, &fault.field),
        fault: fault.clone(),
    };
    match C::try_from(raw) {
        Ok(checked) if found.is_empty() => Ok(checked),
        Ok(_) => Err(found),
        Err(faults) => {
            found.extend(faults.list().iter().map(locate));
            Err(found)
        }
    }
}

/// Returns the line of a field, from 1.
///
/// For a field that the text lacks, this is the line of its closest ancestor in the text.
#[must_use]
pub fn line(text: &str, field: &str) -> usize {
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let tree = parsed.ok().and_then(|parsed| parsed.value);
    tree.map_or(1, |tree| line_of_field(text, &tree, field))
}

/// Deserializes the raw type.
///
/// Each unknown field is recorded as a fault and removed, so that one run finds all of them.
fn deserialize<R: DeserializeOwned>(
    text: &str,
    tree: &Value<'_>,
    mut value: serde_json::Value,
) -> (Option<R>, Vec<Located>) {
    let mut found: Vec<Located> = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, R>(&value) {
            Ok(raw) => return (Some(raw), found),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let fault = locate_serde(text, tree, &path, &message);
        let unknown = message.starts_with(UNKNOWN_FIELD);
        let removed = unknown && remove_field(&mut value, &fault.fault.field);
        if !follows_from_misspelling(&found, &message) {
            found.push(fault);
        }
        if !removed {
            return (None, found);
        }
    }
}

/// Returns whether an error reports a missing field whose misspelt form was already found.
fn follows_from_misspelling(found: &[Located], message: &str) -> bool {
    let Some(rest) = message.strip_prefix("missing field `") else {
        return false;
    };
    let name = rest.split('`').next().unwrap_or_default();
    let hint = format!("did you mean {name}?");
    found.iter().any(|one| one.fault.reason.ends_with(&hint))
}

fn remove_field(value: &mut serde_json::Value, field: &str) -> bool {
    let steps: Vec<&str> = steps(field).collect();
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let mut node = value;
    for step in parents {
        let child = match node {
            serde_json::Value::Object(object) => object.get_mut(*step),
            serde_json::Value::Array(array) => {
                let index = step.parse::<usize>().ok();
                index.and_then(|index| array.get_mut(index))
            }
            _ => None,
        };
        let Some(child) = child else { return false };
        node = child;
    }
    let removed = node.as_object_mut().and_then(|object| object.remove(*last));
    removed.is_some()
}

/// Splits the path of a field, as in `routes[2].prefix`, into names and indexes.
fn steps(field: &str) -> impl Iterator<Item = &str> {
    let steps = field.split(['.', '[', ']']);
    steps.filter(|step| !step.is_empty())
}

/// Start of serde's message about an unknown field.
const UNKNOWN_FIELD: &str = "unknown field `";

fn locate_serde(text: &str, tree: &Value<'_>, path: &str, message: &str) -> Located {
    let parent = if path == "." { "" } else { path };
    let Some(rest) = message.strip_prefix(UNKNOWN_FIELD) else {
        let field = if parent.is_empty() { "file" } else { parent };
        return located(line_of_field(text, tree, parent), field, message);
    };
    let name = rest.split('`').next().unwrap_or_default();
    let field = match parent {
        "" => name.to_owned(),
        _ if parent.ends_with(name) => parent.to_owned(),
        _ => format!("{parent}.{name}"),
    };
    let line = line_of_field(text, tree, &field);
    located(line, &field, &unknown_field(name, rest))
}

fn unknown_field(name: &str, message: &str) -> String {
    let known = message.split('`').skip(2).step_by(2);
    let similarity = |candidate: &str| strsim::jaro_winkler(name, candidate);
    let best = known.max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    match best {
        Some(best) if similarity(best) >= SUGGESTION_SIMILARITY => {
            format!("unknown field; did you mean {best}?")
        }
        _ => "unknown field".to_owned(),
    }
}

fn duplicate_field(text: &str, value: &Value<'_>, path: &str) -> Option<Located> {
    match value {
        Value::Object(object) => {
            let mut seen: Vec<&str> = Vec::new();
            for property in &object.properties {
                let name = property_name(&property.name);
                let field = join(path, name);
                if seen.contains(&name) {
                    let line = line_at(text, property.start());
                    return Some(located(line, &field, "the field appears twice"));
                }
                seen.push(name);
                if let Some(found) = duplicate_field(text, &property.value, &field) {
                    return Some(found);
                }
            }
            None
        }
        Value::Array(array) => {
            let mut elements = array.elements.iter().enumerate();
            elements
                .find_map(|(at, element)| duplicate_field(text, element, &format!("{path}[{at}]")))
        }
        _ => None,
    }
}

fn line_of_field(text: &str, tree: &Value<'_>, field: &str) -> usize {
    let mut node = tree;
    let mut start = tree.start();
    for step in steps(field) {
        match node {
            Value::Object(object) => {
                let found = object
                    .properties
                    .iter()
                    .find(|one| property_name(&one.name) == step);
                let Some(property) = found else { break };
                start = property.start();
                node = &property.value;
            }
            Value::Array(array) => {
                let index = step.parse::<usize>().ok();
                let Some(element) = index.and_then(|index| array.elements.get(index)) else {
                    break;
                };
                start = element.start();
                node = element;
            }
            _ => break,
        }
    }
    line_at(text, start)
}

fn property_name<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    match name {
        ObjectPropName::String(text) => &text.value,
        ObjectPropName::Word(word) => word.value,
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

fn located(line: usize, field: &str, reason: &str) -> Located {
    Located {
        line,
        fault: Fault {
            field: field.to_owned(),
            reason: reason.to_owned(),
        },
    }
}
