//! The journal: the thread that owns the set of all records and appends each change to the log
//! before the rest of the program learns of it.
//!
//! So the program never acts on a record that its log lacks, as long as the disk works. If the disk
//! fails or is too slow, the program reports that to the operator, tries to remove the mark in the
//! directory, and continues without the log. If the mark cannot be removed, the age of the last
//! heartbeat in the log shows that the log was not written.
//!
//! Owns the record set and the files of the directory. Never calls the store. The thread is not
//! joined; it ends when every `Journal` is dropped, which is when the process ends.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use hdrhistogram::Histogram;
use quartzlever_recovery::format::{LogEntry, Snapshot, WriteTimes};
use quartzlever_recovery::identity::Identity;
use quartzlever_recovery::records::{Record, RecordSet, Update};

use crate::clock::wall;
use crate::log::ProgramEvent;
use crate::recovery::directory::{Directory, LockedDirectory, LogFile, WriteError};
use crate::settings::RecoverySettings;

/// Maximum time that a reply of the store is delayed until its changes are on the disk.
const DISK_TIMEOUT: Duration = Duration::from_secs(1);
/// Heartbeats are appended to the log at least this often; they show that it is still written.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the disk is tried again after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(5);
const WRITE_TIMES_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// A request to the journal's thread.
enum Request {
    Record {
        update: Update,
        written: Sender<()>,
    },
    /// Replaces the record set, after all records were listed again.
    Replace {
        records: RecordSet,
        written: Sender<()>,
    },
    Get {
        key: String,
        reply: Sender<Option<Record>>,
    },
    CarriedOver {
        after: String,
        limit: usize,
        reply: Sender<Vec<(String, Record)>>,
    },
    GetAll {
        reply: Sender<RecordSet>,
    },
    /// Sets the witness counter to the value that the process has written to its witness key.
    Witness(u64),
}

/// A handle to the journal's thread.
#[derive(Clone)]
pub struct Journal {
    requests: Sender<Request>,
    /// The record set holds all changes up to this revision.
    complete_up_to: Arc<AtomicU64>,
    /// Set while the program continues without the log.
    is_unprotected: Arc<AtomicBool>,
    directory: Directory,
}

impl Journal {
    /// Writes a snapshot of the record set and starts the journal's thread.
    ///
    /// # Errors
    /// Fails if the thread cannot be started. If only the disk fails, the program starts without
    /// the log.
    pub fn start(
        locked_directory: LockedDirectory,
        settings: &RecoverySettings,
        identity: Identity,
        records: RecordSet,
    ) -> io::Result<Journal> {
        let (requests, receiver) = unbounded();
        let journal = Journal {
            requests,
            complete_up_to: Arc::new(AtomicU64::new(records.revision())),
            is_unprotected: Arc::new(AtomicBool::new(false)),
            directory: locked_directory.directory.clone(),
        };
        let mut writer = Writer {
            locked_directory,
            settings: settings.clone(),
            identity,
            records,
            witness: 0,
            log: None,
            is_mark_due: false,
            last_snapshot: Instant::now(),
            retry_at: Instant::now(),
            complete_up_to: journal.complete_up_to.clone(),
            is_unprotected: journal.is_unprotected.clone(),
            durations: WriteDurations::new()?,
        };
        writer.take_snapshot();
        writer.set_mark_if_due();
        thread::Builder::new().name("journal".into()).spawn(move || writer.run(&receiver))?;
        Ok(journal)
    }

    /// Applies and logs an update. Returns once the changes are on the disk, or after
    /// [`DISK_TIMEOUT`], or at once while the program continues without the log.
    pub fn record(&self, update: Update) {
        let (written, done) = bounded(1);
        // If the journal's thread has failed, the reply does not come either, and `await_write`
        // reports it.
        let _ = self.requests.send(Request::Record { update, written });
        self.await_write(&done);
    }

    /// Replaces the record set, and waits as [`Journal::record`] does.
    pub fn replace(&self, records: RecordSet) {
        let (written, done) = bounded(1);
        let _ = self.requests.send(Request::Replace { records, written });
        self.await_write(&done);
    }

    fn await_write(&self, done: &Receiver<()>) {
        if self.is_unprotected.load(Ordering::SeqCst) || done.recv_timeout(DISK_TIMEOUT).is_ok() {
            return;
        }
        if !self.is_unprotected.swap(true, Ordering::SeqCst) {
            let reason = "the disk takes too long".to_owned();
            ProgramEvent::RecoveryLogUnprotected { reason }.log();
            remove_mark_with_timeout(&self.directory);
        }
    }

