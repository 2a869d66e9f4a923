//! What a scenario's faults come to: single steps in the order of time, told to the parts that they befall.

use crate::clock::Micros;
use crate::component::Command;
use crate::scenario::{Fault, FaultKind, KnownBackends, Scenario};
use crate::{agent, backend, clients, peer_network, relay};

const NOTICE: Micros = Micros::from_millis(500); // until a crash is known
const BACK: Micros = Micros::from_millis(800); // a killed proxy is back, unless the fault says when
const COMING: Micros = Micros::from_millis(50); // until a backend that is back is named
const DIVERSE: u32 = 10_000; // parts that one fault befalls at the most

/// Which fault keeps a proxy from running: it goes on when none does any more.
pub type FaultId = u32;

#[derive(Clone, Debug)]
pub enum FaultStep {
    SendCommand(String, Command),
    /// Ends a peer's own process outright, or has its thread act as if.
    KillBackend(String),
    StartBackend {
        name: String,
        moved: bool,
    },
    /// Ends a proxy, outright or by telling it to go.
    StopProxy {
        proxy: String,
        kind: FaultKind,
        fault_id: FaultId,
    },
    /// That claim is over: it starts anew with this list, unless another keeps it down.
    RestartProxy {
        proxy: String,
        fault_id: FaultId,
        known: KnownBackends,
    },
    /// Stops a proxy, for good or but for a part of its time.
    PauseProxy {
        proxy: String,
        share: f64,
        fault_id: FaultId,
    },
    ResumeProxy {
        proxy: String,
        fault_id: FaultId,
    },
    /// A proxy belongs to the deployment from now on, or no longer.
    AddProxy {
        proxy: String,
    },
    RemoveProxy {
        proxy: String,
    },
    /// The agents' word on a backend.
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
        part: String,
    },
}

/// When a fault begins and ends.
type When = (Micros, Option<Micros>);

