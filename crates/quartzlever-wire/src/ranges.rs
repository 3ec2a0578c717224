//! Sets of task numbers, held and written as ranges.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;

use rangemap::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A set of task numbers. Its text form is `0-4,7,9-20`, with both ends included. The record of a
/// job of 100,000 tasks stays small as long as its tasks are assigned in order.
///
/// The set may consist of as many ranges as half of the job's tasks. Lookups and changes of a task
/// and of a range take logarithmic time, and the number of tasks is known without counting; only
/// what combines two sets, copies one or writes its text visits each range.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Ranges {
    set: RangeSet<u32>,
    /// Number of tasks in the set.
    len: u32,
}

impl Ranges {
    /// Creates the set `0..count`.
    pub fn up_to(count: u32) -> Self {
        Self::from_range(0..count)
    }

    /// Creates the set of one range.
    pub fn from_range(range: Range<u32>) -> Self {
        let mut out = Self::default();
        out.insert_range(range);
        out
    }

    /// Reports whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Reports whether the set contains a task.
    pub fn contains(&self, index: u32) -> bool {
        self.set.contains(&index)
    }

    /// Reports whether the set contains all tasks of another set. Visits the ranges of `other` up to
    /// the first that it does not contain.
    pub fn contains_all(&self, other: &Ranges) -> bool {
        let is_contained = |range: &Range<u32>| {
            self.set.get(&range.start).is_some_and(|found| found.end >= range.end)
        };
        other.set.iter().all(is_contained)
    }

    /// Adds a task.
    pub fn insert(&mut self, index: u32) {
        self.insert_range(index..index + 1);
    }

    /// Adds a range of tasks.
    fn insert_range(&mut self, range: Range<u32>) {
        if range.is_empty() {
            return;
        }
        self.len += (range.end - range.start) - self.count_in(&range);
        self.set.insert(range);
    }

    /// Adds a range of tasks, possibly empty, that are higher than all in the set.
    fn append_range(&mut self, range: Range<u32>) {
        if !range.is_empty() {
            self.len += range.end - range.start;
            self.set.insert(range);
        }
    }

    /// Removes a task.
    pub fn remove(&mut self, index: u32) {
        self.remove_range(index..index + 1);
    }

    /// Removes a range of tasks.
    fn remove_range(&mut self, range: Range<u32>) {
        if range.is_empty() {
            return;
        }
        self.len -= self.count_in(&range);
        self.set.remove(range);
    }

    /// Returns the number of tasks of the set that lie within a range.
    fn count_in(&self, range: &Range<u32>) -> u32 {
        let found = self.set.overlapping(range);
        found.map(|r| r.end.min(range.end) - r.start.max(range.start)).sum()
    }

    /// Adds all tasks of another set.
    pub fn insert_all(&mut self, other: &Ranges) {
        for range in other.ranges() {
            self.insert_range(range);
        }
    }

    /// Removes all tasks of another set.
    pub fn remove_all(&mut self, other: &Ranges) {
        if self.is_empty() {
            return;
        }
        for range in other.ranges() {
            self.remove_range(range);
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
        let mut out = Ranges::default();
        if other.is_empty() {
            return self.clone();
        }
        let mut removed = other.set.iter().peekable();
        for range in self.set.iter() {
            let mut start = range.start;
            while let Some(next) = removed.peek().filter(|next| next.start < range.end) {
                if start < next.start {
                    out.append_range(start..next.start);
                }
                start = start.max(next.end);
                if next.end > range.end {
                    break;
                }
                removed.next();
            }
            if start < range.end {
                out.append_range(start..range.end);
            }
        }
        out
    }

    /// Returns the tasks that are in both sets.
    pub fn intersection(&self, other: &Ranges) -> Ranges {
        let mut out = Ranges::default();
        let (mut left, mut right) = (self.ranges().peekable(), other.ranges().peekable());
        while let (Some(a), Some(b)) = (left.peek(), right.peek()) {
            out.append_range(a.start.max(b.start)..a.end.min(b.end));
            if a.end < b.end {
                left.next();
            } else {
                right.next();
            }
        }
        out
    }

    /// Removes the tasks that are not in the other set. Most often there are none.
    pub fn retain_all(&mut self, other: &Ranges) {
        if !other.contains_all(self) {
            *self = self.intersection(other);
        }
    }

    /// Returns the tasks of the set that lie within a range.
    pub fn restricted_to(&self, range: Range<u32>) -> Ranges {
        let mut out = Ranges::default();
        for found in self.set.overlapping(&range) {
            out.insert_range(found.start.max(range.start)..found.end.min(range.end));
        }
        out
    }

    /// Returns the number of separate ranges in the set.
    pub fn range_count(&self) -> usize {
        self.set.len()
    }

    /// Returns the lowest task of the set, or `None` if it is empty.
    pub fn lowest(&self) -> Option<u32> {
        self.set.first().map(|r| r.start)
    }

    /// Returns the highest task of the set plus one, or 0 if it is empty.
    pub fn end(&self) -> u32 {
        self.set.last().map_or(0, |r| r.end)
    }

    /// Iterates over the ranges, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.set.iter().cloned()
    }

    /// Iterates over the tasks, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.set.iter().flat_map(|r| r.clone())
    }

    /// Removes the `count` highest tasks from the set, or all if it has fewer, and returns them.
    pub fn split_off_last(&mut self, count: u32) -> Ranges {
        let mut cut = Ranges::default();
        let mut remaining = count;
        while remaining > 0 {
            let Some(last) = self.set.last().cloned() else { break };
            let take = remaining.min(last.end - last.start);
            let piece = last.end - take..last.end;
            self.remove_range(piece.clone());
            cut.insert_range(piece);
            remaining -= take;
        }
        cut
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(iter: I) -> Self {
        let mut out = Ranges::default();
        // Successive tasks are added as one range.
        let mut run = 0..0;
        for index in iter {
            if index != run.end {
                out.insert_range(run);
                run = index..index;
            }
            run.end = index + 1;
        }
        out.insert_range(run);
        out
    }
}

impl fmt::Display for Ranges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, r) in self.set.iter().enumerate() {
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
            out.insert_range(from..to + 1);
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
