//! The fleet's members on a socket: hands the machine what comes and when, and carries out what it says. It decides
//! nothing. Where no fleet is configured, all of it does nothing.

use std::fmt::Write;
use std::io;

use mio::net::UdpSocket;
use mio::Interest;
use socket2::{Domain, Socket, Type};
use sparlug::id::PeerId;
use sparlug::time::Time;
use sparlug_fleet::duties::{self, Duties};
use sparlug_fleet::membership::{Action, Event, Membership, Settings};
use sparlug_fleet::view::View;
use sparlug_fleet::wire::MAX_DATAGRAM_BYTES;

use crate::deadlines::DeadlineId;
use crate::shared::{IoContext, Owner, TimerEvent};

/// How many datagrams are read before others have their turn; the loop comes back for the rest.
const AT_ONCE: usize = 64;
const BUFFER: usize = 256 * 1024; // of the kernel's, for what comes while the loop is busy

/// What the decisions are to hear.
#[derive(Debug, PartialEq)]
pub enum FleetEvent {
    /// By how many the tier is divided.
    MemberCountChanged(usize),
    /// A member's words, with a number that stands for it.
    PeerMessage(PeerId, Vec<u8>),
}

struct On {
    members: Membership,
    /// What only one of the members does, where that is configured.
    duties: Option<Duties>,
    duties_wake: Option<DeadlineId>,
    socket: UdpSocket,
    wake: Option<DeadlineId>,
    counted: usize,
}

pub struct Fleet {
    /// What it is told, if there is a fleet, and whether another process may listen beside it.
    plan: Option<(Settings, std::net::SocketAddr, bool)>,
    duties: Option<sparlug_setup::fleet::DutiesSetup>,
    /// Whether another process with this one's name and address may be there.
    beside: bool,
    seed: u64,
    on: Option<On>,
}

/// A number for a name that stays the same whoever comes and goes. (FNV-1a, 64 bits, the lowest left out.)
pub fn ordinal(name: &str) -> usize {
    (duties::fnv1a(name.bytes()) >> 1) as usize
}

impl Fleet {
    /// `zone` and `instances` are those of the tier; `shared` lets the process that takes over listen as well.
    pub fn new(
        found: Option<&sparlug_setup::fleet::FleetSetup>,
        (name, zone, instances): (&str, &str, usize),
        seed: u64,
        shared: bool,
    ) -> Fleet {
        let plan = found.map(|found| {
            let settings = Settings {
                fleet: found.name.clone(),
                name: name.to_string(),
                address: found.advertise,
                zone: zone.to_string(),
                seeds: found.seeds.clone(),
                expected: found.expected,
                instances,
                seeded_defect: None,
            };
            (settings, found.address, shared)
        });
        let duties = found.and_then(|found| found.duties.clone());
        Fleet { plan, duties, beside: false, seed, on: None }
    }

    /// Listens and begins to look for others.
    pub fn start(&mut self, io: &mut IoContext) -> io::Result<Vec<FleetEvent>> {
        let Some((settings, address, shared)) = self.plan.clone() else { return Ok(Vec::new()) };
        let bind = || -> io::Result<UdpSocket> {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            socket.set_reuse_port(shared)?;
            socket.bind(&address.into())?;
            socket.set_nonblocking(true)?;
            let _ = socket.set_recv_buffer_size(BUFFER);
            let mut socket = UdpSocket::from_std(socket.into());
            io.registry.register(&mut socket, Owner::Fleet.token(), Interest::READABLE)?;
            Ok(socket)
        };
        let socket = bind()?;
        let counted = settings.instances;
        // Each life draws anew, also where the seed is given.
        let seed = self.seed ^ io.now.since(Time::ORIGIN).ms().to_bits();
        let (name, own) = (settings.name.clone(), settings.address);
        let members = Membership::new(settings, seed, io.now);
        let plan = self.duties.clone().map(|found| duties::Settings {
            duties: found.names,
            lease: found.lease,
            voters: found.voters,
            name,
            address: own,
            generation: members.generation(),
            seed: seed.rotate_left(32),
        });
        let duties = plan.map(|plan| Duties::new(plan, io.now));
        self.on = Some(On { members, duties, duties_wake: None, socket, wake: None, counted });
        let told = self.handle(Event::Start, io);
        self.set_overlapping(self.beside, io);
        self.see(io);
        self.duty(duties::Event::Start, io);
        Ok(told)
    }

