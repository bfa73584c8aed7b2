//! Refusals as problem details (RFC 9457).

use {
    http::{HeaderValue, StatusCode, header},
    salvo::{Response, http::ResBody},
    serde::Serialize,
    toucanhoist_core::{
        id,
        refusal::{Code, Refusal},
    },
};

use super::headers::{REQUEST_ID, VERDICT};

const MEDIA_TYPE: &str = "application/problem+json";

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    code: &'static str,
    verdict: &'static str,
    detail: &'a str,
    request_id: id::Request,
}

impl Problem<'_> {
    fn new(id: id::Request, refusal: &Refusal) -> Problem<'_> {
        Problem {
            r#type: format!("urn:toucanhoist:problem:{}", refusal.code),
            title: refusal.code.title(),
            status: refusal.code.status(),
            code: refusal.code.as_str(),
            verdict: refusal.verdict.as_str(),
            detail: &refusal.detail,
            request_id: id,
        }
    }

    fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Writes a refusal to a response.
pub(super) fn write(response: &mut Response, id: id::Request, refusal: &Refusal) {
    response.status_code(status(refusal.code));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    if refusal.code == Code::KeyRefused {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(after) = refusal.retry_after {
        // `Retry-After` has whole seconds; rounding up keeps callers from retrying too early.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    response.body(ResBody::Once(Problem::new(id, refusal).to_json().into()));
}

/// Serialises a refusal as a complete HTTP/1.1 response, after which the connection closes.
pub(in crate::host) fn to_bytes(id: id::Request, refusal: &Refusal) -> Vec<u8> {
    let content = Problem::new(id, refusal).to_json();
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: {MEDIA_TYPE}\r\ncontent-length: {}\r\n\
         {VERDICT}: {}\r\n{REQUEST_ID}: {id}\r\nconnection: close\r\n\r\n",
        status(refusal.code),
        content.len(),
        refusal.verdict,
    );
    [head.as_bytes(), &content].concat()
}
