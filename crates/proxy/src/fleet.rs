//! The adapter between the fleet crate's state machines and a UDP socket: passes datagrams and timers to them
//! and carries out their actions. It makes no decisions. Without a configured fleet it does nothing.

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

/// Datagrams that are read before other sockets are handled; the event loop comes back for the rest.
const MAX_DATAGRAMS_PER_READ: usize = 64;
/// The kernel's receive buffer, for datagrams that arrive while the event loop is busy.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// What the fleet reports to the decision module.
#[derive(Debug, PartialEq)]
pub enum FleetEvent {
    /// The number of proxies among which the tier's work is divided.
    MemberCountChanged(usize),
    /// A member's message to its peers, with the id that stands for the member.
    PeerMessage(PeerId, Vec<u8>),
}

/// The state while the proxy takes part in the fleet.
struct Running {
    membership: Membership,
    /// The duties, if any are configured.
    duties: Option<Duties>,
    duties_timer: Option<DeadlineId>,
    socket: UdpSocket,
    membership_timer: Option<DeadlineId>,
    member_count: usize,
}

/// This proxy's part in the fleet.
pub struct Fleet {
    /// If a fleet is configured: the membership's settings, the address to listen on, and whether a successor
    /// process may listen there too.
    config: Option<(Settings, std::net::SocketAddr, bool)>,
    duties: Option<sparlug_setup::fleet::DutiesSetup>,
    /// Whether another process with this one's name and address may be running.
    overlapping: bool,
    seed: u64,
    running: Option<Running>,
}

/// The ordinal of the member with a name: a hash (FNV-1a, 64 bits, with the lowest bit dropped), so that it
/// stays the same when other members come and go.
pub fn ordinal(name: &str) -> usize {
    (duties::fnv1a(name.bytes()) >> 1) as usize
}

impl Fleet {
    /// `zone` and `instances` are those of the tier. `reuse_port` lets a successor process listen on the same
    /// address.
    pub fn new(
        setup: Option<&sparlug_setup::fleet::FleetSetup>,
        (name, zone, instances): (&str, &str, usize),
        seed: u64,
        reuse_port: bool,
    ) -> Fleet {
        let config = setup.map(|setup| {
            let settings = Settings {
                fleet: setup.name.clone(),
                name: name.to_string(),
                address: setup.advertise,
                zone: zone.to_string(),
                seeds: setup.seeds.clone(),
                expected: setup.expected,
                instances,
                seeded_defect: None,
            };
            (settings, setup.address, reuse_port)
        });
        let duties = setup.and_then(|setup| setup.duties.clone());
        Fleet { config, duties, overlapping: false, seed, running: None }
    }

    /// Starts to listen and to look for other members.
    pub fn start(&mut self, io: &mut IoContext) -> io::Result<Vec<FleetEvent>> {
        let Some((settings, address, reuse_port)) = self.config.clone() else { return Ok(Vec::new()) };
        let bind = || -> io::Result<UdpSocket> {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            socket.set_reuse_port(reuse_port)?;
            socket.bind(&address.into())?;
            socket.set_nonblocking(true)?;
            let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
            let mut socket = UdpSocket::from_std(socket.into());
            io.registry.register(&mut socket, Owner::Fleet.token(), Interest::READABLE)?;
            Ok(socket)
        };
        let socket = bind()?;
        let member_count = settings.instances;
        // Each start of the process draws other random numbers, even with a configured seed.
        let seed = self.seed ^ io.now.since(Time::ORIGIN).ms().to_bits();
        let (name, advertised) = (settings.name.clone(), settings.address);
        let membership = Membership::new(settings, seed, io.now);
        let settings = self.duties.clone().map(|setup| duties::Settings {
            duties: setup.names,
            lease: setup.lease,
            voters: setup.voters,
            name,
            address: advertised,
            generation: membership.generation(),
            seed: seed.rotate_left(32),
        });
        let duties = settings.map(|settings| Duties::new(settings, io.now));
        self.running = Some(Running {
            membership,
            duties,
            duties_timer: None,
            socket,
            membership_timer: None,
            member_count,
        });
        let events = self.handle_membership(Event::Start, io);
        self.set_overlapping(self.overlapping, io);
        self.report_view_to_duties(io);
        self.handle_duties(duties::Event::Start, io);
        Ok(events)
    }

