//! Sets of task numbers, kept and written as whole ranges.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;

use rangemap::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A set of task numbers. Its text form is `0-4,7,9-20` (both ends included), which keeps
/// the record of a job of 100,000 tasks small as long as tasks are handed out in order.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Ranges(RangeSet<u32>);

impl Ranges {
    /// The set of `0..count`.
    pub fn first(count: u32) -> Self {
        Self::of(0..count)
    }

    /// The set of one range.
    pub fn of(range: Range<u32>) -> Self {
        let mut set = RangeSet::new();
        if range.start < range.end {
            set.insert(range);
        }
        Self(set)
    }

    /// Whether the set holds no task.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many tasks the set holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.end - r.start).sum()
    }

    /// Whether the set holds this task.
    pub fn contains(&self, index: u32) -> bool {
        self.0.contains(&index)
    }

    /// Adds one task.
    pub fn insert(&mut self, index: u32) {
        self.0.insert(index..index + 1);
    }

    /// Takes one task out.
    pub fn remove(&mut self, index: u32) {
        self.0.remove(index..index + 1);
    }

    /// Adds all tasks of another set.
    pub fn add(&mut self, other: &Ranges) {
        for range in other.0.iter() {
            self.0.insert(range.clone());
        }
    }

    /// Takes all tasks of another set out.
    pub fn subtract(&mut self, other: &Ranges) {
        for range in other.0.iter() {
            self.0.remove(range.clone());
        }
    }

    /// The tasks of either set.
    pub fn union(&self, other: &Ranges) -> Ranges {
        let mut out = self.clone();
        out.add(other);
        out
    }

    /// The tasks of this set that are not in the other.
    pub fn minus(&self, other: &Ranges) -> Ranges {
        let mut out = self.clone();
        out.subtract(other);
        out
    }

    /// The tasks that both sets hold.
    pub fn intersect(&self, other: &Ranges) -> Ranges {
        self.minus(&self.minus(other))
    }

    /// The numbers of the set that lie within a range.
    pub fn within(&self, range: Range<u32>) -> Ranges {
        let mut out = RangeSet::new();
        for found in self.0.overlapping(&range) {
            out.insert(found.start.max(range.start)..found.end.min(range.end));
        }
        Ranges(out)
    }

    /// How many separate ranges the set has.
    pub fn count_ranges(&self) -> usize {
        self.0.len()
    }

    /// The lowest task number of the set.
    pub fn lowest(&self) -> Option<u32> {
        self.0.first().map(|r| r.start)
    }

    /// The last number of the set plus one, or 0.
    pub fn end(&self) -> u32 {
        self.0.last().map_or(0, |r| r.end)
    }

    /// The ranges themselves, in order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.0.iter().cloned()
    }

    /// The task numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.clone())
    }

    /// Cuts the `count` highest numbers off the set, as whole ranges.
    pub fn cut_last(&mut self, count: u32) -> Ranges {
        let mut cut = Ranges::default();
        let mut left = count;
        while left > 0 {
            let Some(last) = self.0.last().cloned() else { break };
            let take = left.min(last.end - last.start);
            let piece = last.end - take..last.end;
            self.0.remove(piece.clone());
            cut.0.insert(piece);
            left -= take;
        }
        cut
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(iter: I) -> Self {
        let mut out = Ranges::default();
        for index in iter {
            out.insert(index);
        }
        out
    }
}

impl fmt::Display for Ranges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, r) in self.0.iter().enumerate() {
            if n > 0 {
                f.write_str(",")?;
            }
            if r.end - r.start == 1 {
                write!(f, "{}", r.start)?;
            } else {
                write!(f, "{}-{}", r.start, r.end - 1)?;
            }
        }
        Ok(())
    }
}

impl fmt::Debug for Ranges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{self}]")
    }
}

/// A text that is not a list of ranges; it is quoted in the message.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not a list of ranges: {0:?}")]
pub struct BadRanges(String);

impl FromStr for Ranges {
    type Err = BadRanges;

    fn from_str(text: &str) -> Result<Self, BadRanges> {
        let bad = || BadRanges(text.to_owned());
        let mut out = Ranges::default();
        for piece in text.split(',').filter(|p| !p.is_empty()) {
            let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
            let from: u32 = from.parse().map_err(|_| bad())?;
            let to: u32 = to.parse().map_err(|_| bad())?;
            if from > to || to == u32::MAX {
                return Err(bad());
            }
            out.0.insert(from..to + 1);
        }
        Ok(out)
    }
}

impl Serialize for Ranges {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?.parse().map_err(de::Error::custom)
    }
}
