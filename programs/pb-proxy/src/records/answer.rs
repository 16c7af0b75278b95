//! Conversion of answers to and from the form that control stores.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::record::Answer;
use persimmonbend_core::record::Header;
use persimmonbend_core::record::MAX_ANSWER_BYTES;
use persimmonbend_core::record::Outcome;

/// Header that marks an answer as replayed from an earlier execution.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-persimmonbend-replayed");

/// Returns the outcome to record and the answer to pass on to the client.
///
/// An answer that is longer than [`MAX_ANSWER_BYTES`], of unknown length or broken off is not
/// stored; its outcome is [`Outcome::Ran`].
pub async fn capture(response: Response<Body>) -> (Outcome, Response<Body>) {
    let (head, body) = response.into_parts();
    let size = body.size_hint().exact();
    if size.is_none_or(|size| size > MAX_ANSWER_BYTES as u64) {
        return (Outcome::Ran, Response::from_parts(head, body));
    }
    match body.collect().await {
        Ok(body) => {
            let body = body.to_bytes();
            let answer = to_stored(&head, &body);
            let response = Response::from_parts(head, http::full(body));
            (Outcome::Answered { answer }, response)
        }
        Err(error) => {
            let failed = futures_util::stream::iter([Err(error)]);
            let body: Body = Box::pin(http_body_util::StreamBody::new(failed));
            (Outcome::Ran, Response::from_parts(head, body))
        }
    }
}

/// Returns a stored answer as a response that is marked as replayed.
///
/// # Errors
///
/// Returns [`Kind::AnswerGone`] when the stored answer is not a valid HTTP response.
pub fn replay(answer: Answer) -> Result<Response<Body>, Kind> {
    let mut response = Response::new(http::full(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| Kind::AnswerGone)?;
    for header in answer.headers {
        let name = HeaderName::try_from(header.name).map_err(|_| Kind::AnswerGone)?;
        let value = HeaderValue::try_from(header.value).map_err(|_| Kind::AnswerGone)?;
        response.headers_mut().append(name, value);
    }
    response
        .headers_mut()
        .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    Ok(response)
}

fn to_stored(head: &Parts, body: &Bytes) -> Answer {
    let headers = head.headers.iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    Answer {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body: body.to_vec(),
    }
}
