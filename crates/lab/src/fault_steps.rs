//! Expands a scenario's faults into single steps, sorted by time, for the components that they affect.

use crate::clock::Micros;
use crate::component::Command;
use crate::scenario::{Fault, FaultKind, KnownBackends, Scenario};
use crate::{agent, backend, clients, peer_network, relay};

/// From a backend's crash until the agents announce it.
const CRASH_NOTICE_DELAY: Micros = Micros::from_millis(500);
/// Downtime of a killed proxy, unless the fault sets its duration.
const DEFAULT_PROXY_DOWNTIME: Micros = Micros::from_millis(800);
/// From a backend's restart until the agents announce it.
const RESTART_NOTICE_DELAY: Micros = Micros::from_millis(50);
const MAX_COMPONENTS_PER_FAULT: u32 = 10_000; // most components that one fault affects

/// The fault that keeps a proxy from running; the proxy runs again when no fault does.
pub type FaultId = u32;

#[derive(Clone, Debug)]
pub enum FaultStep {
    SendCommand(String, Command),
    /// Kills a backend's process, or has its thread behave as if killed.
    KillBackend(String),
    StartBackend {
        name: String,
        moved: bool,
    },
    /// Ends a proxy by killing it or by a signal to shut down.
    StopProxy {
        proxy: String,
        kind: FaultKind,
        fault_id: FaultId,
    },
    /// The fault is over: the proxy restarts with this list unless another fault keeps it down.
    RestartProxy {
        proxy: String,
        fault_id: FaultId,
        known: KnownBackends,
    },
    /// Pauses a proxy, completely or for part of the time; `share` is the part of its time in which it runs.
    PauseProxy {
        proxy: String,
        share: f64,
        fault_id: FaultId,
    },
    ResumeProxy {
        proxy: String,
        fault_id: FaultId,
    },
    /// Adds a proxy to the deployment or removes it.
    AddProxy {
        proxy: String,
    },
    RemoveProxy {
        proxy: String,
    },
    /// The agents announce this state of a backend.
    SetHealth {
        tier: usize,
        n: usize,
        health: &'static str,
    },
    MoveAgent {
        tier: usize,
        n: usize,
    },
    RecordFault {
        text: String,
        on: bool,
        kind: FaultKind,
        affected: String,
    },
}

/// When a fault begins and ends.
type ActivePeriod = (Micros, Option<Micros>);

