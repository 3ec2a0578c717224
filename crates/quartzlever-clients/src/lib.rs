//! Clients.
