//! What the system says of the process: its resident memory and its open descriptors, beside the proxy's own counts.

use std::fs;

use rustix::process::{getrlimit, Resource};

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

/// How many connections the process's limit of descriptors allows beside `reserved` other descriptors.
pub fn descriptor_capacity(reserved: usize) -> usize {
    let limit = getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    limit.map_or(usize::MAX / 4, |limit| limit.saturating_sub(reserved))
}
