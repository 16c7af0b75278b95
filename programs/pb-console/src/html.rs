//! HTML markup in which every inserted value is escaped.

use std::fmt::Display;

/// Length in bytes of escaped markup at which a value is cut off.
const MAX_TEXT_BYTES: usize = 200;

/// Markup of a page or of a part of one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Html(String);

impl Html {
    /// Creates empty markup.
    #[must_use]
    pub const fn new() -> Self {
        Self(String::new())
    }

    /// Returns the markup.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Adds constant markup without escaping it.
    #[must_use]
    pub fn raw(mut self, markup: &'static str) -> Self {
        self.0.push_str(markup);
        self
    }

    /// Adds a value, escaped and cut off if it is long, for text and quoted attributes.
    #[must_use]
    pub fn text<T: Display>(mut self, value: T) -> Self {
        self.0.push_str(&clipped(&value.to_string()));
        self
    }

    /// Adds a value, escaped and not cut off, for attributes that must be complete.
    #[must_use]
    pub fn unclipped<T: Display>(mut self, value: T) -> Self {
        self.0.push_str(&escape(&value.to_string()));
        self
    }

    /// Adds a value, encoded for the query of a link.
    #[must_use]
    pub fn query<T: Display>(mut self, value: T) -> Self {
        let value = value.to_string();
        let encoded = form_urlencoded::byte_serialize(value.as_bytes());
        self.0.extend(encoded);
        self
    }

    /// Adds other markup.
    #[must_use]
    pub fn piece(mut self, other: &Self) -> Self {
        self.0.push_str(&other.0);
        self
    }

    /// Adds the markup of each item.
    #[must_use]
    pub fn each<I, F>(self, items: I, piece: F) -> Self
    where
        I: IntoIterator,
        F: Fn(Self, I::Item) -> Self,
    {
        items.into_iter().fold(self, piece)
    }
}

/// Returns `text` escaped for markup and for quoted attributes.
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
