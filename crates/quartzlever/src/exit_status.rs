//! Exit statuses of the program other than 0 and 1.
//!
//! The numbers are part of the program's interface: whatever starts it may depend on them.

/// The arguments or the settings are invalid.
pub const INVALID_SETTINGS: u8 = 2;
/// The cluster is at a newer version than this program supports.
pub const UNSUPPORTED_VERSION: u8 = 3;