/// The steps of all faults, sorted by time; the faults are numbered from `first`.
pub fn steps(scenario: &Scenario, faults: &[Fault], first: usize) -> Vec<(Micros, FaultStep)> {
    let mut steps = Vec::new();
    for (number, fault) in faults.iter().enumerate() {
        let number = (first + number) as u32 * MAX_COMPONENTS_PER_FAULT;
        for round in 0..fault.times.max(1) {
            let begin = fault.at + fault.every.scaled(f64::from(round));
            let components = scenario.components(&fault.components);
            // All network paths affected at the same time are one fault.
            let same_time = fault.kind.component_kinds().contains('w')
                && components.first().is_none_or(|(_, l, _)| *l == 'w');
            if same_time && fault.step == Micros::ZERO {
                let description = (fault.text(&fault.components), fault.components.clone());
                push_network_steps(
                    scenario,
                    fault,
                    (begin, fault.duration.map(|duration| begin + duration)),
                    number,
                    description,
                    &mut steps,
                );
                continue;
            }
            for (i, (tier, letter, n)) in components.into_iter().enumerate() {
                let at = begin + fault.step.scaled(i as f64);
                let when = (at, fault.duration.map(|duration| at + duration));
                let number = number + i as u32;
                let name = match letter {
                    'k' => "callers".to_string(),
                    letter => format!("{}/{letter}-{n}", scenario.tiers[tier].name),
                };
                let text = fault.text(&name);
                if letter == 'w' {
                    let fault = Fault { components: name.clone(), ..fault.clone() };
                    push_network_steps(scenario, &fault, when, number, (text, name), &mut steps);
                    continue;
                }
                push_record_steps(fault.kind, when, (text, name.clone()), &mut steps);
                push_component_steps(scenario, fault, (tier, n, name), when, number, &mut steps);
            }
        }
    }
    steps.retain(|(at, _)| *at <= scenario.duration);
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn push_record_steps(
    kind: FaultKind,
    (at, end): ActivePeriod,
    (text, affected): (String, String),
    steps: &mut Vec<(Micros, FaultStep)>,
) {
    let record_fault =
        |on| FaultStep::RecordFault { text: text.clone(), on, kind, affected: affected.clone() };
    steps.push((at, record_fault(true)));
    steps.extend(end.map(|end| (end, record_fault(false))));
}

fn push_network_steps(
    scenario: &Scenario,
    fault: &Fault,
    (at, end): ActivePeriod,
    number: u32,
    description: (String, String),
    steps: &mut Vec<(Micros, FaultStep)>,
) {
    // The scenario's validation has ruled out an error.
    let Ok((tier, pairs)) = scenario.network_paths(fault) else { return };
    push_record_steps(fault.kind, (at, end), description, steps);
    let name = format!("{}/w", scenario.tiers[tier].name);
    let (kind, amount, jitter, chance) = (fault.kind, fault.amount, fault.jitter, fault.chance);
    let fault = peer_network::ActiveFault { kind, pairs, amount, jitter, chance };
    let begin = Command::PeerNetwork(peer_network::Command::Fault { number, fault });
    steps.push((at, FaultStep::SendCommand(name.clone(), begin)));
    steps.extend(end.map(|end| {
        (
            end,
            FaultStep::SendCommand(name, Command::PeerNetwork(peer_network::Command::ClearFault { number })),
        )
    }));
}

fn push_component_steps(
    scenario: &Scenario,
    fault: &Fault,
    (tier, n, name): (usize, usize, String),
    (at, end): ActivePeriod,
    number: u32,
    steps: &mut Vec<(Micros, FaultStep)>,
) {
    use FaultKind::*;
    let t = &scenario.tiers[tier];
    let set_health = |health| FaultStep::SetHealth { tier, n, health };
    let mut push = |at, step| steps.push((at, step));
    let agent = |command| FaultStep::SendCommand(format!("{}/a", t.name), Command::Agent(command));
    let (proxy, fault_id, known) = (name.clone(), number, fault.known);
    // Agents, proxies and network paths share some kinds of fault with other components; the letter tells
    // them apart.
    let letter = name.rsplit('/').next().and_then(|rest| rest.chars().next()).unwrap_or('s');
    match fault.kind {
        Crash => {
            push(at, FaultStep::KillBackend(name.clone()));
            let announce_at = at + CRASH_NOTICE_DELAY;
            if end.is_none_or(|end| end > announce_at) {
                push(announce_at, set_health("Gone"));
            }
            if let Some(end) = end {
                push(end, FaultStep::StartBackend { name, moved: fault.changes_address });
                push(end + RESTART_NOTICE_DELAY, set_health("Ready"));
            }
        }
        Drain => {
            push(at, set_health("Terminating"));
            // The backend itself refuses requests only once the announcement has certainly arrived and the
            // grace period is over.
            let refuse_at = at + t.discovery_lag + t.drain_grace + Micros::from_millis(100);
            push(refuse_at, FaultStep::SendCommand(name.clone(), Command::Backend(backend::Command::Drain)));
            if !fault.keeps_process {
                push(
                    refuse_at,
                    FaultStep::SendCommand(name.clone(), Command::Backend(backend::Command::Shutdown)),
                );
            }
            let back = end.map(|end| end.max(refuse_at + Micros::from_millis(300)));
            push(back.unwrap_or(refuse_at + Micros::from_millis(300)), set_health("Gone"));
            if let Some(back) = back {
                push(back, FaultStep::StartBackend { name, moved: fault.changes_address });
                push(back + RESTART_NOTICE_DELAY, set_health("Ready"));
            }
        }
        Mute | Stale | Cut | Behind => {
            let by = Micros::from_ms(fault.amount.unwrap_or(3000.0));
            let command = |on: bool| match fault.kind {
                Mute => agent::Command::Mute { proxy: n, on },
                Stale => agent::Command::Stale { proxy: n, on },
                Cut => agent::Command::Cut { proxy: n, on },
                _ => agent::Command::Behind { proxy: n, by: on.then_some(by) },
            };
            push(at, agent(command(true)));
            if let Some(end) = end {
                push(end, agent(command(false)));
            }
        }
        Delay if letter == 'a' => {
            let by = Micros::from_ms(fault.amount.unwrap_or(50.0));
            push(at, agent(agent::Command::Delay { proxy: n, by }));
            if let Some(end) = end {
                push(end, agent(agent::Command::Delay { proxy: n, by: Micros::ZERO }));
            }
        }
        JumpBack => push(at, agent(agent::Command::JumpBack { by: fault.amount.unwrap_or(500.0) as u64 })),
        Move => push(at, FaultStep::MoveAgent { tier, n }),
        Reset | Close | HalfOpen | BlackHole | Delay => {
            let (kind, amount, direction) = (fault.kind, fault.amount, fault.direction);
            let cut = relay::Command::Fault { kind, amount, direction };
            push(at, FaultStep::SendCommand(name.clone(), Command::Relay(cut)));
            let over = end.unwrap_or(at + Micros::from_millis(1));
            push(over, FaultStep::SendCommand(name, Command::Relay(relay::Command::ClearFault { kind })));
        }
        Herd => push(at, FaultStep::SendCommand(name, Command::Clients(clients::Command::Herd))),
        Kill | Term => {
            push(at, FaultStep::StopProxy { proxy: name, kind: fault.kind, fault_id });
            push(
                end.unwrap_or(at + DEFAULT_PROXY_DOWNTIME),
                FaultStep::RestartProxy { proxy, fault_id, known },
            );
        }
        // The proxy restarts as soon as it has ended.
        Restart => {
            push(at, FaultStep::StopProxy { proxy: name, kind: fault.kind, fault_id });
            push(end.unwrap_or(at), FaultStep::RestartProxy { proxy, fault_id, known });
        }
        Freeze => {
            push(at, FaultStep::PauseProxy { proxy: name, share: 0.0, fault_id });
            push(end.unwrap_or(at + DEFAULT_PROXY_DOWNTIME), FaultStep::ResumeProxy { proxy, fault_id });
        }
        Slow if letter == 'p' => {
            push(at, FaultStep::PauseProxy { proxy: name, share: fault.amount.unwrap_or(0.5), fault_id });
            if let Some(end) = end {
                push(end, FaultStep::ResumeProxy { proxy, fault_id });
            }
        }
        Grow | Shrink => {
            let grows = fault.kind == Grow;
            let step = |joins| {
                if joins {
                    FaultStep::AddProxy { proxy: name.clone() }
                } else {
                    FaultStep::RemoveProxy { proxy: name.clone() }
                }
            };
            push(at, step(grows));
            if let Some(end) = end {
                push(end, step(!grows));
            }
        }
        kind => {
            let fault =
                backend::ActiveFault { kind, amount: fault.amount, chance: fault.chance, nth: fault.nth };
            let command = backend::Command::Fault { number, fault };
            push(at, FaultStep::SendCommand(name.clone(), Command::Backend(command)));
            if let Some(end) = end {
                push(
                    end,
                    FaultStep::SendCommand(name, Command::Backend(backend::Command::ClearFault { number })),
                );
            }
        }
    }
}
