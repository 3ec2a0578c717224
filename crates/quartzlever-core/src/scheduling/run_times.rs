//! Run-time estimates: what classes of jobs really take, against their owners' estimates.

use std::collections::HashMap;

use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, micros_from_secs};

/// The pace of a task that takes what its owner estimated; paces are in thousandths of that.
const AS_ESTIMATED: f64 = 1000.0;
/// The least weight of a new pace in the mean of its class.
const LEAST_WEIGHT: f64 = 0.05;
/// One pace counts as this many times the mean at the most, and the mean as this many times the pace.
const MAX_DEVIATION: f64 = 4.0;

/// What tasks of a class took.
#[derive(Debug)]
struct ClassPace {
    samples: u32,
    mean: f64,
}

/// What classes of jobs really take, against their owners' estimates.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: HashMap<String, ClassPace>,
}

impl RunTimes {
    /// Takes in the pace of a task that has ended.
    pub fn learn(&mut self, class: &str, pace: u32) {
        let known = self
            .classes
            .entry(class.to_owned())
            .or_insert(ClassPace { samples: 0, mean: AS_ESTIMATED });
        known.samples += 1;
        let weight = (1.0 / f64::from(known.samples + 2)).max(LEAST_WEIGHT);
        // One crawling machine must not teach that all are slow.
        let pace = f64::from(pace).clamp(known.mean / MAX_DEVIATION, known.mean * MAX_DEVIATION);
        known.mean += weight * (pace - known.mean);
    }

    /// A pace against the usual one of its class, in thousandths.
    pub fn relative(&self, class: &str, pace: u32) -> u32 {
        let usual = self.usual(class).max(1.0);
        (f64::from(pace) / usual * AS_ESTIMATED) as u32
    }

    /// How long a task of the job will probably run.
    pub fn expect(&self, spec: &JobSpec) -> Micros {
        let usual = self.usual(&spec.class);
        (micros_from_secs(spec.expect_s) as f64 * usual / AS_ESTIMATED) as Micros
    }

    fn usual(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(AS_ESTIMATED, |known| known.mean)
    }
}
