//! What one proxy holds of the fleet, as a plain value.

use std::net::SocketAddr;

use sparlug::time::Span;

use crate::wire::State;

#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: State,
    pub incarnation: u64,
    /// How long it has been held so.
    pub state_age: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub fleet: String,
    pub local_name: String,
    /// In the order of their names, the proxy itself among them.
    pub members: Vec<MemberStatus>,
    /// How many are there, suspects and the proxy itself included.
    pub alive: usize,
    /// How many there usually are: what staff say, or what has been there of late.
    pub expected: usize,
    /// Whether more than half of those are there.
    pub has_majority: bool,
    /// By how many the proxy divides what all share.
    pub member_count: usize,
    /// Another process claims its name or address: it takes no part.
    pub excluded: bool,
}
