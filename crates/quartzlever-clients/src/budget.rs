//! This node's share of a rate limit. The share changes with the number of nodes that share the
//! limit.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Shortest sleep between two attempts to take tokens.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// A token bucket that holds at most the tokens of one second.
#[derive(Debug)]
pub struct Budget {
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens added per second, and the capacity in tokens.
    rate: f64,
    /// Tokens available now. Negative after a call that took more than the bucket held.
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates a full bucket that refills at `rate` tokens per second, at least one per second.
    pub fn new(rate: f64) -> Self {
        let rate = rate.max(1.0);
        Budget { bucket: Mutex::new(Bucket { rate, tokens: rate, refilled_at: Instant::now() }) }
    }

    /// Sets the refill rate, at least one token per second. The bucket keeps its tokens up to its
    /// new capacity.
    pub fn set_rate(&self, rate: f64) {
        let mut bucket = self.bucket.lock().unwrap_or_else(|e| e.into_inner());
        bucket.refill(Instant::now());
        bucket.rate = rate.max(1.0);
        bucket.tokens = bucket.tokens.min(bucket.rate);
    }

    /// Takes `count` tokens if at least the fraction `reserve` (0 to 1) of the bucket remains.
    ///
    /// A count beyond what the bucket holds above the reserve is taken once the bucket is full, so
    /// that it does not wait forever.
    ///
    /// # Errors
    /// The time until the tokens are available, if they are not.
    pub fn take(&self, count: f64, reserve: f64) -> Result<(), Duration> {
        let mut bucket = self.bucket.lock().unwrap_or_else(|e| e.into_inner());
        bucket.refill(Instant::now());
        let rate = bucket.rate;
        let required = count.min(rate * (1.0 - reserve)) + reserve * rate;
        if bucket.tokens >= required {
            bucket.tokens -= count;
            Ok(())
        } else {
            Err(Duration::from_secs_f64((required - bucket.tokens) / rate))
        }
    }

    /// Waits until [`take`](Budget::take) succeeds, for at most `timeout`. Returns whether it did.
    pub fn wait(&self, count: f64, reserve: f64, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            match self.take(count, reserve) {
                Ok(()) => return true,
                Err(wait) => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if remaining.is_zero() {
                        return false;
                    }
                    std::thread::sleep(wait.min(remaining).max(MIN_SLEEP));
                }
            }
        }
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
