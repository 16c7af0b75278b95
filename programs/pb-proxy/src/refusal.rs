//! HTTP responses to requests that were refused or failed.

use hyper::Response;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::error::Ran;
use serde_json::json;

/// Header that says whether the request ran on an upstream.
pub const RAN_HEADER: &str = "x-persimmonbend-ran";

/// Header that carries the ID of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Returns the response for a kind of error, as defined in [`persimmonbend_core::error`].
#[must_use]
pub fn response(kind: Kind, request_id: &str) -> Response<Body> {
    let answer = kind.answer();
    let body = json!({
        "error": answer.code,
        "text": answer.text,
        "ran": answer.ran,
        "request": request_id,
    });
    let mut response = http::json(answer.status, &body);
    let headers = response.headers_mut();
    let ran = match answer.ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    };
    headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
    if let Some(retry_after) = answer.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after.as_secs().max(1)));
    }
    response
}