    /// Passes an event to the duties and carries out their actions.
    fn handle_duties(&mut self, event: duties::Event, io: &mut IoContext) {
        let Some(running) = &mut self.running else { return };
        let Some(duties) = &mut running.duties else { return };
        let mut actions = Vec::new();
        duties.handle(io.now, event, &mut actions);
        for action in actions {
            match action {
                duties::Action::Send { to, message } => {
                    self.handle_membership(Event::SendDutyMessage(to, message), io);
                }
                duties::Action::SetTimer(at) => {
                    let Some(running) = &mut self.running else { return };
                    io.deadlines.cancel(running.duties_timer.take());
                    running.duties_timer = Some(io.deadlines.set(at, TimerEvent::Duties));
                }
                duties::Action::Log(text) => tracing::info!("{text}"),
            }
        }
    }

    pub fn handle_duties_timer(&mut self, io: &mut IoContext) {
        if let Some(running) = &mut self.running {
            running.duties_timer = None;
        }
        self.handle_duties(duties::Event::TimerExpired, io);
    }

    /// Tells the duties which members are present.
    fn report_view_to_duties(&mut self, io: &mut IoContext) {
        let Some(running) = self.running.as_ref().filter(|running| running.duties.is_some()) else { return };
        let view = running.membership.view(io.now);
        let present = view.members.into_iter().filter(|member| member.state.is_present());
        let present = present.map(|member| (member.name, member.address)).collect();
        self.handle_duties(duties::Event::MembersChanged { present, excluded: view.excluded }, io);
    }

    /// Sets whether another process with this one's name and address may be running, and voting.
    pub fn set_overlapping(&mut self, overlapping: bool, io: &mut IoContext) {
        let ended = self.overlapping && !overlapping;
        self.overlapping = overlapping;
        if overlapping || ended {
            self.handle_duties(duties::Event::ProcessOverlap(overlapping), io);
        }
    }

    /// Pauses or resumes a duty on this proxy, as operators request. Returns `false` if the duty is not
    /// configured.
    pub fn set_duty_paused(&mut self, duty: &str, paused: bool, io: &mut IoContext) -> bool {
        let configured = self
            .running
            .as_ref()
            .and_then(|running| running.duties.as_ref())
            .is_some_and(|duties| duties.is_configured(duty));
        if configured {
            self.handle_duties(duties::Event::SetPaused { duty, paused }, io);
        }
        configured
    }

