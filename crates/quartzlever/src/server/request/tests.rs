//! Tests the parsing of request heads.

use super::*;

fn parse(head: &str) -> Result<Option<RequestHead>, MalformedRequest> {
    parse_head(head.as_bytes())
}

#[test]
fn a_head_gives_the_route_the_body_length_and_the_connection_options() {
    for (text, close, content_length, expects_continue) in [
        ("GET /ready HTTP/1.1\r\n\r\n", false, 0, false),
        ("GET /ready HTTP/1.0\r\n\r\n", true, 0, false),
        ("GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", false, 0, false),
        ("GET /ready HTTP/1.1\r\nCONNECTION:  Close \r\n\r\n", true, 0, false),
        ("GET /ready HTTP/1.1\r\nContent-Length: 7\r\nExpect: x\r\n\r\n1234567", false, 7, true),
    ] {
        let head = parse(text).expect("a valid request").expect("a complete head");
        let head_bytes = text.find("\r\n\r\n").expect("an empty line") + 4;
        let route = Route::Ready;
        let expected = RequestHead { route, close, content_length, expects_continue, head_bytes };
        assert_eq!(head, expected, "{text}");
    }
}

#[test]
fn an_incomplete_head_is_awaited_up_to_the_size_limit() {
    assert_eq!(parse(""), Ok(None));
    let begin = "GET /ready HTTP/1.1\r\nA: ".to_owned();
    let longest = begin.clone() + &"x".repeat(MAX_HEAD_BYTES - begin.len());
    assert_eq!(parse(&longest), Ok(None));
    assert_eq!(parse(&(longest + "x")), Err(MalformedRequest));
}

#[test]
fn invalid_and_unsupported_requests_are_malformed() {
    for text in [
        "nonsense\r\n\r\n",
        "POST /hello HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /hello HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        assert_eq!(parse(text), Err(MalformedRequest), "{text}");
    }
}
