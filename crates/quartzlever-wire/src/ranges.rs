//! Sets of task numbers, held and written as ranges.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;

use rangemap::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A set of task numbers. Its text form is `0-4,7,9-20`, with both ends included. The record of a
/// job of 100,000 tasks stays small as long as its tasks are assigned in order.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Ranges(RangeSet<u32>);

impl Ranges {
    /// Creates the set `0..count`.
    pub fn up_to(count: u32) -> Self {
        Self::from_range(0..count)
    }

    /// Creates the set of one range.
    pub fn from_range(range: Range<u32>) -> Self {
        let mut set = RangeSet::new();
        if range.start < range.end {
            set.insert(range);
        }
        Self(set)
    }

    /// Reports whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.end - r.start).sum()
    }

    /// Reports whether the set contains a task.
    pub fn contains(&self, index: u32) -> bool {
        self.0.contains(&index)
    }

    /// Adds a task.
    pub fn insert(&mut self, index: u32) {
        self.0.insert(index..index + 1);
    }

    /// Removes a task.
    pub fn remove(&mut self, index: u32) {
        self.0.remove(index..index + 1);
    }

    /// Adds all tasks of another set.
    pub fn insert_all(&mut self, other: &Ranges) {
        for range in other.0.iter() {
            self.0.insert(range.clone());
        }
    }

    /// Removes all tasks of another set.
    pub fn remove_all(&mut self, other: &Ranges) {
        for range in other.0.iter() {
            self.0.remove(range.clone());
        }
    }

    /// Returns the tasks that are in either set.
    pub fn union(&self, other: &Ranges) -> Ranges {
        let mut out = self.clone();
        out.insert_all(other);
        out
    }

    /// Returns the tasks of this set that are not in the other.
    pub fn difference(&self, other: &Ranges) -> Ranges {
        let mut out = self.clone();
        out.remove_all(other);
        out
    }

    /// Returns the tasks that are in both sets.
    pub fn intersection(&self, other: &Ranges) -> Ranges {
        self.difference(&self.difference(other))
    }

    /// Returns the tasks of the set that lie within a range.
    pub fn restricted_to(&self, range: Range<u32>) -> Ranges {
        let mut out = RangeSet::new();
        for found in self.0.overlapping(&range) {
            out.insert(found.start.max(range.start)..found.end.min(range.end));
        }
        Ranges(out)
    }

    /// Returns the number of separate ranges in the set.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }

    /// Returns the lowest task of the set, or `None` if it is empty.
    pub fn lowest(&self) -> Option<u32> {
        self.0.first().map(|r| r.start)
    }

    /// Returns the highest task of the set plus one, or 0 if it is empty.
    pub fn end(&self) -> u32 {
        self.0.last().map_or(0, |r| r.end)
    }

    /// Iterates over the ranges, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.0.iter().cloned()
    }

    /// Iterates over the tasks, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.clone())
    }

    /// Removes the `count` highest tasks from the set, or all if it has fewer, and returns them.
    pub fn split_off_last(&mut self, count: u32) -> Ranges {
        let mut cut = Ranges::default();
        let mut remaining = count;
        while remaining > 0 {
            let Some(last) = self.0.last().cloned() else { break };
            let take = remaining.min(last.end - last.start);
            let piece = last.end - take..last.end;
            self.0.remove(piece.clone());
            cut.0.insert(piece);
            remaining -= take;
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
        for (i, r) in self.0.iter().enumerate() {
            if i > 0 {
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

/// The error for a text that is not a list of ranges; the message quotes the text.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not a list of ranges: {0:?}")]
pub struct ParseRangesError(String);

impl FromStr for Ranges {
    type Err = ParseRangesError;

    fn from_str(text: &str) -> Result<Self, ParseRangesError> {
        let invalid = || ParseRangesError(text.to_owned());
        let mut out = Ranges::default();
        for piece in text.split(',').filter(|p| !p.is_empty()) {
            let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
            let from: u32 = from.parse().map_err(|_| invalid())?;
            let to: u32 = to.parse().map_err(|_| invalid())?;
            if from > to || to == u32::MAX {
                return Err(invalid());
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