    /// Returns the record at a key; `None` also if the journal does not reply in time.
    pub fn get(&self, key: &str) -> Option<Record> {
        let (reply, record) = bounded(1);
        let key = key.to_owned();
        self.requests.send(Request::Get { key, reply }).ok()?;
        record.recv_timeout(DISK_TIMEOUT).ok()?
    }

    /// Returns up to `limit` carried-over records that are not written to the store yet, at keys
    /// greater than `after`; `None` if the journal does not reply in time.
    pub fn carried_over(&self, after: &str, limit: usize) -> Option<Vec<(String, Record)>> {
        let (reply, records) = bounded(1);
        let after = after.to_owned();
        self.requests.send(Request::CarriedOver { after, limit, reply }).ok()?;
        records.recv_timeout(DISK_TIMEOUT).ok()
    }

    /// Returns a copy of the record set; `None` if the journal does not reply in time.
    pub fn records(&self) -> Option<RecordSet> {
        let (reply, records) = bounded(1);
        self.requests.send(Request::GetAll { reply }).ok()?;
        records.recv_timeout(DISK_TIMEOUT).ok()
    }

    /// Sets the witness counter that the next heartbeats in the log record.
    pub fn witness_written(&self, count: u64) {
        let _ = self.requests.send(Request::Witness(count));
    }

    /// Returns the revision up to which the record set holds all changes.
    pub fn complete_up_to(&self) -> u64 {
        self.complete_up_to.load(Ordering::SeqCst)
    }
}

/// Removes the mark, but waits no longer than for a write, since the disk may hang here too. If the
/// mark stays, the age of the log's last heartbeat shows that the log was not written. The thread
/// is not joined, since it may hang with the disk.
fn remove_mark_with_timeout(directory: &Directory) {
    let (done, removed) = bounded(1);
    let directory = directory.clone();
    let spawned = thread::Builder::new().name("unmark".into()).spawn(move || {
        let _ = done.send(directory.remove_mark());
    });
    let result = spawned.map(|_| removed.recv_timeout(DISK_TIMEOUT));
    if !matches!(result, Ok(Ok(Ok(())))) {
        ProgramEvent::RecoveryMarkNotRemoved.log();
    }
}

/// The durations of all writes to the log, in microseconds.
struct WriteDurations {
    histogram: Histogram<u64>,
    last_logged: Instant,
}

impl WriteDurations {
    /// Creates a histogram that keeps three significant digits.
    fn new() -> io::Result<WriteDurations> {
        let histogram = Histogram::new(3).map_err(io::Error::other)?;
        Ok(WriteDurations { histogram, last_logged: Instant::now() })
    }

    fn record(&mut self, duration: Duration) {
        // The histogram resizes itself, so every value fits.
        let _ = self.histogram.record(duration.as_micros() as u64);
    }

    fn summary(&self) -> WriteTimes {
        WriteTimes {
            count: self.histogram.len(),
            median: self.histogram.value_at_quantile(0.5),
            p99: self.histogram.value_at_quantile(0.99),
            longest: self.histogram.max(),
        }
    }

    fn log_if_due(&mut self) {
        if self.last_logged.elapsed() < WRITE_TIMES_LOG_INTERVAL {
            return;
        }
        self.last_logged = Instant::now();
        ProgramEvent::RecoveryLogWrites { times: self.summary() }.log();
    }
}

/// The result of processing a batch of requests.
#[derive(Default)]
struct Batch {
    /// Entries to append to the log.
    entries: Vec<LogEntry>,
    /// Senders to notify once the entries are appended.
    waiters: Vec<Sender<()>>,
    /// The record set was replaced.
    is_replaced: bool,
}

/// The state of the journal's thread.
struct Writer {
    locked_directory: LockedDirectory,
    settings: RecoverySettings,
    identity: Identity,
    records: RecordSet,
    witness: u64,
    /// `None` while the disk fails.
    log: Option<LogFile>,
    /// The mark must be set as soon as every change that was not waited for is on the disk.
    is_mark_due: bool,
    last_snapshot: Instant,
    retry_at: Instant,
    complete_up_to: Arc<AtomicU64>,
    is_unprotected: Arc<AtomicBool>,
    durations: WriteDurations,
}

