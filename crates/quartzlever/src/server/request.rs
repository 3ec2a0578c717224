//! The head of a request: its line and its headers.
//!
//! Owns how a head is parsed. Never reads from a socket.

use super::routing::Route;

/// The most that a head may have, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;

/// Not a request, or not one that is understood here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed request")]
pub struct Malformed;

/// The head of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub route: Route,
    /// The connection is closed after the answer.
    pub close: bool,
    pub content_length: usize,
    /// The body is sent only once it was asked for.
    pub expects_continue: bool,
    /// The length of the head itself.
    pub head_bytes: usize,
}

/// The head at the beginning of what was received; none if it is not there in full yet.
pub fn parse_head(received: &[u8]) -> Result<Option<RequestHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(received).map_err(|_| Malformed)? {
        httparse::Status::Complete(head_bytes) => {
            let mut head = RequestHead {
                route: Route::of(parsed.method.unwrap_or(""), parsed.path.unwrap_or("")),
                close: parsed.version == Some(0),
                content_length: 0,
                expects_continue: false,
                head_bytes,
            };
            parsed.headers.iter().try_for_each(|header| head.take_header(header))?;
            Ok(Some(head))
        }
        httparse::Status::Partial if received.len() > MAX_HEAD_BYTES => Err(Malformed),
        httparse::Status::Partial => Ok(None),
    }
}

impl RequestHead {
    fn take_header(&mut self, header: &httparse::Header) -> Result<(), Malformed> {
        let value = || std::str::from_utf8(header.value).unwrap_or("").trim();
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            self.content_length = value().parse().map_err(|_| Malformed)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // Nobody sends bodies in chunks here; their end would be missed.
            return Err(Malformed);
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
