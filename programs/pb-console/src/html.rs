//! Pages as text in which everything from outside is escaped.

use std::fmt::Display;

/// Longest text of one value on a page, in bytes of markup.
const MAX_TEXT_BYTES: usize = 200;

/// A piece of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Html(String);

impl Html {
    /// Creates an empty piece.
    #[must_use]
    pub const fn new() -> Self {
        Self(String::new())
    }

    /// Returns the markup.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Adds markup of the program itself.
    #[must_use]
    pub fn raw(mut self, markup: &'static str) -> Self {
        self.0.push_str(markup);
        self
    }

    /// Adds a value, clipped and escaped for text and quoted attributes.
    #[must_use]
    pub fn text<T: Display>(mut self, value: T) -> Self {
        self.0.push_str(&clipped(&value.to_string()));
        self
    }

    /// Adds a value, escaped and not clipped, for attributes that must stay whole.
    #[must_use]
    pub fn unclipped<T: Display>(mut self, value: T) -> Self {
        self.0.push_str(&escape(&value.to_string()));
        self
    }

    /// Adds a value as part of a link's query.
    #[must_use]
    pub fn query<T: Display>(mut self, value: T) -> Self {
        let value = value.to_string();
        let encoded = form_urlencoded::byte_serialize(value.as_bytes());
        self.0.extend(encoded);
        self
    }

    /// Adds another piece.
    #[must_use]
    pub fn piece(mut self, other: &Self) -> Self {
        self.0.push_str(&other.0);
        self
    }

    /// Adds a piece for each item.
    #[must_use]
    pub fn each<I, F>(self, items: I, piece: F) -> Self
    where
        I: IntoIterator,
        F: Fn(Self, I::Item) -> Self,
    {
        items.into_iter().fold(self, piece)
    }
}

/// Returns text that is safe in markup and in quoted attributes.
#[must_use]
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        push(&mut escaped, character);
    }
    escaped
}

fn clipped(text: &str) -> String {
    let mut escaped = String::new();
    for character in text.chars() {
        if escaped.len() >= MAX_TEXT_BYTES {
            escaped.push('…');
            break;
        }
        push(&mut escaped, character);
    }
    escaped
}

fn push(escaped: &mut String, character: char) {
    match character {
        '&' => escaped.push_str("&amp;"),
        '<' => escaped.push_str("&lt;"),
        '>' => escaped.push_str("&gt;"),
        '"' => escaped.push_str("&quot;"),
        '\'' => escaped.push_str("&#39;"),
        other => escaped.push(other),
    }
}
