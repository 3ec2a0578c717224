//! The thread that owns the set of all records, and writes each change to the log before the rest of
//! the program learns of it.
//!
//! So nothing that the program does rests on a record that its log lacks. Where the disk fails, or takes too
//! long, the program goes on without it and says so: the mark in the directory is removed first.
//!
//! Owns the record set and the files of the directory. Never calls the store. Its thread ends when nobody
//! holds a way to it any more, which is with the process; nobody joins it.

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
use crate::recovery::directory::{Directory, LogFile, OwnDirectory, WriteError};
use crate::settings::RecoverySettings;

/// How long an answer of the store is kept back for the disk.
const PATIENCE: Duration = Duration::from_secs(1);
/// The log shows at least this often that it is written.
const ALIVE_EVERY: Duration = Duration::from_secs(1);
/// After a write that failed.
const RETRY: Duration = Duration::from_secs(5);
const REPORT_EVERY: Duration = Duration::from_secs(60);

/// What the journal is asked.
enum Request {
    Record {
        update: Update,
        written: Sender<()>,
    },
    /// The records were listed anew.
    Replace {
        records: RecordSet,
        written: Sender<()>,
    },
    Get {
        key: String,
        answer: Sender<Option<Record>>,
    },
    CarriedOver {
        after: String,
        most: usize,
        answer: Sender<Vec<(String, Record)>>,
    },
    GetAll {
        answer: Sender<RecordSet>,
    },
    /// The process has written its witness key so often.
    Witness(u64),
}

/// The way to the journal's thread.
#[derive(Clone)]
pub struct Journal {
    requests: Sender<Request>,
    /// All changes up to this revision are in the record set.
    complete_up_to: Arc<AtomicU64>,
    /// The program goes on without the log.
    unprotected: Arc<AtomicBool>,
    directory: Directory,
}

impl Journal {
    /// Writes a snapshot of the record set and starts the journal with it.
    pub fn start(
        own: OwnDirectory,
        settings: &RecoverySettings,
        identity: Identity,
        records: RecordSet,
    ) -> io::Result<Journal> {
        let (requests, receiver) = unbounded();
        let journal = Journal {
            requests,
            complete_up_to: Arc::new(AtomicU64::new(records.revision())),
            unprotected: Arc::new(AtomicBool::new(false)),
            directory: own.directory.clone(),
        };
        let mut writer = Writer {
            own,
            settings: settings.clone(),
            identity,
            records,
            witness: 0,
            log: None,
            mark_due: false,
            snapshot_at: Instant::now(),
            retry_at: Instant::now(),
            complete_up_to: journal.complete_up_to.clone(),
            unprotected: journal.unprotected.clone(),
            times: Times::new()?,
        };
        writer.take_snapshot();
        writer.set_due_mark();
        thread::Builder::new().name("journal".into()).spawn(move || writer.run(&receiver))?;
        Ok(journal)
    }

    /// Comes back when the changes are on the disk, or when the disk is not to be waited for.
    pub fn record(&self, update: Update) {
        let (written, done) = bounded(1);
        // A journal that has ended by a failure takes nothing; what follows says so.
        let _ = self.requests.send(Request::Record { update, written });
        self.await_write(&done);
    }

    /// The same for a record set that takes the present one's place.
    pub fn replace(&self, records: RecordSet) {
        let (written, done) = bounded(1);
        let _ = self.requests.send(Request::Replace { records, written });
        self.await_write(&done);
    }

    fn await_write(&self, done: &Receiver<()>) {
        if self.unprotected.load(Ordering::SeqCst) || done.recv_timeout(PATIENCE).is_ok() {
            return;
        }
        if !self.unprotected.swap(true, Ordering::SeqCst) {
            let reason = "the disk takes too long".to_owned();
            ProgramEvent::RecoveryLogUnprotected { reason }.log();
            unmark_in_time(&self.directory);
        }
    }

    /// A record of the record set.
    pub fn get(&self, key: &str) -> Option<Record> {
        let (answer, record) = bounded(1);
        let key = key.to_owned();
        self.requests.send(Request::Get { key, answer }).ok()?;
        record.recv_timeout(PATIENCE).ok()?
    }

