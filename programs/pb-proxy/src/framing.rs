//! Framing of answers as they are passed on.
//!
//! The server of this host writes an answer anew. What an upstream states about the length of its answer is
//! replaced by what was read, as a client would wait for bytes that do not come, or take the next answer for
//! a part of this one.

use hyper::HeaderMap;
use hyper::Method;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;

/// Sets the length of an answer whose body has `length` bytes, or an unknown number.
///
/// An answer to `HEAD` has no body and states the length of another one, which stays.
pub fn set_length(headers: &mut HeaderMap, method: &Method, length: Option<u64>) {
    let stated = headers.get(CONTENT_LENGTH).and_then(value);
    headers.remove(CONTENT_LENGTH);
    let length = if method == Method::HEAD {
        stated
    } else {
        length
    };
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Returns the length that one header value states; a list of equal lengths states it as well.
fn value(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.split(',').next()?.trim().parse().ok()
}
