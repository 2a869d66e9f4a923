//! The heap of the process. Every allocation of any part is counted, so that limits of memory act on what is held
//! and not on estimates.

use std::alloc::System;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated now.
pub fn held_bytes() -> usize {
    ALLOCATOR.allocated()
}

/// The most bytes that were allocated at any time since the start.
pub fn peak_bytes() -> usize {
    ALLOCATOR.max_allocated()
}
