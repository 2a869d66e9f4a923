//! Clients, stub servers, fault injection and checks shared by the soak test and the fault matrix.

#![allow(dead_code)] // each test program uses only some of these

pub mod checks;
pub mod clients;
pub mod discovery;
pub mod faults;
pub mod runner;
pub mod stub_servers;
