//! Fields of forms and of links.

use std::collections::BTreeMap;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;

/// Largest form in bytes.
const MAX_BYTES: usize = 8 * 1024;

/// Time for a form to arrive.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Fields by name; the first of a name counts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Form(BTreeMap<String, String>);

impl Form {
    /// Reads the fields of a link's query.
    #[must_use]
    pub fn from_query(query: Option<&str>) -> Self {
        Self::from(query.unwrap_or_default().as_bytes())
    }

    /// Reads the body of a form; returns nothing for one that is too large or not whole.
    pub async fn read(request: Request<Incoming>) -> Option<Self> {
        let reading = Limited::new(request.into_body(), MAX_BYTES).collect();
        let body = compio::time::timeout(TIMEOUT, reading).await;
        let body = body.ok()?.ok()?.to_bytes();
        Some(Self::from(body.as_ref()))
    }

    /// Returns a field, empty when it did not come.
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
