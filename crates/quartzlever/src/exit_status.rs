//! Exit statuses of the program, beside 0 and 1.
//!
//! Owns the numbers, which whoever starts the program knows. Never ends the program itself.

/// The arguments or the settings cannot be used.
pub const BAD_SETTINGS: u8 = 2;
/// The program is older than what all controllers have agreed on.
pub const UNKNOWN_VERSION: u8 = 3;
