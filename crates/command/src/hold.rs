//! `sparlug lab hold`: replaces itself with another program, which is killed when the lab process that
//! started it ends, and optionally pins that program to one core.

use std::os::unix::process::CommandExt;
use std::process::Command;

use rustix::process::{set_parent_process_death_signal, Signal};
use rustix::thread::{sched_setaffinity, CpuSet};

use crate::CommandError;

/// Executes `program` in place of this process, pinned to core `pin` if one is given.
pub fn exec_with_parent(pin: Option<usize>, program: &[String]) -> Result<(), CommandError> {
    // The kernel kills this process when its parent ends: otherwise proxies keep running after the lab itself
    // is killed with SIGKILL.
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| CommandError::failure(e.to_string()))?;
    if let Some(pin) = pin {
        let mut cpu_set = CpuSet::new();
        cpu_set.set(pin);
        let result = sched_setaffinity(None, &cpu_set);
        result.map_err(|e| CommandError::usage(format!("cannot use core {pin}: {e}")))?;
    }
    let (program, arguments) =
        program.split_first().ok_or_else(|| CommandError::usage("no program given to run"))?;
    let error = Command::new(program).args(arguments).exec();
    Err(CommandError::usage(format!("cannot start {program}: {error}")))
}