    fn duty(&mut self, event: duties::Event, io: &mut IoContext) {
        let Some(on) = &mut self.on else { return };
        let Some(machine) = &mut on.duties else { return };
        let mut actions = Vec::new();
        machine.handle(io.now, event, &mut actions);
        for action in actions {
            match action {
                duties::Action::Send { to, message: letter } => {
                    self.handle(Event::SendDutyMessage(to, letter), io);
                }
                duties::Action::SetTimer(at) => {
                    let Some(on) = &mut self.on else { return };
                    io.deadlines.cancel(on.duties_wake.take());
                    on.duties_wake = Some(io.deadlines.set(at, TimerEvent::Duties));
                }
                duties::Action::Log(text) => tracing::info!("{text}"),
            }
        }
    }

    pub fn handle_duties_timer(&mut self, io: &mut IoContext) {
        if let Some(on) = &mut self.on {
            on.duties_wake = None;
        }
        self.duty(duties::Event::TimerExpired, io);
    }

    /// Hands the view on to the duties.
    fn see(&mut self, io: &mut IoContext) {
        let Some(on) = self.on.as_ref().filter(|on| on.duties.is_some()) else { return };
        let view = on.members.view(io.now);
        let there = view.members.into_iter().filter(|seen| seen.state.is_present());
        let there = there.map(|seen| (seen.name, seen.address)).collect();
        self.duty(duties::Event::MembersChanged { present: there, excluded: view.excluded }, io);
    }

    /// Whether another process with this one's name and address may be there, and vote.
    pub fn set_overlapping(&mut self, beside: bool, io: &mut IoContext) {
        let ended = self.beside && !beside;
        self.beside = beside;
        if beside || ended {
            self.duty(duties::Event::ProcessOverlap(beside), io);
        }
    }

    /// Staff pause a duty here, or allow it again. `false`: it is none that is configured.
    pub fn set_duty_paused(&mut self, duty: &str, paused: bool, io: &mut IoContext) -> bool {
        let known =
            self.on.as_ref().and_then(|on| on.duties.as_ref()).is_some_and(|all| all.is_configured(duty));
        if known {
            self.duty(duties::Event::SetPaused { duty, paused }, io);
        }
        known
    }

