//! The lab: a test bed that models the systems around the proxy. It starts simulated clients, backends,
//! agents and links around real proxies, injects faults from a plan and a seed, and checks the rules against
//! the records of clients and backends. See `docs/design/lab.md`.

pub mod agent;
pub mod arrivals;
pub mod backend;
pub mod balancer;
pub mod clients;
pub mod clock;
pub mod component;
pub mod configuration;
pub mod deployment;
pub mod duty_figures;
pub mod event_loop;
pub mod experiment;
pub mod fault;
pub mod fault_range;
pub mod fault_schedule;
pub mod fault_steps;
pub mod figures;
pub mod fleet_figures;
pub mod fleet_poller;
pub mod http_message;
pub mod membership_figures;
pub mod peer_network;
pub mod process;
pub mod record;
pub mod relay;
pub mod report;
pub mod rules;
pub mod run;
pub mod run_figures;
pub mod scenario;
pub mod scenario_file;
pub mod search;
pub mod stream_forwarder;
