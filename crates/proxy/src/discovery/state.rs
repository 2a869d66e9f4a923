//! The state of the watch: what comes next, and the lists that were received.

use std::net::SocketAddr;

use sparlug::time::Time;

use crate::list_history::ListOrder;

/// What the watch does next. Nothing else decides when the next request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Nothing: the watch has been stopped, there is no agent, or the decision module was told of a failure.
    Idle,
    /// The list that was received last is to be applied.
    Apply,
    /// The next request is due at this time.
    Request(Time),
    /// The pending requests are waited for. They say when a further one is due.
    Response,
}

/// How a list was applied.
#[derive(Clone, Copy)]
pub struct AppliedList {
    pub order: ListOrder,
    /// The changes may be incomplete.
    pub needs_whole_list: bool,
}

/// The version of a list that was applied.
#[derive(Clone, Copy)]
pub struct AppliedVersion {
    pub agent: SocketAddr,
    pub version: u64,
    pub received_at: Time,
}

/// A list that the proxy has not applied yet.
pub struct AwaitedList {
    pub version: u64,
    pub full: bool,
    pub is_empty: bool,
    /// The version that the request named, which the changes follow.
    pub requested_version: Option<u64>,
    pub requested_at: Time,
    /// What follows when it has been handled.
    pub then: AfterList,
}

/// What follows a list that was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterList {
    /// The next request.
    Request,
    /// What was to come before it.
    Resume(Next),
}