impl Writer {
    fn run(&mut self, requests: &Receiver<Request>) {
        loop {
            let first = match requests.recv_timeout(HEARTBEAT_INTERVAL) {
                Ok(request) => Some(request),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let batch: Vec<Request> = first.into_iter().chain(requests.try_iter()).collect();
            self.process_batch(batch);
            self.durations.log_if_due();
        }
    }

    /// Processes a batch of requests. All its changes are written to the disk together.
    fn process_batch(&mut self, requests: Vec<Request>) {
        let mut batch = Batch::default();
        for request in requests {
            self.process_request(request, &mut batch);
        }
        batch.entries.push(LogEntry::Heartbeat { wall_time: wall(), witness: self.witness });
        self.append(&batch.entries);
        self.set_mark_if_due();
        if batch.is_replaced || self.is_snapshot_due() {
            self.take_snapshot();
        }
        self.complete_up_to.store(self.records.revision(), Ordering::SeqCst);
        for written in batch.waiters {
            // A requester that no longer waits has already logged that the disk is slow.
            let _ = written.send(());
        }
    }

    fn process_request(&mut self, request: Request, batch: &mut Batch) {
        match request {
            Request::Record { update, written } => {
                batch.entries.push(LogEntry::Update(update.clone()));
                self.records.apply(update);
                batch.waiters.push(written);
            }
            Request::Replace { records, written } => {
                if records.revision() >= self.records.revision() {
                    self.replace_records(records);
                    batch.is_replaced = true;
                }
                batch.waiters.push(written);
            }
            Request::Get { key, reply } => {
                let _ = reply.send(self.records.get(&key).cloned());
            }
            Request::CarriedOver { after, limit, reply } => {
                let carried_over =
                    self.records.carried_over(self.identity.base, &after).take(limit);
                let _ = reply.send(carried_over.map(|(k, r)| (k.clone(), r.clone())).collect());
            }
            Request::GetAll { reply } => {
                let _ = reply.send(self.records.clone());
            }
            Request::Witness(count) => self.witness = self.witness.max(count),
        }
    }

    /// Replaces the record set, and keeps the carried-over records of the previous one.
    fn replace_records(&mut self, records: RecordSet) {
        let base = self.identity.base;
        let previous = std::mem::replace(&mut self.records, records);
        let carried_over = previous.carried_over(base, "");
        let carried_over = carried_over.map(|(key, r)| (key.clone(), r.value.clone()));
        self.records.carry_over(carried_over, base);
    }

    /// Sets the mark if it is due. Changes that the program did not wait for were queued before it
    /// resumed waiting, so they were appended with the batch after the snapshot.
    fn set_mark_if_due(&mut self) {
        if !self.is_mark_due || self.log.is_none() {
            return;
        }
        self.is_mark_due = false;
        if let Err(error) = self.locked_directory.directory.set_mark() {
            self.handle_failure(&error.into());
        }
    }

    fn append(&mut self, entries: &[LogEntry]) {
        let Some(log) = &mut self.log else { return };
        let start = Instant::now();
        match log.append(entries) {
            Ok(()) => self.durations.record(start.elapsed()),
            Err(error) => self.handle_failure(&error),
        }
    }

    fn is_snapshot_due(&self) -> bool {
        let Some(log) = &self.log else { return Instant::now() >= self.retry_at };
        let is_interval_over =
            self.last_snapshot.elapsed().as_micros() as u64 >= self.settings.snapshot_interval;
        // Changes that were not waited for are known to be on the disk only after a new snapshot.
        is_interval_over
            || log.bytes >= self.settings.log_bytes
            || self.is_unprotected.load(Ordering::SeqCst)
    }

    /// Writes a snapshot and starts a new log after it.
    fn take_snapshot(&mut self) {
        let snapshot = Snapshot {
            identity: self.identity.clone(),
            revision: self.records.revision(),
            wall_time: wall(),
            write_times: self.durations.summary(),
            rows: self.records.rows().iter().map(|(k, r)| (k.clone(), r.clone())).collect(),
        };
        self.last_snapshot = Instant::now();
        match self.write_snapshot(&snapshot) {
            Ok(log) => {
                self.log = Some(log);
                self.is_mark_due = true;
                if self.is_unprotected.swap(false, Ordering::SeqCst) {
                    ProgramEvent::RecoveryLogProtected.log();
                }
            }
            Err(error) => self.handle_failure(&error),
        }
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<LogFile, WriteError> {
        let directory = &self.locked_directory.directory;
        let number = directory.next_number()?;
        let mut log = directory.write_snapshot(number, snapshot, self.settings.max_bytes / 2)?;
        log.append(&[LogEntry::Heartbeat { wall_time: wall(), witness: self.witness }])?;
        Ok(log)
    }

    fn handle_failure(&mut self, error: &WriteError) {
        self.log = None;
        self.retry_at = Instant::now() + RETRY_DELAY;
        if !self.is_unprotected.swap(true, Ordering::SeqCst) {
            ProgramEvent::RecoveryLogUnprotected { reason: error.to_string() }.log();
        }
        remove_mark_with_timeout(&self.locked_directory.directory);
    }
}
