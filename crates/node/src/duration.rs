//! Durations as people write them: `500ms`, `2s`, `10m`, `24h`.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::str::FromStr;
use std::time::Duration;

/// A duration with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadableDuration(pub Duration);

/// A duration that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no duration; expected a whole number with ms, s, m or h, such as 500ms")]
pub struct InvalidDuration(String);

const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

impl FromStr for ReadableDuration {
    type Err = InvalidDuration;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidDuration(text.to_owned());
        let digits = text.find(|it: char| !it.is_ascii_digit()).ok_or_else(invalid)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(invalid)?;
        let milliseconds = number.checked_mul(*factor).ok_or_else(invalid)?;
        Ok(Self(Duration::from_millis(milliseconds)))
    }
}

impl<'de> Deserialize<'de> for ReadableDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl Serialize for ReadableDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{}ms", self.0.as_millis()))
    }
}
