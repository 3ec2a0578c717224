//! This node's share of a rate limit.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket that holds at most a second's worth.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    bucket: Mutex<(f64, Instant)>,
}

impl Budget {
    /// A full bucket of `rate` a second; never less than one call a second.
    pub fn new(rate: f64) -> Self {
        let rate = rate.max(1.0);
        Budget { rate, bucket: Mutex::new((rate, Instant::now())) }
    }

    /// Takes `count` unless less than `keep` (a share of the bucket, 0 to 1) would be left.
    /// Otherwise says how long it takes until that works.
    pub fn take(&self, count: f64, keep: f64) -> Result<(), Duration> {
        let now = Instant::now();
        let mut bucket = self.bucket.lock().unwrap_or_else(|e| e.into_inner());
        let passed = now.saturating_duration_since(bucket.1).as_secs_f64();
        let level = (bucket.0 + passed * self.rate).min(self.rate);
        let need = count.min(self.rate * (1.0 - keep)) + keep * self.rate;
        bucket.1 = now;
        if level >= need {
            bucket.0 = level - count;
            Ok(())
        } else {
            bucket.0 = level;
            Err(Duration::from_secs_f64((need - level) / self.rate))
        }
    }

    /// Waits for `count`, at most for `patience`; `false` if that was not enough.
    pub fn wait(&self, count: f64, keep: f64, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        loop {
            match self.take(count, keep) {
                Ok(()) => return true,
                Err(wait) => {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return false;
                    }
                    std::thread::sleep(wait.min(left).max(Duration::from_millis(2)));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_keeps_its_reserve() {
        let budget = Budget::new(10.0);
        // (count, share kept, whether it passes), one after the other on a fresh bucket.
        for (n, (count, keep, passes)) in
            [(6.0, 0.0, true), (1.0, 0.9, false), (3.0, 0.0, true), (9.0, 0.0, false)]
                .into_iter()
                .enumerate()
        {
            assert_eq!(budget.take(count, keep).is_ok(), passes, "case {n}");
        }
    }
}
