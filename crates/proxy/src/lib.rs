//! The proxy on sockets round sparlug's decisions, a part a file. `proxy` holds the one loop; `clients`,
//! `pool` and `discovery` are the sides that it serves; the rest is what they share. Nothing here decides.

pub mod acceptor;
pub mod attempt_result;
pub mod body;
pub mod buffered_stream;
pub mod clients;
pub mod close_reason;
pub mod config;
pub mod connect_timeout;
pub mod control_messages;
pub mod counters;
pub mod deadlines;
pub mod discovery;
pub mod fleet;
pub mod handover;
pub mod http;
pub mod io_failures;
pub mod listing;
pub mod logging;
pub mod management;
pub mod peers;
pub mod pool;
pub mod proxy;
pub mod shared;
pub mod signals;
pub mod slots;
pub mod start_times;
pub mod startup;
