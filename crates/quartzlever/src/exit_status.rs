//! Exit statuses of the program, beside 0 and 1.

/// The arguments or the settings cannot be used.
pub const BAD_SETTINGS: u8 = 2;
/// The program is older than what all controllers have agreed on.
pub const UNKNOWN_VERSION: u8 = 3;
