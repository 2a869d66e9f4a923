//! Membership and leases among the proxies of one tier. Each module is a state machine without input or
//! output: it takes events together with the time at which they occur, and appends the resulting actions to a
//! list. The design and the assumptions behind each property are described in `docs/design/fleet.md`.

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
