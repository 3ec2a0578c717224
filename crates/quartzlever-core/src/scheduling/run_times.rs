//! Run-time estimates: the actual run times of each class of jobs relative to the owners'
//! estimates.
//!
//! The ratio of an actual run time to the owner's estimate is given in thousandths.

use std::collections::HashMap;

use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{Micros, micros_from_secs};

/// The ratio of a task that takes as long as its owner estimated.
const RATIO_AS_ESTIMATED: f64 = 1000.0;
/// Minimum weight of a new ratio in the mean of its class.
const MIN_WEIGHT: f64 = 0.05;
/// A new ratio is limited to this many times the mean, and to the mean divided by this factor.
const MAX_DEVIATION_FACTOR: f64 = 4.0;

/// The observed run times of a class of jobs.
#[derive(Debug)]
struct ClassRunTimes {
    samples: u32,
    mean_ratio: f64,
}

/// The observed run times of all classes of jobs, relative to the owners' estimates.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: HashMap<String, ClassRunTimes>,
}

impl RunTimes {
    /// Adds the ratio of a finished task to the mean of its class.
    pub fn record(&mut self, class: &str, ratio: u32) {
        let statistics = self
            .classes
            .entry(class.to_owned())
            .or_insert(ClassRunTimes { samples: 0, mean_ratio: RATIO_AS_ESTIMATED });
        statistics.samples += 1;
        let weight = (1.0 / f64::from(statistics.samples + 2)).max(MIN_WEIGHT);
        // The limits keep one slow machine from raising the estimate for all.
        let ratio = f64::from(ratio).clamp(
            statistics.mean_ratio / MAX_DEVIATION_FACTOR,
            statistics.mean_ratio * MAX_DEVIATION_FACTOR,
        );
        statistics.mean_ratio += weight * (ratio - statistics.mean_ratio);
    }

    /// Returns a ratio relative to the mean of its class, in thousandths.
    pub fn relative_to_class(&self, class: &str, ratio: u32) -> u32 {
        let mean_ratio = self.mean_ratio(class).max(1.0);
        (f64::from(ratio) / mean_ratio * RATIO_AS_ESTIMATED) as u32
    }

    /// Returns the expected run time of a task of the job.
    pub fn expected_run_time(&self, spec: &JobSpec) -> Micros {
        let mean_ratio = self.mean_ratio(&spec.class);
        (micros_from_secs(spec.expect_s) as f64 * mean_ratio / RATIO_AS_ESTIMATED) as Micros
    }

    fn mean_ratio(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(RATIO_AS_ESTIMATED, |statistics| statistics.mean_ratio)
    }
}
