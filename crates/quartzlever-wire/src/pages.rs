//! The finished tasks of large jobs in the [store](crate::store), as pages of fixed task ranges.
//! Each page has its own key. The length of a page's value is bounded in whatever order tasks
//! finish, so that it stays far below any limit on values.

use serde::{Deserialize, Serialize};

use crate::Ranges;

/// Prefix of the keys of [`PageRecord`].
pub const PAGE_PREFIX: &str = "pages/";
/// Number of tasks per page. Their hexadecimal digits take 256 bytes.
pub const PAGE_TASKS: u32 = 1024;
const BITS_PER_DIGIT: u32 = 4;

/// Value of `pages/{job}/{number}`: the finished tasks of the page as a bitmap in hexadecimal
/// digits. The highest bit of the first digit is the lowest task. Omitted trailing digits are zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    finished: String,
}

/// Returns the key of a page of a job.
pub fn page_key(job: &str, page: u32) -> String {
    format!("{PAGE_PREFIX}{job}/{page}")
}

/// Returns the job and the page of a key, or `None` if the key is not that of a page.
pub fn page_of_key(key: &str) -> Option<(&str, u32)> {
    let (job, page) = key.strip_prefix(PAGE_PREFIX)?.rsplit_once('/')?;
    Some((job, page.parse().ok()?))
}

/// Returns the page that a task belongs to.
pub fn page_of_task(task: u32) -> u32 {
    task / PAGE_TASKS
}

/// Returns the tasks of a set that belong to a page.
pub fn tasks_of_page(tasks: &Ranges, page: u32) -> Ranges {
    let first = page.saturating_mul(PAGE_TASKS);
    tasks.restricted_to(first..first.saturating_add(PAGE_TASKS))
}

impl PageRecord {
    /// Creates the record of a page from the finished tasks of the job; tasks of other pages are
    /// ignored.
    pub fn new(page: u32, finished: &Ranges) -> PageRecord {
        let first = page.saturating_mul(PAGE_TASKS);
        let mut digits = vec![0_u8; (PAGE_TASKS / BITS_PER_DIGIT) as usize];
        for task in tasks_of_page(finished, page).iter() {
            let bit = task - first;
            digits[(bit / BITS_PER_DIGIT) as usize] |= 8 >> (bit % BITS_PER_DIGIT);
        }
        let text: String = digits.iter().map(|digit| format!("{digit:x}")).collect();
        PageRecord { finished: text.trim_end_matches('0').to_owned() }
    }

    /// Returns the finished tasks, or `None` if the record is malformed for this page.
    pub fn tasks(&self, page: u32) -> Option<Ranges> {
        if self.finished.len() > (PAGE_TASKS / BITS_PER_DIGIT) as usize {
            return None;
        }
        let mut tasks = Ranges::default();
        let mut first_of_digit = page.checked_mul(PAGE_TASKS)?;
        for digit in self.finished.chars() {
            let bits = digit.to_digit(16)?;
            for bit in 0..BITS_PER_DIGIT {
                if bits & (8 >> bit) != 0 {
                    tasks.insert(first_of_digit + bit);
                }
            }
            first_of_digit = first_of_digit.checked_add(BITS_PER_DIGIT)?;
        }
        Some(tasks)
    }
}
