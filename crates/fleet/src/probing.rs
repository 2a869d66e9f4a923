//! Failure detection: one member is probed per interval, in a random order in which all occur. If it does not
//! answer, three other members are asked to ping it before it becomes suspect.

use std::net::SocketAddr;

use sparlug::time::Span;

use crate::membership::{Action, Membership, TimerEvent, MAX_PIGGYBACKED, PROBE_INTERVAL};
use crate::wire::{Body, MemberRecord};

const DIRECT_ACK_TIMEOUT: Span = Span::from_millis(200); // then other members are asked to ping the target
const PROBE_TIMEOUT_RATIO: f64 = 0.9; // of the probe interval
const INDIRECT_PROBE_FANOUT: usize = 3;
const MAX_INDIRECT_PINGS: usize = 64;

#[derive(Debug)]
pub(crate) struct Probe {
    seq: u32,
    target: String,
    answered: bool,
    helpers_asked: usize,
    nacks: usize,
}

/// A ping on behalf of another member.
#[derive(Debug)]
pub(crate) struct IndirectPing {
    requester: SocketAddr,
    requester_seq: u32,
    target: String,
}

impl Membership {
    pub(crate) fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    pub(crate) fn probe_next(&mut self, actions: &mut Vec<Action>) {
        let interval = self.scaled_by_health(PROBE_INTERVAL);
        self.set_timer(interval, TimerEvent::Probe);
        // A probe that is still open was postponed because the process was not running.
        if self.probe.is_some() || self.is_excluded() {
            return;
        }
        let Some(target) = self.next_target() else { return };
        let seq = self.next_seq();
        let (answered, helpers_asked, nacks) = (false, 0, 0);
        self.probe = Some(Probe { seq, target: target.clone(), answered, helpers_asked, nacks });
        let to = target.clone();
        self.send_to_member(&target, Body::Ping { seq, to }, MAX_PIGGYBACKED, actions);
        let (direct_timeout, probe_timeout) =
            (self.scaled_by_health(DIRECT_ACK_TIMEOUT), interval.scaled(PROBE_TIMEOUT_RATIO));
        self.set_timer(direct_timeout, TimerEvent::IndirectProbe(seq));
        self.set_timer(probe_timeout, TimerEvent::ProbeEnd(seq));
    }

    fn next_target(&mut self) -> Option<String> {
        loop {
            if self.probe_order.is_empty() {
                let mut candidates = self.present_names();
                while !candidates.is_empty() {
                    let index = self.rng.rand_range(0..candidates.len() as u32) as usize;
                    self.probe_order.push(candidates.swap_remove(index));
                }
            }
            let next = self.probe_order.pop()?;
            if self.others.get(&next).is_some_and(|member| member.record.state.is_present()) {
                return Some(next);
            }
        }
    }

    /// The direct ping was not answered in time: asks other members to ping the target.
    pub(crate) fn probe_indirectly(&mut self, seq: u32, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_ref().filter(|probe| probe.seq == seq && !probe.answered) else {
            return;
        };
        let target = probe.target.clone();
        let Some(address) = self.others.get(&target).map(|member| member.record.address) else { return };
        let helpers = self.random_members(INDIRECT_PROBE_FANOUT, &target);
        if let Some(probe) = &mut self.probe {
            probe.helpers_asked = helpers.len();
        }
        for helper in helpers {
            self.send_to_member(
                &helper,
                Body::PingReq { seq, to: target.clone(), address },
                MAX_PIGGYBACKED,
                actions,
            );
        }
    }

    pub(crate) fn end_probe(&mut self, seq: u32, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take_if(|probe| probe.seq == seq) else { return };
        if probe.answered {
            return;
        }
        // Helpers that sent neither an ack nor a nack indicate that the fault is on this side.
        let silent = probe.helpers_asked - probe.nacks.min(probe.helpers_asked);
        self.degrade_health(if probe.helpers_asked == 0 { 1 } else { silent as u32 });
        self.suspect(&probe.target, self.local.generation as u32, actions);
        // The suspect learns of the suspicion from its accuser first.
        self.send_to_member(&probe.target, Body::Gossip, 0, actions);
    }

    pub(crate) fn receive_ack(&mut self, seq: u32, sender: &MemberRecord, actions: &mut Vec<Action>) {
        if self.receive_challenge_ack(seq, sender, actions) {
            return;
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && !probe.answered) {
            probe.answered = true;
            self.local_health = self.local_health.saturating_sub(1);
            return;
        }
        if self.indirect_pings.get(&seq).is_some_and(|ping| ping.target == sender.name) {
            if let Some(ping) = self.indirect_pings.remove(&seq) {
                self.send(
                    ping.requester,
                    Body::Ack { seq: ping.requester_seq },
                    MAX_PIGGYBACKED,
                    None,
                    actions,
                );
            }
        }
    }

    pub(crate) fn receive_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Pings a target on behalf of another member; requests of unknown senders are ignored.
    pub(crate) fn ping_indirectly(
        &mut self,
        requester: &MemberRecord,
        requester_seq: u32,
        to: String,
        address: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if !self.others.contains_key(&requester.name) || to == self.local.name {
            return;
        }
        while self.indirect_pings.len() >= MAX_INDIRECT_PINGS {
            self.indirect_pings.pop_first();
        }
        let seq = self.next_seq();
        self.indirect_pings
            .insert(seq, IndirectPing { requester: requester.address, requester_seq, target: to.clone() });
        self.send(address, Body::Ping { seq, to }, 0, None, actions);
        self.set_timer(DIRECT_ACK_TIMEOUT.scaled(0.8), TimerEvent::Nack(seq));
    }

    pub(crate) fn send_nack(&mut self, seq: u32, actions: &mut Vec<Action>) {
        // The entry stays, so that a late answer is still passed on until newer pings displace it.
        if let Some(ping) = self.indirect_pings.get(&seq) {
            let (to, seq) = (ping.requester, ping.requester_seq);
            self.send(to, Body::Nack { seq }, 0, None, actions);
        }
    }
}