    /// Carried-over records that are not written yet, after a key; none if the journal is too slow to tell.
    pub fn carried_over(&self, after: &str, most: usize) -> Option<Vec<(String, Record)>> {
        let (answer, records) = bounded(1);
        let after = after.to_owned();
        self.requests.send(Request::CarriedOver { after, most, answer }).ok()?;
        records.recv_timeout(PATIENCE).ok()
    }

    /// The record set as it is now.
    pub fn records(&self) -> Option<RecordSet> {
        let (answer, records) = bounded(1);
        self.requests.send(Request::GetAll { answer }).ok()?;
        records.recv_timeout(PATIENCE).ok()
    }

    /// Tells the log how often the process has written its witness key.
    pub fn witness_written(&self, count: u64) {
        let _ = self.requests.send(Request::Witness(count));
    }

    /// The revision up to which all changes are in the record set.
    pub fn complete_up_to(&self) -> u64 {
        self.complete_up_to.load(Ordering::SeqCst)
    }
}

/// Removes the mark, waiting no longer than for a write: the disk may hang in this too. The log's age shows
/// then that it was not written. The thread is not joined, since it may hang with the disk.
fn unmark_in_time(directory: &Directory) {
    let (done, removed) = bounded(1);
    let directory = directory.clone();
    let spawned = thread::Builder::new().name("unmark".into()).spawn(move || {
        let _ = done.send(directory.unmark());
    });
    let result = spawned.map(|_| removed.recv_timeout(PATIENCE));
    if !matches!(result, Ok(Ok(Ok(())))) {
        ProgramEvent::RecoveryMarkNotRemoved.log();
    }
}

/// How long writes took.
struct Times {
    histogram: Histogram<u64>,
    reported: Instant,
}

impl Times {
    /// Three digits are kept.
    fn new() -> io::Result<Times> {
        let histogram = Histogram::new(3).map_err(io::Error::other)?;
        Ok(Times { histogram, reported: Instant::now() })
    }

    fn add(&mut self, span: Duration) {
        // The histogram grows to whatever comes.
        let _ = self.histogram.record(span.as_micros() as u64);
    }

    fn summary(&self) -> WriteTimes {
        WriteTimes {
            count: self.histogram.len(),
            median: self.histogram.value_at_quantile(0.5),
            p99: self.histogram.value_at_quantile(0.99),
            longest: self.histogram.max(),
        }
    }

    fn report(&mut self) {
        if self.reported.elapsed() < REPORT_EVERY {
            return;
        }
        self.reported = Instant::now();
        ProgramEvent::RecoveryLogWrites { times: self.summary() }.log();
    }
}

/// What a batch of requests comes to.
#[derive(Default)]
struct Batch {
    /// What goes to the log.
    entries: Vec<LogEntry>,
    /// Those who wait until it is there.
    waiting: Vec<Sender<()>>,
    /// Another record set has taken the present one's place.
    is_replaced: bool,
}

/// What the journal's thread owns.
struct Writer {
    own: OwnDirectory,
    settings: RecoverySettings,
    identity: Identity,
    records: RecordSet,
    witness: u64,
    /// None while the disk fails.
    log: Option<LogFile>,
    /// The mark is to be set once everything that was not waited for is on the disk.
    mark_due: bool,
    snapshot_at: Instant,
    retry_at: Instant,
    complete_up_to: Arc<AtomicU64>,
    unprotected: Arc<AtomicBool>,
    times: Times,
}

