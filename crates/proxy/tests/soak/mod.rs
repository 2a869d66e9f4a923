//! What the soak under failing system calls is made of.

pub mod clients;
pub mod plan;
pub mod servers;
