//! Reports steps of the core that take too long.
//!
//! The core's thread handles nothing else while a step runs. A step that ends late is reported at
//! its end, and one that has not ended is reported by the connections that receive health checks.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use quartzlever_core::WorkCounter;
use quartzlever_wire::Micros;

use crate::log::ProgramEvent;

/// The time in which a health check must be answered.
const SLOW_STEP: Micros = 1_000_000;
/// The start time of a step while none runs.
const NO_STEP: Micros = Micros::MAX;

/// The step in progress.
#[derive(Debug)]
pub struct StepWatch {
    /// When the step began; `NO_STEP` between steps.
    started_at: AtomicU64,
    /// Running time of the step at which it is reported next.
    report_after: AtomicU64,
    /// What the step is doing; unset until the core exists.
    work: OnceLock<WorkCounter>,
}

impl StepWatch {
    /// Creates the watch of a core that does not exist yet.
    pub fn new() -> Self {
        StepWatch {
            started_at: AtomicU64::new(NO_STEP),
            report_after: AtomicU64::new(SLOW_STEP),
            work: OnceLock::new(),
        }
    }

    /// Sets the counter of the core's work, from which reports are made.
    pub fn observe(&self, work: WorkCounter) {
        // Set once, before the first step.
        let _ = self.work.set(work);
    }

    /// Records that a step begins.
    pub fn begin(&self, now: Micros) {
        self.report_after.store(SLOW_STEP, Ordering::Relaxed);
        self.started_at.store(now, Ordering::Release);
    }

    /// Records that the step has ended, and reports it if it took too long.
    pub fn end(&self, now: Micros) {
        let started_at = self.started_at.swap(NO_STEP, Ordering::AcqRel);
        let duration = now.saturating_sub(started_at);
        if duration > SLOW_STEP {
            self.report(duration, false);
        }
    }

    /// Reports a step that is still running and has taken too long, each time its running time has
    /// doubled.
    pub fn check(&self, now: Micros) {
        let started_at = self.started_at.load(Ordering::Acquire);
        let duration = now.saturating_sub(started_at);
        let report_after = self.report_after.load(Ordering::Relaxed);
        if duration <= report_after {
            return;
        }
        let next = duration * 2;
        let is_first = self
            .report_after
            .compare_exchange(report_after, next, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
        if is_first {
            self.report(duration, true);
        }
    }

    fn report(&self, duration: Micros, is_running: bool) {
        let Some(work) = self.work.get() else { return };
        let duration = Duration::from_micros(duration);
        ProgramEvent::StepSlow { duration, is_running, work: work.summary() }.log();
    }

    #[cfg(test)]
    fn next_report_after(&self) -> Micros {
        self.report_after.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
