//! Tests of the format of log lines.

use super::*;

struct Pairs<'a>(&'a [(&'a str, &'a str)]);

impl Display for Pairs<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let pairs =
            self.0.iter().fold(Fields::new(f), |fields, (key, value)| fields.field(key, value));
        pairs.finish()
    }
}

struct List<'a>(&'a [&'a str]);

impl Display for List<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Fields::new(f).list("items", self.0).finish()
    }
}

/// One space separates pairs, no pairs give an empty line, and a value that is not one word is
/// quoted, so that a reader of the log cannot take it for several values or lines.
#[test]
fn a_value_that_is_not_one_word_is_quoted() {
    for (pairs, line) in [
        (&[][..], ""),
        (&[("partition", "one")], "partition=one"),
        (&[("partition", "one"), ("term", "5")], "partition=one term=5"),
        (&[("reason", "gives no answer")], "reason=\"gives no answer\""),
        (&[("reason", "")], "reason=\"\""),
        (&[("key", "live/a=b")], "key=\"live/a=b\""),
        (&[("key", "a\"b")], "key=\"a\\\"b\""),
        (&[("key", "a\nINFO b")], "key=\"a\\nINFO b\""),
    ] {
        assert_eq!(Pairs(pairs).to_string(), line);
    }
    assert_eq!(List(&["n-1:idle", "n-2:silent"]).to_string(), "items=n-1:idle,n-2:silent");
    assert_eq!(
        List(&["429:busy:1", "503:no answer:2"]).to_string(),
        "items=\"429:busy:1,503:no answer:2\""
    );
}
