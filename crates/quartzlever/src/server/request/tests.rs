//! What a head says, and what is no head.

use super::*;

fn parse(head: &str) -> Result<Option<RequestHead>, Malformed> {
    parse_head(head.as_bytes())
}

#[test]
fn a_head_says_how_the_request_goes_on() {
    for (text, close, content_length, expects_continue) in [
        ("GET /ready HTTP/1.1\r\n\r\n", false, 0, false),
        ("GET /ready HTTP/1.0\r\n\r\n", true, 0, false),
        ("GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", false, 0, false),
        ("GET /ready HTTP/1.1\r\nCONNECTION:  Close \r\n\r\n", true, 0, false),
        ("GET /ready HTTP/1.1\r\nContent-Length: 7\r\nExpect: x\r\n\r\n1234567", false, 7, true),
    ] {
        let head = parse(text).expect("a request").expect("in full");
        let head_bytes = text.find("\r\n\r\n").expect("an end") + 4;
        let route = Route::Ready;
        let expected = RequestHead { route, close, content_length, expects_continue, head_bytes };
        assert_eq!(head, expected, "{text}");
    }
}

#[test]
fn a_head_that_has_no_end_yet_is_waited_for_within_bounds() {
    assert_eq!(parse(""), Ok(None));
    let begin = "GET /ready HTTP/1.1\r\nA: ".to_owned();
    let longest = begin.clone() + &"x".repeat(MAX_HEAD_BYTES - begin.len());
    assert_eq!(parse(&longest), Ok(None));
    assert_eq!(parse(&(longest + "x")), Err(Malformed));
}

#[test]
fn what_is_not_understood_is_malformed() {
    for text in [
        "nonsense\r\n\r\n",
        "POST /hello HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /hello HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        assert_eq!(parse(text), Err(Malformed), "{text}");
    }
}
