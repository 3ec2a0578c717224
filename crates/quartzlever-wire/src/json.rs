//! JSON values that are passed on unparsed.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

/// A JSON value, kept as its text. The store holds such values. Most values in the answer to a
/// watch are already known by their modification revision, so they never need to be parsed.
#[derive(Clone, Debug)]
pub struct Json(Box<RawValue>);

impl Json {
    /// Serializes a value. The types of this package always serialize; a value that does not
    /// becomes `null`.
    pub fn of(value: &impl Serialize) -> Json {
        let null = || RawValue::NULL.to_owned();
        Json(serde_json::value::to_raw_value(value).unwrap_or_else(|_| null()))
    }

    /// Wraps a text, or returns `None` if it is not valid JSON.
    pub fn from_text(text: &str) -> Option<Json> {
        RawValue::from_string(text.to_owned()).ok().map(Json)
    }

    /// Parses the text as a `T`, or returns `None` if it is not one.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(self.text()).ok()
    }

    /// Returns the JSON text as it was received or serialized.
    pub fn text(&self) -> &str {
        self.0.get()
    }
}

impl PartialEq for Json {
    fn eq(&self, other: &Json) -> bool {
        self.text() == other.text()
    }
}

impl Serialize for Json {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(s)
    }
}

impl<'de> Deserialize<'de> for Json {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        Box::<RawValue>::deserialize(d).map(Json)
    }
}
