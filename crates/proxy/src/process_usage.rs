//! What the system says of the process: its resident memory and its open descriptors, beside the proxy's own counts.

use std::fs;

const PAGE_FIELD: usize = 1; // of `/proc/self/statm`: resident pages

/// Bytes of resident memory; `None` where the system does not tell.
pub fn resident_bytes() -> Option<usize> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = statm.split(' ').nth(PAGE_FIELD)?.parse().ok()?;
    Some(pages * rustix::param::page_size())
}

/// The number of open descriptors, without the one by which they are counted; `None` where the system does not
/// tell.
pub fn open_descriptors() -> Option<usize> {
    Some(fs::read_dir("/proc/self/fd").ok()?.count().saturating_sub(1))
}
