//! JSON values that are carried but not looked into.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

/// A JSON value as its text. The store keeps such values and brings them back; most that a
/// watch brings are known by their modification revision already and are never taken apart.
#[derive(Clone, Debug)]
pub struct Json(Box<RawValue>);

impl Json {
    /// The text of a value; our own types can always be written.
    pub fn of(value: &impl Serialize) -> Json {
        let null = || RawValue::NULL.to_owned();
        Json(serde_json::value::to_raw_value(value).unwrap_or_else(|_| null()))
    }

    /// The value of a text, if it is JSON.
    pub fn from_text(text: &str) -> Option<Json> {
        RawValue::from_string(text.to_owned()).ok().map(Json)
    }

    /// What the text says, if it is of that type.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(self.text()).ok()
    }

    /// The value as JSON text, as it was received or written.
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
