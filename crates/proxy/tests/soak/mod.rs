//! What the soak and the matrix of failing system calls are made of.

#![allow(dead_code)] // each test program uses a part of it

pub mod clients;
pub mod judge;
pub mod plan;
pub mod servers;
