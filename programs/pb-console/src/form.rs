//! Fields of submitted forms and of the queries of links.

use std::collections::BTreeMap;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;

/// Largest body of a form in bytes.
const MAX_BYTES: usize = 8 * 1024;

/// Time within which the body of a form must arrive.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Values of fields by name; if a name is repeated, the first value is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Form(BTreeMap<String, String>);

impl Form {
    /// Reads the fields of a link's query.
    #[must_use]
    pub fn from_query(query: Option<&str>) -> Self {
        Self::from(query.unwrap_or_default().as_bytes())
    }

    /// Reads the body of a form; returns `None` if it is too large, incomplete or late.
    pub async fn read(request: Request<Incoming>) -> Option<Self> {
        let reading = Limited::new(request.into_body(), MAX_BYTES).collect();
        let body = compio::time::timeout(TIMEOUT, reading).await;
        let body = body.ok()?.ok()?.to_bytes();
        Some(Self::from(body.as_ref()))
    }

    /// Returns the value of a field, or an empty text if the form lacks the field.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }
}

impl From<&[u8]> for Form {
    fn from(bytes: &[u8]) -> Self {
        let mut fields = BTreeMap::new();
        for (name, value) in form_urlencoded::parse(bytes) {
            fields
                .entry(name.into_owned())
                .or_insert_with(|| value.into_owned());
        }
        Self(fields)
    }
}
