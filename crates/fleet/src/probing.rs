//! Probing: one member a beat, in a random order in which all come up; if it does not answer, three others are asked to
//! ping it before anything is held against it.

use std::net::SocketAddr;

use sparlug::time::Span;

use crate::membership::{Action, Due, Membership, BEAT, RIDERS};
use crate::wire::{Body, Entry};

const DIRECT: Span = Span::from_millis(200); // for an answer, before others are asked
const VERDICT: f64 = 0.9; // of a beat, until the verdict
const ASKED: usize = 3;
const RELAYS_MOST: usize = 64; // pings for others at a time

#[derive(Debug)]
pub(crate) struct Probe {
    seq: u32,
    target: String,
    answered: bool,
    asked: usize,
    nacks: usize,
}

/// A ping for another.
#[derive(Debug)]
pub(crate) struct Relay {
    origin: SocketAddr,
    seq: u32,
    target: String,
}

impl Membership {
    pub(crate) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    pub(crate) fn beat(&mut self, out: &mut Vec<Action>) {
        let beat = self.slowed(BEAT);
        self.set(beat, Due::Beat);
        // One that is still open was put off: the process had not run.
        if self.probe.is_some() || self.is_excluded() {
            return;
        }
        let Some(target) = self.next_target() else { return };
        let seq = self.next_seq();
        let (answered, asked, nacks) = (false, 0, 0);
        self.probe = Some(Probe { seq, target: target.clone(), answered, asked, nacks });
        let to = target.clone();
        self.send_to(&target, Body::Ping { seq, to }, RIDERS, out);
        let (direct, verdict) = (self.slowed(DIRECT), beat.scaled(VERDICT));
        self.set(direct, Due::Indirect(seq));
        self.set(verdict, Due::Verdict(seq));
    }

    fn next_target(&mut self) -> Option<String> {
        loop {
            if self.order.is_empty() {
                let mut all = self.there();
                while !all.is_empty() {
                    let place = self.rng.rand_range(0..all.len() as u32) as usize;
                    self.order.push(all.swap_remove(place));
                }
            }
            let next = self.order.pop()?;
            if self.others.get(&next).is_some_and(|member| member.entry.state.is_present()) {
                return Some(next);
            }
        }
    }

    /// No answer so far: others are asked.
    pub(crate) fn ask_others(&mut self, seq: u32, out: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_ref().filter(|probe| probe.seq == seq && !probe.answered) else {
            return;
        };
        let target = probe.target.clone();
        let Some(address) = self.others.get(&target).map(|member| member.entry.address) else { return };
        let others = self.some(ASKED, &target);
        if let Some(probe) = &mut self.probe {
            probe.asked = others.len();
        }
        for other in others {
            self.send_to(&other, Body::PingFor { seq, to: target.clone(), address }, RIDERS, out);
        }
    }

    pub(crate) fn verdict(&mut self, seq: u32, out: &mut Vec<Action>) {
        let Some(probe) = self.probe.take_if(|probe| probe.seq == seq) else { return };
        if probe.answered {
            return;
        }
        // Those that were asked and said nothing at all speak for the fault being here.
        let silent = probe.asked - probe.nacks.min(probe.asked);
        self.ail(if probe.asked == 0 { 1 } else { silent as u32 });
        self.suspect(&probe.target, self.me.generation as u32, out);
        // Whoever is accused hears of it from the accuser first.
        self.send_to(&probe.target, Body::Gossip, 0, out);
    }

    pub(crate) fn acked(&mut self, seq: u32, sender: &Entry, out: &mut Vec<Action>) {
        if self.challenged(seq, sender, out) {
            return;
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && !probe.answered) {
            probe.answered = true;
            self.health = self.health.saturating_sub(1);
            return;
        }
        if self.relays.get(&seq).is_some_and(|relay| relay.target == sender.name) {
            if let Some(relay) = self.relays.remove(&seq) {
                self.send(relay.origin, Body::Ack { seq: relay.seq }, RIDERS, None, out);
            }
        }
    }

    pub(crate) fn nacked(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Pings somebody for another member; strangers are not served.
    pub(crate) fn ping_for(
        &mut self,
        origin: &Entry,
        seq: u32,
        to: String,
        address: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if !self.others.contains_key(&origin.name) || to == self.me.name {
            return;
        }
        while self.relays.len() >= RELAYS_MOST {
            self.relays.pop_first();
        }
        let own = self.next_seq();
        self.relays.insert(own, Relay { origin: origin.address, seq, target: to.clone() });
        self.send(address, Body::Ping { seq: own, to }, 0, None, out);
        self.set(DIRECT.scaled(0.8), Due::Relay(own));
    }

    pub(crate) fn relay_late(&mut self, seq: u32, out: &mut Vec<Action>) {
        // A late answer is still passed on, until others take its place.
        if let Some(relay) = self.relays.get(&seq) {
            let (to, seq) = (relay.origin, relay.seq);
            self.send(to, Body::Nack { seq }, 0, None, out);
        }
    }
}
