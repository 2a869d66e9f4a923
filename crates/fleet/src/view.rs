//! A snapshot of the membership as one proxy sees it.

use std::net::SocketAddr;

use sparlug::time::Span;

use crate::wire::MemberState;

#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: MemberState,
    pub incarnation: u64,
    /// Time since the member entered its current state.
    pub state_age: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub fleet: String,
    pub local_name: String,
    /// Sorted by name, including the proxy itself.
    pub members: Vec<MemberStatus>,
    /// Number of present members, including suspects and the proxy itself.
    pub present: usize,
    /// Usual number of members: the configured number, or the number of known members that have not left if
    /// that is larger.
    pub expected: usize,
    /// Whether more than half of the expected members are present.
    pub has_majority: bool,
    /// The number by which the proxy divides what the tier shares.
    pub member_count: usize,
    /// Another process claims this proxy's name or address, so it does not take part in the fleet.
    pub excluded: bool,
}
