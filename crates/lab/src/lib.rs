//! The lab: a model of the systems that the proxy serves. It starts stand-ins of callers, backends, agents and
//! links round real proxies, plays faults by a plan and a seed, and judges the four rules by what the two sides
//! saw. See `docs/design/lab.md`.

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