    /// Passes an event to the membership and carries out its actions.
    fn handle_membership(&mut self, event: Event, io: &mut IoContext) -> Vec<FleetEvent> {
        let Some(running) = &mut self.running else { return Vec::new() };
        let (mut actions, mut events, mut duty_messages, mut view_changed) =
            (Vec::new(), Vec::new(), Vec::new(), false);
        running.membership.handle(io.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    if let Err(error) = running.socket.send_to(&bytes, to) {
                        tracing::debug!(%error, %to, "cannot send a message to the fleet");
                    }
                }
                Action::SetTimer(at) => {
                    io.deadlines.cancel(running.membership_timer.take());
                    running.membership_timer = Some(io.deadlines.set(at, TimerEvent::Fleet));
                }
                Action::Log(text) => tracing::info!("{text}"),
                Action::PeerMessage { from, bytes } => {
                    events.push(FleetEvent::PeerMessage(PeerId(ordinal(&from) as u16), bytes))
                }
                Action::DutyMessage(from, message) => duty_messages.push((from, message)),
                Action::ViewChanged => {
                    view_changed = true;
                    let member_count = running.membership.member_count();
                    if member_count != running.member_count {
                        running.member_count = member_count;
                        events.push(FleetEvent::MemberCountChanged(member_count));
                    }
                }
            }
        }
        if view_changed {
            self.report_view_to_duties(io);
        }
        for (from, message) in duty_messages {
            self.handle_duties(duties::Event::MessageReceived { from: &from, message }, io);
        }
        events
    }

    pub fn handle_timer(&mut self, io: &mut IoContext) -> Vec<FleetEvent> {
        if let Some(running) = &mut self.running {
            running.membership_timer = None;
        }
        self.handle_membership(Event::TimerExpired, io)
    }

    /// Receives datagrams from other members, up to a limit, so that a flood does not delay the rest of the
    /// event loop.
    pub fn receive(&mut self, io: &mut IoContext) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1]; // one byte more shows that a datagram is too long
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let Some(running) = &self.running else { return events };
            match running.socket.recv_from(&mut buffer) {
                Ok((length, from)) => events
                    .extend(self.handle_membership(Event::DatagramReceived(&buffer[..length], from), io)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return events,
                // A member that is down is reported here, as ECONNREFUSED for an earlier message.
                Err(_) => {}
            }
        }
        io.deadlines.set(io.now, TimerEvent::Recheck(Owner::Fleet));
        events
    }

    /// Whether this process takes part in a fleet.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Sends a message to one of the present members, chosen by `member_index`.
    pub fn send_to_member(&mut self, member_index: usize, bytes: Vec<u8>, io: &mut IoContext) {
        self.handle_membership(Event::SendPeerMessage { member_index, bytes }, io);
    }

    /// Tells the other members that this one is leaving.
    pub fn leave(&mut self, io: &mut IoContext) {
        self.handle_duties(duties::Event::Leave, io);
        self.handle_membership(Event::Leave, io);
    }

    /// Stops without telling the other members, because the successor process is this member now.
    pub fn stop_for_successor(&mut self, io: &mut IoContext) {
        self.handle_duties(duties::Event::Leave, io);
        if let Some(mut running) = self.running.take() {
            io.deadlines.cancel(running.membership_timer);
            io.deadlines.cancel(running.duties_timer);
            let _ = io.registry.deregister(&mut running.socket);
            tracing::info!("the successor process is this member of the fleet now");
        }
    }

    pub fn view(&self, now: Time) -> Option<View> {
        self.running.as_ref().map(|running| running.membership.view(now))
    }

    /// The view as JSON, for operators.
    pub fn status_json(&self, now: Time) -> Option<String> {
        let view = self.view(now)?;
        let members = view.members.iter().map(|member| {
            serde_json::json!({
                "name": member.name, "address": member.address, "zone": member.zone,
                "state": member.state.name(), "incarnation": member.incarnation,
                "since_ms": member.state_age.ms().round(),
            })
        });
        let statuses = self
            .running
            .as_ref()
            .and_then(|running| running.duties.as_ref())
            .map(|duties| duties.statuses(now));
        let duties = statuses.unwrap_or_default().into_iter().map(|duty| {
            serde_json::json!({
                "name": duty.name, "holder": duty.holder, "term": duty.term, "held_here": duty.held_here,
                "left_ms": duty.remaining.ms().round(), "paused": duty.paused,
            })
        });
        let json = serde_json::json!({
            "fleet": view.fleet, "self": view.local_name, "members": members.collect::<Vec<_>>(),
            "alive": view.present, "expected": view.expected, "majority": view.has_majority,
            "counted": view.member_count, "kept_out": view.excluded, "duties": duties.collect::<Vec<_>>(),
        });
        Some(format!("{json}\n"))
    }

    /// The fleet's metrics, one on each line.
    pub fn metrics(&self, now: Time) -> String {
        let (Some(view), Some(running)) = (self.view(now), &self.running) else { return String::new() };
        let counts = running.membership.counts;
        let mut text = String::new();
        for (name, value) in [
            ("alive", view.present),
            ("expected", view.expected),
            ("counted", view.member_count),
            ("majority", usize::from(view.has_majority)),
            ("kept_out", usize::from(view.excluded)),
        ] {
            let _ = writeln!(text, "svc.fleet.{name}:{value}|g");
        }
        for (name, count) in [
            ("sent", counts.sent),
            ("heard", counts.received),
            ("foreign", counts.foreign),
            ("newer", counts.newer),
            ("garbled", counts.corrupted),
            ("unknown_kind", counts.unknown_kind),
            ("senseless", counts.invalid),
            ("other_fleet", counts.other_fleet),
            ("misdirected", counts.misdirected),
            ("too_many", counts.over_capacity),
            ("refuted", counts.refuted),
            ("held_dead", counts.declared_dead),
            ("slept", counts.pauses),
        ] {
            let _ = writeln!(text, "svc.fleet.{name}:{count}|c");
        }
        if let Some(duties) = &running.duties {
            let held = duties.statuses(now).iter().filter(|duty| duty.held_here).count();
            let _ = writeln!(text, "svc.fleet.duties_held:{held}|g");
            let counts = duties.counts;
            for (name, count) in [
                ("taken", counts.acquired),
                ("lost", counts.lost),
                ("given", counts.released),
                ("other_voters", counts.voter_mismatches),
            ] {
                let _ = writeln!(text, "svc.fleet.duties_{name}:{count}|c");
            }
        }
        text
    }
}
