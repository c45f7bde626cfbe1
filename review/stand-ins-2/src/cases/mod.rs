//! The cases, one module each.

pub mod raised_limit;
pub mod restored_store;
pub mod silent_watch;
pub mod tiny_chunks;
