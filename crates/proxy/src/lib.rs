//! The proxy that carries out sparlug's decisions on sockets, one part in each module. `proxy` holds the
//! single event loop. `clients`, `pool` and `discovery` are the connections to clients, to backends and to
//! the discovery agent that it serves; the other modules are what these share. This crate makes no routing
//! decisions.

pub mod acceptor;
pub mod address_claims;
pub mod attempt_result;
pub mod body;
pub mod buffered_stream;
pub mod clients;
pub mod close_reason;
pub mod config;
pub mod connect_timeout;
pub mod connection_budget;
pub mod control_messages;
pub mod counters;
pub mod deadlines;
pub mod discovery;
pub mod fleet;
pub mod handover;
pub mod heap;
pub mod http;
pub mod io_failures;
pub mod list_history;
pub mod listing;
pub mod logging;
pub mod management;
pub mod memory_limit;
pub mod peers;
pub mod pool;
pub mod process_usage;
pub mod proxy;
pub mod send_queue;
pub mod shared;
pub mod shutdown_schedule;
pub mod signals;
pub mod slots;
pub mod start_times;
pub mod startup;
