//! `sparlug lab hold`: becomes another program that ends with the lab that started it, on one core if wanted.

use std::os::unix::process::CommandExt;
use std::process::Command;

use rustix::process::{set_parent_process_death_signal, Signal};
use rustix::thread::{sched_setaffinity, CpuSet};

use crate::Failed;

pub fn hold(pin: Option<usize>, program: &[String]) -> Result<(), Failed> {
    // Guards against proxies left running when the lab itself is killed outright.
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| Failed::could_not(e.to_string()))?;
    if let Some(pin) = pin {
        let mut cores = CpuSet::new();
        cores.set(pin);
        let pinned = sched_setaffinity(None, &cores);
        pinned.map_err(|e| Failed::unusable(format!("cannot use core {pin}: {e}")))?;
    }
    let (program, arguments) =
        program.split_first().ok_or_else(|| Failed::unusable("wanted a program to become"))?;
    let e = Command::new(program).args(arguments).exec();
    Err(Failed::unusable(format!("cannot start {program}: {e}")))
}
