//! What the proxies of a tier are to each other. Every part is a state machine without input or output: it is handed
//! events with the time at which they came, and appends what is to be done. `docs/design/fleet.md` says why it is as
//! it is, and on what each of its properties rests.

pub mod duties;
pub mod leases;
pub mod member_count;
pub mod membership;
pub mod updates;
pub mod view;
pub mod wire;

mod lifecycle;
mod merge;
mod probing;
