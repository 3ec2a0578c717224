//! This node's share of a rate limit, which changes with the number of nodes that share it.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket that holds at most a second's worth.
#[derive(Debug)]
pub struct Budget {
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Budget {
    /// A full bucket of `rate` a second; never less than one call a second.
    pub fn new(rate: f64) -> Self {
        let rate = rate.max(1.0);
        Budget { bucket: Mutex::new(Bucket { rate, level: rate, at: Instant::now() }) }
    }

    /// From now on the bucket fills at this rate; what is in it stays, as far as it fits.
    pub fn set_rate(&self, rate: f64) {
        let mut bucket = self.bucket.lock().unwrap_or_else(|e| e.into_inner());
        bucket.pass(Instant::now());
        bucket.rate = rate.max(1.0);
        bucket.level = bucket.level.min(bucket.rate);
    }

    /// Takes `count` unless less than `keep` (a share of the bucket, 0 to 1) would be left.
    /// Otherwise says how long it takes until that works.
    pub fn take(&self, count: f64, keep: f64) -> Result<(), Duration> {
        let mut bucket = self.bucket.lock().unwrap_or_else(|e| e.into_inner());
        bucket.pass(Instant::now());
        let rate = bucket.rate;
        let need = count.min(rate * (1.0 - keep)) + keep * rate;
        if bucket.level >= need {
            bucket.level -= count;
            Ok(())
        } else {
            Err(Duration::from_secs_f64((need - bucket.level) / rate))
        }
    }

    /// Waits for `count`, at most for `timeout`; `false` if that was not enough.
    pub fn wait(&self, count: f64, keep: f64, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
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

impl Bucket {
    fn pass(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.rate);
        self.at = now;
    }
}

#[cfg(test)]
mod tests;