/// All that faults come to, in the order of time; they are numbered from `first` on.
pub fn steps(scenario: &Scenario, faults: &[Fault], first: usize) -> Vec<(Micros, FaultStep)> {
    let mut steps = Vec::new();
    for (number, fault) in faults.iter().enumerate() {
        let number = (first + number) as u32 * DIVERSE;
        for round in 0..fault.times.max(1) {
            let begin = fault.at + fault.every.scaled(f64::from(round));
            let parts = scenario.components(&fault.part);
            // All ways that are befallen at once are one fault.
            let together =
                fault.kind.component_kinds().contains('w') && parts.first().is_none_or(|(_, l, _)| *l == 'w');
            if together && fault.step == Micros::ZERO {
                let say = (fault.text(&fault.part), fault.part.clone());
                ways_steps(
                    scenario,
                    fault,
                    (begin, fault.duration.map(|lasts| begin + lasts)),
                    number,
                    say,
                    &mut steps,
                );
                continue;
            }
            for (i, (tier, letter, n)) in parts.into_iter().enumerate() {
                let at = begin + fault.step.scaled(i as f64);
                let when = (at, fault.duration.map(|lasts| at + lasts));
                let number = number + i as u32;
                let name = match letter {
                    'k' => "callers".to_string(),
                    letter => format!("{}/{letter}-{n}", scenario.tiers[tier].name),
                };
                let text = fault.text(&name);
                if letter == 'w' {
                    let fault = Fault { part: name.clone(), ..fault.clone() };
                    ways_steps(scenario, &fault, when, number, (text, name), &mut steps);
                    continue;
                }
                say(fault.kind, when, (text, name.clone()), &mut steps);
                part_steps(scenario, fault, (tier, n, name), when, number, &mut steps);
            }
        }
    }
    steps.retain(|(at, _)| *at <= scenario.duration);
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn say(
    kind: FaultKind,
    (at, off): When,
    (text, part): (String, String),
    steps: &mut Vec<(Micros, FaultStep)>,
) {
    let word = |on| FaultStep::RecordFault { text: text.clone(), on, kind, part: part.clone() };
    steps.push((at, word(true)));
    steps.extend(off.map(|off| (off, word(false))));
}

fn ways_steps(
    scenario: &Scenario,
    fault: &Fault,
    (at, off): When,
    number: u32,
    text: (String, String),
    steps: &mut Vec<(Micros, FaultStep)>,
) {
    // Checked with the scenario.
    let Ok((tier, pairs)) = scenario.network_paths(fault) else { return };
    say(fault.kind, (at, off), text, steps);
    let name = format!("{}/w", scenario.tiers[tier].name);
    let (kind, amount, jitter, chance) = (fault.kind, fault.amount, fault.jitter, fault.chance);
    let fault = peer_network::ActiveFault { kind, pairs, amount, jitter, chance };
    let begin = Command::PeerNetwork(peer_network::Command::Fault { number, fault });
    steps.push((at, FaultStep::SendCommand(name.clone(), begin)));
    steps.extend(off.map(|off| {
        (
            off,
            FaultStep::SendCommand(name, Command::PeerNetwork(peer_network::Command::ClearFault { number })),
        )
    }));
}

fn part_steps(
    scenario: &Scenario,
    fault: &Fault,
    (tier, n, name): (usize, usize, String),
    (at, off): When,
    number: u32,
    steps: &mut Vec<(Micros, FaultStep)>,
) {
    use FaultKind::*;
    let t = &scenario.tiers[tier];
    let word = |health| FaultStep::SetHealth { tier, n, health };
    let mut push = |at, step| steps.push((at, step));
    let agent = |command| FaultStep::SendCommand(format!("{}/a", t.name), Command::Agent(command));
    let (proxy, fault_id, known) = (name.clone(), number, fault.known);
    // Only agents, proxies and ways have these kinds in common with others.
    let letter = name.rsplit('/').next().and_then(|rest| rest.chars().next()).unwrap_or('s');
    match fault.kind {
        Crash => {
            push(at, FaultStep::KillBackend(name.clone()));
            let noticed = at + NOTICE;
            if off.is_none_or(|off| off > noticed) {
                push(noticed, word("Gone"));
            }
            if let Some(off) = off {
                push(off, FaultStep::StartBackend { name, moved: fault.moves });
                push(off + COMING, word("Ready"));
            }
        }
        Drain => {
            push(at, word("Terminating"));
            // Its own door shuts once the word and the grace are surely past.
            let shut = at + t.lag + t.drain_grace + Micros::from_millis(100);
            push(shut, FaultStep::SendCommand(name.clone(), Command::Backend(backend::Command::Drain)));
            if !fault.stays {
                push(
                    shut,
                    FaultStep::SendCommand(name.clone(), Command::Backend(backend::Command::Shutdown)),
                );
            }
            let back = off.map(|off| off.max(shut + Micros::from_millis(300)));
            push(back.unwrap_or(shut + Micros::from_millis(300)), word("Gone"));
            if let Some(back) = back {
                push(back, FaultStep::StartBackend { name, moved: fault.moves });
                push(back + COMING, word("Ready"));
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
            if let Some(off) = off {
                push(off, agent(command(false)));
            }
        }
        Delay if letter == 'a' => {
            let by = Micros::from_ms(fault.amount.unwrap_or(50.0));
            push(at, agent(agent::Command::Delay { proxy: n, by }));
            if let Some(off) = off {
                push(off, agent(agent::Command::Delay { proxy: n, by: Micros::ZERO }));
            }
        }
        JumpBack => push(at, agent(agent::Command::JumpBack { by: fault.amount.unwrap_or(500.0) as u64 })),
        Move => push(at, FaultStep::MoveAgent { tier, n }),
        Reset | Close | HalfOpen | BlackHole | Delay => {
            let (kind, amount, direction) = (fault.kind, fault.amount, fault.direction);
            let cut = relay::Command::Fault { kind, amount, direction };
            push(at, FaultStep::SendCommand(name.clone(), Command::Relay(cut)));
            let over = off.unwrap_or(at + Micros::from_millis(1));
            push(over, FaultStep::SendCommand(name, Command::Relay(relay::Command::ClearFault { kind })));
        }
        Herd => push(at, FaultStep::SendCommand(name, Command::Clients(clients::Command::Herd))),
        Kill | Term => {
            push(at, FaultStep::StopProxy { proxy: name, kind: fault.kind, fault_id });
            push(off.unwrap_or(at + BACK), FaultStep::RestartProxy { proxy, fault_id, known });
        }
        // It starts anew once it has ended, however soon that is.
        Restart => {
            push(at, FaultStep::StopProxy { proxy: name, kind: fault.kind, fault_id });
            push(off.unwrap_or(at), FaultStep::RestartProxy { proxy, fault_id, known });
        }
        Freeze => {
            push(at, FaultStep::PauseProxy { proxy: name, share: 0.0, fault_id });
            push(off.unwrap_or(at + BACK), FaultStep::ResumeProxy { proxy, fault_id });
        }
        Slow if letter == 'p' => {
            push(at, FaultStep::PauseProxy { proxy: name, share: fault.amount.unwrap_or(0.5), fault_id });
            if let Some(off) = off {
                push(off, FaultStep::ResumeProxy { proxy, fault_id });
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
            if let Some(off) = off {
                push(off, step(!grows));
            }
        }
        kind => {
            let fault =
                backend::ActiveFault { kind, amount: fault.amount, chance: fault.chance, nth: fault.nth };
            let command = backend::Command::Fault { number, fault };
            push(at, FaultStep::SendCommand(name.clone(), Command::Backend(command)));
            if let Some(off) = off {
                push(
                    off,
                    FaultStep::SendCommand(name, Command::Backend(backend::Command::ClearFault { number })),
                );
            }
        }
    }
}
