//! Parsed answers to the lab's requests.

use std::time::Duration;

use cyper::Response;
use serde_json::Value;

use crate::report::Ending;

/// The answer to a request as its client understands it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// How the request ended.
    pub ending: Ending,
    /// Error code of a refusal.
    pub refusal: Option<String>,
    /// Time from the arrival of the request at the upstream to its answer, as the upstream reports.
    pub upstream: Option<Duration>,
}

impl Answer {
    /// Reads the answer to the request with the ID `request_id`.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer does not arrive completely.
    pub async fn read(request_id: &str, response: Response) -> Result<Self, cyper::Error> {
        let status = response.status();
        let header = |name: &str| {
            let value = response.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let ran = header("x-persimmonbend-ran");
        let took = header("x-lab-took-us").and_then(|text| text.parse().ok());
        let body = response.bytes().await?;
        let document: Value = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Self {
            ending: Ending::of(request_id, status, ran.as_deref(), &document),
            refusal: document["error"].as_str().map(str::to_owned),
            upstream: took.map(Duration::from_micros),
        })
    }
}
