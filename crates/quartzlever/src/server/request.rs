//! Parses the head of a request: the request line and the headers.

use super::routing::Route;

/// Size in bytes above which an incomplete head is rejected.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;

/// The input is not an HTTP request, or uses a feature that is not supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed request")]
pub struct MalformedRequest;

/// The head of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub route: Route,
    /// The connection is closed after the answer.
    pub close: bool,
    pub content_length: usize,
    /// The client sends the body only after a `100 Continue`.
    pub expects_continue: bool,
    /// The length of the head.
    pub head_bytes: usize,
}

/// Parses the head at the beginning of the received bytes. Returns `None` if it is incomplete.
pub fn parse_head(received: &[u8]) -> Result<Option<RequestHead>, MalformedRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(received).map_err(|_| MalformedRequest)? {
        httparse::Status::Complete(head_bytes) => {
            let mut head = RequestHead {
                route: Route::parse(parsed.method.unwrap_or(""), parsed.path.unwrap_or("")),
                close: parsed.version == Some(0),
                content_length: 0,
                expects_continue: false,
                head_bytes,
            };
            parsed.headers.iter().try_for_each(|header| head.apply_header(header))?;
            Ok(Some(head))
        }
        httparse::Status::Partial if received.len() > MAX_HEAD_BYTES => Err(MalformedRequest),
        httparse::Status::Partial => Ok(None),
    }
}

impl RequestHead {
    fn apply_header(&mut self, header: &httparse::Header) -> Result<(), MalformedRequest> {
        let value = || std::str::from_utf8(header.value).unwrap_or("").trim();
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            self.content_length = value().parse().map_err(|_| MalformedRequest)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // Chunked bodies are not supported: without a length their end would not be found.
            return Err(MalformedRequest);
        } else if name.eq_ignore_ascii_case("connection") {
            self.close = value().eq_ignore_ascii_case("close");
        } else if name.eq_ignore_ascii_case("expect") {
            self.expects_continue = true;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