    fn handle(&mut self, event: Event, io: &mut IoContext) -> Vec<FleetEvent> {
        let Some(on) = &mut self.on else { return Vec::new() };
        let (mut actions, mut told, mut letters, mut changed) = (Vec::new(), Vec::new(), Vec::new(), false);
        on.members.handle(io.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    if let Err(error) = on.socket.send_to(&bytes, to) {
                        tracing::debug!(%error, %to, "a message to the fleet is lost");
                    }
                }
                Action::SetTimer(at) => {
                    io.deadlines.cancel(on.wake.take());
                    on.wake = Some(io.deadlines.set(at, TimerEvent::Fleet));
                }
                Action::Log(text) => tracing::info!("{text}"),
                Action::PeerMessage { from, bytes } => {
                    told.push(FleetEvent::PeerMessage(PeerId(ordinal(&from) as u16), bytes))
                }
                Action::DutyMessage(from, letter) => letters.push((from, letter)),
                Action::ViewChanged => {
                    changed = true;
                    let counted = on.members.member_count();
                    if counted != on.counted {
                        on.counted = counted;
                        told.push(FleetEvent::MemberCountChanged(counted));
                    }
                }
            }
        }
        if changed {
            self.see(io);
        }
        for (from, letter) in letters {
            self.duty(duties::Event::MessageReceived { from: &from, message: letter }, io);
        }
        told
    }

    pub fn handle_timer(&mut self, io: &mut IoContext) -> Vec<FleetEvent> {
        if let Some(on) = &mut self.on {
            on.wake = None;
        }
        self.handle(Event::TimerExpired, io)
    }

    /// What has come from others; a few at a time, so that a flood keeps nobody else waiting.
    pub fn receive(&mut self, io: &mut IoContext) -> Vec<FleetEvent> {
        let mut told = Vec::new();
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1]; // a longer message is none of ours
        for _ in 0..AT_ONCE {
            let Some(on) = &self.on else { return told };
            match on.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    told.extend(self.handle(Event::DatagramReceived(&buffer[..length], from), io))
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return told,
                // One that is down shows here, as the refusal of an earlier message.
                Err(_) => {}
            }
        }
        io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Fleet));
        told
    }

    /// Whether there is a fleet to tell things.
    pub fn is_running(&self) -> bool {
        self.on.is_some()
    }

    /// Says something to one of the members that are there, chosen by a number.
    pub fn send_to_member(&mut self, nth: usize, bytes: Vec<u8>, io: &mut IoContext) {
        self.handle(Event::SendPeerMessage { member_index: nth, bytes }, io);
    }

    /// Tells others that it goes.
    pub fn leave(&mut self, io: &mut IoContext) {
        self.duty(duties::Event::Leave, io);
        self.handle(Event::Leave, io);
    }

    /// The process that took over is this member now: this one falls silent without a word.
    pub fn stop_for_successor(&mut self, io: &mut IoContext) {
        self.duty(duties::Event::Leave, io);
        if let Some(mut on) = self.on.take() {
            io.deadlines.cancel(on.wake);
            io.deadlines.cancel(on.duties_wake);
            let _ = io.registry.deregister(&mut on.socket);
            tracing::info!("the next process is this member of the fleet now");
        }
    }

    pub fn view(&self, now: Time) -> Option<View> {
        self.on.as_ref().map(|on| on.members.view(now))
    }

    /// The view as operators read it.
    pub fn status_json(&self, now: Time) -> Option<String> {
        let view = self.view(now)?;
        let members = view.members.iter().map(|seen| {
            serde_json::json!({
                "name": seen.name, "address": seen.address, "zone": seen.zone, "state": seen.state.name(),
                "incarnation": seen.incarnation, "since_ms": seen.state_age.ms().round(),
            })
        });
        let shown = self.on.as_ref().and_then(|on| on.duties.as_ref()).map(|all| all.statuses(now));
        let duties = shown.unwrap_or_default().into_iter().map(|duty| {
            serde_json::json!({
                "name": duty.name, "holder": duty.holder, "term": duty.term, "held_here": duty.held_here,
                "left_ms": duty.remaining.ms().round(), "paused": duty.paused,
            })
        });
        let json = serde_json::json!({
            "fleet": view.fleet, "self": view.local_name, "members": members.collect::<Vec<_>>(), "alive": view.alive,
            "expected": view.expected, "majority": view.has_majority, "counted": view.member_count,
            "kept_out": view.excluded, "duties": duties.collect::<Vec<_>>(),
        });
        Some(format!("{json}\n"))
    }

    /// Figures beside the others, a line each.
    pub fn metrics(&self, now: Time) -> String {
        let (Some(view), Some(on)) = (self.view(now), &self.on) else { return String::new() };
        let c = on.members.counts;
        let mut text = String::new();
        for (name, value) in [
            ("alive", view.alive),
            ("expected", view.expected),
            ("counted", view.member_count),
            ("majority", usize::from(view.has_majority)),
            ("kept_out", usize::from(view.excluded)),
        ] {
            let _ = writeln!(text, "svc.fleet.{name}:{value}|g");
        }
        for (name, count) in [
            ("sent", c.sent),
            ("heard", c.received),
            ("foreign", c.foreign),
            ("newer", c.newer),
            ("garbled", c.corrupted),
            ("unknown_kind", c.unknown_kind),
            ("senseless", c.invalid),
            ("other_fleet", c.other_fleet),
            ("misdirected", c.misdirected),
            ("too_many", c.over_capacity),
            ("refuted", c.refuted),
            ("held_dead", c.declared_dead),
            ("slept", c.pauses),
        ] {
            let _ = writeln!(text, "svc.fleet.{name}:{count}|c");
        }
        if let Some(all) = &on.duties {
            let held = all.statuses(now).iter().filter(|duty| duty.held_here).count();
            let _ = writeln!(text, "svc.fleet.duties_held:{held}|g");
            let c = all.counts;
            for (name, count) in [
                ("taken", c.acquired),
                ("lost", c.lost),
                ("given", c.released),
                ("other_voters", c.voter_mismatches),
            ] {
                let _ = writeln!(text, "svc.fleet.duties_{name}:{count}|c");
            }
        }
        text
    }
}