impl Writer {
    fn run(&mut self, requests: &Receiver<Request>) {
        loop {
            let first = match requests.recv_timeout(ALIVE_EVERY) {
                Ok(request) => Some(request),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let batch: Vec<Request> = first.into_iter().chain(requests.try_iter()).collect();
            self.take(batch);
            self.times.report();
        }
    }

    /// Takes a batch in: all its changes go to the disk together.
    fn take(&mut self, requests: Vec<Request>) {
        let mut batch = Batch::default();
        for request in requests {
            self.take_request(request, &mut batch);
        }
        batch.entries.push(LogEntry::Heartbeat { wall_time: wall(), witness: self.witness });
        self.append(&batch.entries);
        self.set_due_mark();
        if batch.is_replaced || self.needs_snapshot() {
            self.take_snapshot();
        }
        self.complete_up_to.store(self.records.revision(), Ordering::SeqCst);
        for written in batch.waiting {
            // Whoever no longer waits has been told that the disk is slow.
            let _ = written.send(());
        }
    }

    fn take_request(&mut self, request: Request, batch: &mut Batch) {
        match request {
            Request::Record { update, written } => {
                batch.entries.push(LogEntry::Update(update.clone()));
                self.records.apply(update);
                batch.waiting.push(written);
            }
            Request::Replace { records, written } => {
                if records.revision() >= self.records.revision() {
                    self.replace(records);
                    batch.is_replaced = true;
                }
                batch.waiting.push(written);
            }
            Request::Get { key, answer } => {
                let _ = answer.send(self.records.get(&key).cloned());
            }
            Request::CarriedOver { after, most, answer } => {
                let carried_over = self.records.carried_over(self.identity.base, &after).take(most);
                let _ = answer.send(carried_over.map(|(k, r)| (k.clone(), r.clone())).collect());
            }
            Request::GetAll { answer } => {
                let _ = answer.send(self.records.clone());
            }
            Request::Witness(count) => self.witness = self.witness.max(count),
        }
    }

    /// Puts a record set in the present one's place; what that one has carried over stays.
    fn replace(&mut self, records: RecordSet) {
        let base = self.identity.base;
        let before = std::mem::replace(&mut self.records, records);
        let carried_over = before.carried_over(base, "");
        let carried_over = carried_over.map(|(key, r)| (key.clone(), r.value.clone()));
        self.records.carry_over(carried_over, base);
    }

    /// Sets the mark again. Whatever was told to the program without being waited for was in the queue before
    /// the program began to wait again, so it was appended with the batch after that.
    fn set_due_mark(&mut self) {
        if !self.mark_due || self.log.is_none() {
            return;
        }
        self.mark_due = false;
        if let Err(error) = self.own.directory.mark() {
            self.fails(&error.into());
        }
    }

    fn append(&mut self, entries: &[LogEntry]) {
        let Some(log) = &mut self.log else { return };
        let begin = Instant::now();
        match log.append(entries) {
            Ok(()) => self.times.add(begin.elapsed()),
            Err(error) => self.fails(&error),
        }
    }

    fn needs_snapshot(&self) -> bool {
        let Some(log) = &self.log else { return Instant::now() >= self.retry_at };
        let aged = self.snapshot_at.elapsed().as_micros() as u64 >= self.settings.snapshot;
        // What was not waited for is on the disk only with a new snapshot.
        aged || log.bytes >= self.settings.log_bytes || self.unprotected.load(Ordering::SeqCst)
    }

    /// Writes a snapshot, and a new log after it.
    fn take_snapshot(&mut self) {
        let snapshot = Snapshot {
            identity: self.identity.clone(),
            revision: self.records.revision(),
            wall_time: wall(),
            write_times: self.times.summary(),
            rows: self.records.rows().iter().map(|(k, r)| (k.clone(), r.clone())).collect(),
        };
        self.snapshot_at = Instant::now();
        match self.write_snapshot(&snapshot) {
            Ok(log) => {
                self.log = Some(log);
                self.mark_due = true;
                if self.unprotected.swap(false, Ordering::SeqCst) {
                    ProgramEvent::RecoveryLogProtected.log();
                }
            }
            Err(error) => self.fails(&error),
        }
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<LogFile, WriteError> {
        let directory = &self.own.directory;
        let number = directory.next_number()?;
        let mut log = directory.write_snapshot(number, snapshot, self.settings.max_bytes / 2)?;
        log.append(&[LogEntry::Heartbeat { wall_time: wall(), witness: self.witness }])?;
        Ok(log)
    }

    fn fails(&mut self, error: &WriteError) {
        self.log = None;
        self.retry_at = Instant::now() + RETRY;
        if !self.unprotected.swap(true, Ordering::SeqCst) {
            ProgramEvent::RecoveryLogUnprotected { reason: error.to_string() }.log();
        }
        unmark_in_time(&self.own.directory);
    }
}
