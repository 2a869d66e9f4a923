//! How much memory buffers may take. What is left of the process's limit is known exactly, because the heap counts
//! every allocation; each buffer may grow to the same small part of it (a dynamic threshold, as in the shared
//! buffers of switches). The fuller the memory, the less each may hold, and short requests always find room.

use sparlug::time::Time;

use crate::heap;
use crate::http::MAX_BUFFERED_MESSAGE_BYTES;

/// Each buffer may hold this part of the free memory: hundreds of them together leave some of it free.
const FREE_BYTES_PER_BUFFERED_BYTE: usize = 64;
/// What a request or a streamed body may always hold, so that it gets on however full the memory is.
const MIN_BUFFER_BYTES: usize = 2 * 1024;
/// The most of a streamed body that is buffered in one place.
const MAX_WINDOW_BYTES: usize = 128 * 1024;
/// The copy of a streamed request that is kept for a retry may be this multiple of a usual buffer.
const REPLAY_BUFFERS: usize = 2;

/// The limit of the heap.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimit {
    heap_bytes: usize,
}

impl MemoryLimit {
    pub fn new(heap_bytes: usize) -> MemoryLimit {
        MemoryLimit { heap_bytes }
    }

    /// How many bytes the heap may still grow by.
    pub fn free_bytes(self) -> usize {
        self.heap_bytes.saturating_sub(heap::held_bytes())
    }

    /// How many bytes one buffer may hold now, at most `wanted`.
    pub fn buffer_limit(self, wanted: usize) -> usize {
        (self.free_bytes() / FREE_BYTES_PER_BUFFERED_BYTE).max(MIN_BUFFER_BYTES).min(wanted)
    }

    /// How many bytes of one streamed body may be buffered in one place.
    pub fn window(self) -> usize {
        self.buffer_limit(MAX_WINDOW_BYTES)
    }

    /// How many bytes of one streamed request may be kept for a retry, at most `wanted`.
    pub fn replay_limit(self, wanted: usize) -> usize {
        (self.buffer_limit(wanted) * REPLAY_BUFFERS).min(wanted)
    }

    /// Whether the longest buffered message does not find room any more.
    fn is_short(self) -> bool {
        self.buffer_limit(MAX_BUFFERED_MESSAGE_BYTES) < MAX_BUFFERED_MESSAGE_BYTES
    }
}

/// Logs when the memory becomes short, and when it no longer is.
#[derive(Default)]
pub struct MemoryWatch {
    short_since: Option<Time>,
}

impl MemoryWatch {
    /// Compares the present state with the last one.
    pub fn update(&mut self, limit: MemoryLimit, now: Time) {
        match (limit.is_short(), self.short_since) {
            (true, None) => {
                let (heap, free) = (heap::held_bytes(), limit.free_bytes());
                tracing::warn!(heap, free, "memory is short, large requests may be refused");
                self.short_since = Some(now);
            }
            (false, Some(since)) => {
                tracing::info!(for_ms = now.since(since).ms(), "memory is sufficient again");
                self.short_since = None;
            }
            _ => {}
        }
    }
}
