//! What the process holds: memory and descriptors by owner beside what the system counts, for operators and the log.

use std::fmt::{self, Write};

use super::Proxy;
use crate::buffered_stream::BufferSizes;
use crate::{heap, process_usage};
use sparlug::time::Span;

/// Memory and descriptors of the process at one moment.
pub(super) struct ResourceUsage {
    /// What the allocator has given out, now and at most.
    heap_bytes: usize,
    heap_peak_bytes: usize,
    /// What the system counts; `None` where it does not tell.
    resident_bytes: Option<usize>,
    open_descriptors: Option<usize>,
    client_buffers: BufferSizes,
    backend_buffers: BufferSizes,
    /// Messages of requests that have no response yet, with the copies kept for retries.
    request_bytes: usize,
    requests: usize,
    timers: usize,
    client_connections: usize,
    backend_connections: usize,
    idle_backend_connections: usize,
    discovery_connections: usize,
    management_connections: usize,
    handover_connections: usize,
    longest_turn: Span,
}

impl ResourceUsage {
    /// Name and value of each figure that is known.
    fn figures(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let known = [
            ("memory.heap_bytes", Some(self.heap_bytes)),
            ("memory.heap_peak_bytes", Some(self.heap_peak_bytes)),
            ("memory.resident_bytes", self.resident_bytes),
            ("memory.client_input_bytes", Some(self.client_buffers.input)),
            ("memory.client_output_bytes", Some(self.client_buffers.output)),
            ("memory.backend_input_bytes", Some(self.backend_buffers.input)),
            ("memory.backend_output_bytes", Some(self.backend_buffers.output)),
            ("memory.request_bytes", Some(self.request_bytes)),
            ("requests.open", Some(self.requests)),
            ("timers", Some(self.timers)),
            ("descriptors.open", self.open_descriptors),
            ("descriptors.clients", Some(self.client_connections)),
            ("descriptors.backends", Some(self.backend_connections)),
            ("descriptors.backends_idle", Some(self.idle_backend_connections)),
            ("descriptors.discovery", Some(self.discovery_connections)),
            ("descriptors.management", Some(self.management_connections)),
            ("descriptors.handover", Some(self.handover_connections)),
            ("loop.longest_turn_ms", Some(self.longest_turn.ms() as usize)),
        ];
        known.into_iter().filter_map(|(name, value)| Some((name, value?)))
    }

    /// The figures as metrics, one per line.
    pub(super) fn report(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.figures() {
            let _ = writeln!(text, "svc.{name}:{value}|g");
        }
        text
    }
}

impl fmt::Display for ResourceUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.figures().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{name}={value}")?;
        }
        Ok(())
    }
}

impl Proxy {
    /// What the process holds now.
    pub(super) fn resource_usage(&self) -> ResourceUsage {
        let (backend_connections, idle_backend_connections) = self.pool.connection_counts();
        let message_bytes = self.pending.iter().map(|(_, pending)| pending.incoming.message.capacity());
        ResourceUsage {
            heap_bytes: heap::held_bytes(),
            heap_peak_bytes: heap::peak_bytes(),
            resident_bytes: process_usage::resident_bytes(),
            open_descriptors: process_usage::open_descriptors(),
            client_buffers: self.clients.buffer_sizes(),
            backend_buffers: self.pool.buffer_sizes(),
            request_bytes: message_bytes.sum(),
            requests: self.pending.count(),
            timers: self.io.deadlines.count(),
            client_connections: self.clients.connection_count(),
            backend_connections,
            idle_backend_connections,
            discovery_connections: self.discovery.connection_numbers().count(),
            management_connections: self.management.connection_count(),
            handover_connections: self.handover.connection_count(),
            longest_turn: self.longest_turn,
        }
    }

    /// Logs what the process holds, for signals and the process's end.
    pub(super) fn log_resource_usage(&self) {
        tracing::info!(usage = %self.resource_usage(), "resources");
    }
}
