//! How a member joins, exchanges its full state with others (anti-entropy), reconnects to members that were
//! declared dead, and leaves; and how conflicts between two processes with one name or address are resolved.

use std::net::SocketAddr;

use sparlug::time::Span;

use crate::membership::{Action, Membership, TimerEvent, PROBE_INTERVAL};
use crate::wire::{split_records, Body, MemberRecord, MemberState};

const STATE_EXCHANGE_INTERVAL: Span = Span::from_millis(10_000); // in a fleet of up to 32 members
const RECONNECT_INTERVAL: Span = Span::from_millis(1000);
const JOIN_RETRY_INTERVAL: Span = Span::from_millis(500);
const MAX_JOIN_BACKOFF_DOUBLINGS: u32 = 4;
const JOIN_FANOUT: usize = 3; // seeds per attempt
const ANNOUNCE_DELAY: Span = Span::from_millis(300); // if no seed answers
const CHALLENGE_TIMEOUT: Span = Span::from_millis(400);
const CHALLENGE_ATTEMPTS: u32 = 3;
const EXCLUDED_CHALLENGE_INTERVAL: Span = Span::from_millis(5000); // while the conflict persists
const LEAVE_FANOUT: usize = 8;

/// A conflict with another process that uses this process's name or address.
#[derive(Debug)]
pub(crate) struct IdentityConflict {
    other: MemberRecord,
    seq: u32,
    attempts: u32,
    /// The other process advertises this process's address under another name. The process that is reached at
    /// that address wins; if both are, the older one wins.
    over_address: bool,
    /// For a conflict over the address, since its last evaluation: the other process has answered at that
    /// address; this process's own ping, sent to that address, has come back to it.
    answered: bool,
    echoed: bool,
    /// The other process is running and wins: this one does not take part in the fleet.
    excludes_local: bool,
}

impl Membership {
    pub(crate) fn start(&mut self) {
        self.set_timer(Span::ZERO, TimerEvent::Join);
        self.set_timer(ANNOUNCE_DELAY, TimerEvent::Announce);
        // Spreads the probes of members that start at the same time.
        let first = PROBE_INTERVAL.scaled(f64::from(self.rng.rand_float()));
        self.set_timer(first, TimerEvent::Probe);
        self.set_timer(first + RECONNECT_INTERVAL, TimerEvent::Reconnect);
        let exchange = STATE_EXCHANGE_INTERVAL.scaled(0.5 + f64::from(self.rng.rand_float()));
        self.set_timer(exchange, TimerEvent::StateExchange);
    }

    pub(crate) fn is_excluded(&self) -> bool {
        self.conflict.as_ref().is_some_and(|conflict| conflict.excludes_local)
    }

    fn other_seeds(&self) -> Vec<SocketAddr> {
        let own = self.local.address;
        self.settings.seeds.iter().copied().filter(|seed| *seed != own).collect()
    }

    /// Requests the state of some seeds, with exponential backoff until one has answered.
    pub(crate) fn join(&mut self, actions: &mut Vec<Action>) {
        let mut seeds = self.other_seeds();
        if self.joined || seeds.is_empty() || self.is_excluded() {
            return;
        }
        while seeds.len() > JOIN_FANOUT {
            let index = self.rng.rand_range(0..seeds.len() as u32) as usize;
            seeds.swap_remove(index);
        }
        for seed in seeds {
            self.send(
                seed,
                Body::StateExchange { reply_requested: true, records: Vec::new() },
                0,
                None,
                actions,
            );
        }
        let backoff = f64::from(1 << self.join_attempts.min(MAX_JOIN_BACKOFF_DOUBLINGS))
            * (0.75 + 0.5 * f64::from(self.rng.rand_float()));
        self.join_attempts += 1;
        self.set_timer(JOIN_RETRY_INTERVAL.scaled(backoff), TimerEvent::Join);
    }

    /// From here on other members add this one, unless its identity is in conflict.
    pub(crate) fn announce(&mut self, actions: &mut Vec<Action>) {
        if self.announced || self.conflict.is_some() {
            return;
        }
        self.announced = true;
        self.spread_self(actions);
    }

    /// Records of all known members, including this proxy once it has announced itself.
    fn full_state(&self) -> Vec<MemberRecord> {
        let local = Some(self.local.clone()).filter(|_| self.announced);
        let others = self.others.values().map(|member| member.record.clone());
        local.into_iter().chain(others).collect()
    }

    fn send_full_state(&mut self, to: SocketAddr, reply_requested: bool, actions: &mut Vec<Action>) {
        let envelope = self.envelope(Body::StateExchange { reply_requested, records: Vec::new() });
        for (n, records) in split_records(&envelope, &self.full_state()).into_iter().enumerate() {
            self.send(
                to,
                Body::StateExchange { reply_requested: reply_requested && n == 0, records },
                0,
                None,
                actions,
            );
        }
    }

    /// Exchanges the full state with one random member. The interval grows with the fleet, so that the
    /// traffic of each member grows more slowly than the fleet.
    pub(crate) fn exchange_state(&mut self, actions: &mut Vec<Action>) {
        let scale = (self.present() as f64 / 32.0).log2().max(0.0) + 1.0;
        let after = STATE_EXCHANGE_INTERVAL.scaled(scale * (0.75 + 0.5 * f64::from(self.rng.rand_float())));
        self.set_timer(after, TimerEvent::StateExchange);
        if self.is_excluded() {
            return;
        }
        if let Some(to) = self.random_members(1, "").pop().and_then(|name| self.others.get(&name)) {
            let to = to.record.address;
            self.send_full_state(to, true, actions);
        }
    }

    /// Requests the state of a dead member or of a seed that is not a known member. Without this, two sides
    /// of a partition that declared each other dead would never find each other again.
    pub(crate) fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let after = RECONNECT_INTERVAL.scaled(0.75 + 0.5 * f64::from(self.rng.rand_float()));
        self.set_timer(after, TimerEvent::Reconnect);
        if self.is_excluded() || self.others.is_empty() {
            return;
        }
        let dead = self.others.values().filter(|member| member.record.state == MemberState::Dead);
        let mut targets: Vec<SocketAddr> = dead.map(|member| member.record.address).collect();
        let known = |seed: &SocketAddr| self.others.values().any(|member| member.record.address == *seed);
        targets.extend(self.other_seeds().into_iter().filter(|seed| !known(seed)));
        if !targets.is_empty() {
            let to = targets[self.rng.rand_range(0..targets.len() as u32) as usize];
            self.reconnect_target = Some(to);
            self.send(
                to,
                Body::StateExchange { reply_requested: true, records: Vec::new() },
                0,
                None,
                actions,
            );
        }
    }

    pub(crate) fn receive_state(
        &mut self,
        sender: MemberRecord,
        reply_requested: bool,
        records: Vec<MemberRecord>,
        actions: &mut Vec<Action>,
    ) {
        let was_present =
            self.others.get(&sender.name).is_some_and(|member| member.record.state.is_present());
        let empty = records.is_empty();
        for record in records {
            if record.name != sender.name || record.generation != sender.generation {
                self.merge_update(record, false, actions);
            }
        }
        if reply_requested {
            self.send_full_state(sender.address, false, actions);
        } else if !empty || sender.incarnation > 0 {
            self.joined = true;
            // A dead or unknown member that answers has a different view of other members too: it gets the
            // full state.
            if self.reconnect_target.take_if(|to| *to == sender.address).is_some()
                && !was_present
                && self.announced
            {
                self.send_full_state(sender.address, false, actions);
            }
            if !self.announced && self.conflict.is_none() {
                self.set_timer(Span::from_millis(100), TimerEvent::Announce);
            }
        }
    }

    pub(crate) fn leave(&mut self, actions: &mut Vec<Action>) {
        if self.leaving || !self.announced {
            return;
        }
        self.leaving = true;
        self.local.state = MemberState::Left;
        self.queue_update(self.local.clone());
        for name in self.random_members(LEAVE_FANOUT, "") {
            let local = Some(self.local.clone());
            if let Some(to) = self.others.get(&name).map(|member| member.record.address) {
                self.send(to, Body::Gossip, 0, local, actions);
            }
        }
    }

    // Conflicts between two processes with one name or address.

    /// Another process reportedly uses this process's name or address: checks whether it is running.
    pub(crate) fn open_conflict(&mut self, other: &MemberRecord, actions: &mut Vec<Action>) {
        if self.conflict.is_some() || other.generation == self.local.generation || self.leaving {
            return;
        }
        let (seq, over_address) = (self.next_seq(), other.name != self.local.name);
        let (answered, echoed, excludes_local) = (false, false, false);
        self.conflict = Some(IdentityConflict {
            other: other.clone(),
            seq,
            attempts: 0,
            over_address,
            answered,
            echoed,
            excludes_local,
        });
        self.challenge(actions);
    }

    /// Evaluates a conflict over the address, after pings to the other process and to this one were sent
    /// there.
    fn evaluate_address_conflict(&mut self, actions: &mut Vec<Action>) {
        let generation = self.local.generation;
        let Some(conflict) =
            self.conflict.as_mut().filter(|conflict| conflict.over_address && conflict.answered)
        else {
            return;
        };
        // Reachability comes before age: otherwise one wrong advertised address in one configuration could
        // exclude the process that really is at that address.
        let other_wins = !conflict.echoed || conflict.other.generation < generation;
        if !conflict.echoed && conflict.attempts < CHALLENGE_ATTEMPTS {
            return; // the ping to this process may have been lost
        }
        (conflict.attempts, conflict.answered, conflict.echoed) = (0, false, false);
        if other_wins && !conflict.excludes_local {
            let text = format!(
                "{} is reached at {}, which this process advertises: this process takes no part in the fleet",
                conflict.other.name, conflict.other.address
            );
            conflict.excludes_local = true;
            self.exclude_local(text, actions);
        } else if !other_wins {
            self.conflict = None;
        }
    }

    /// Stops taking part in the fleet. After a conflict over the address, the seeds and some members are told
    /// that this process left, so that the fleet does not have to wait for a suspicion to end.
    fn exclude_local(&mut self, text: String, actions: &mut Vec<Action>) {
        if self.announced && self.conflict.as_ref().is_some_and(|conflict| conflict.over_address) {
            let left = MemberRecord { state: MemberState::Left, ..self.local.clone() };
            let names = self.random_members(LEAVE_FANOUT, "").into_iter();
            let mut to: Vec<SocketAddr> =
                names.filter_map(|name| Some(self.others.get(&name)?.record.address)).collect();
            to.extend(self.other_seeds());
            for to in to {
                self.send(to, Body::Gossip, 0, Some(left.clone()), actions);
            }
            self.local.incarnation += 1; // for when it takes part again
        }
        self.announced = false;
        self.probe = None;
        self.log(actions, text);
    }

    /// A message of this process has come back to it.
    pub(crate) fn receive_own_ping(&mut self, body: &Body) {
        let Body::Ping { seq, to } = body else { return };
        if let Some(conflict) =
            self.conflict.as_mut().filter(|conflict| conflict.seq == *seq && *to == self.local.name)
        {
            conflict.echoed = true;
        }
    }

    /// A process that requests the state gets it at its advertised address. If another member is at that
    /// address, the sender is told so at the source address of its request: otherwise it would never receive
    /// an answer and would not know why.
    pub(crate) fn report_address_holder(
        &mut self,
        sender: &MemberRecord,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let holds_address =
            |record: &MemberRecord| record.address == sender.address && record.state.is_present();
        let mut others = self.others.values().map(|member| &member.record);
        if from == sender.address {
            return;
        }
        if let Some(other) = others.find(|other| holds_address(other) && other.name != sender.name).cloned() {
            self.send(from, Body::Gossip, 0, Some(other), actions);
        }
    }

    /// Handles a message of another process that advertises this process's address. Answers sent to that
    /// address would come back here, so the sender is notified at its source address which member is reached
    /// there, at most once per probe interval.
    pub(crate) fn receive_from_address_claimant(
        &mut self,
        sender: &MemberRecord,
        body: &Body,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if sender.incarnation > 0 && sender.state.is_present() {
            self.open_conflict(sender, actions);
        }
        match body {
            Body::Ping { seq, to } if *to == self.local.name => {
                self.send(from, Body::Ack { seq: *seq }, 0, None, actions)
            }
            Body::Ack { seq } => {
                self.receive_challenge_ack(*seq, sender, actions);
            }
            _ => {
                let (generation, told_at) = self.address_claimant;
                if generation == sender.generation && self.now.since(told_at) < PROBE_INTERVAL {
                    return;
                }
                self.address_claimant = (sender.generation, self.now);
                let local = Some(self.local.clone()).filter(|_| self.announced);
                self.send(from, Body::Gossip, 0, local, actions);
                if generation != sender.generation {
                    let (name, address) = (&sender.name, sender.address);
                    let text = format!(
                        "{name} advertises {address}, which is the address of this process, {}",
                        self.local.name
                    );
                    self.log(actions, text);
                }
            }
        }
    }

    /// Pings the other process of a conflict once more, or closes the conflict if it does not answer.
    pub(crate) fn challenge(&mut self, actions: &mut Vec<Action>) {
        self.evaluate_address_conflict(actions);
        let Some(conflict) = &mut self.conflict else { return self.announce_again(actions) };
        conflict.attempts += 1;
        let over_address = conflict.over_address;
        let (seq, attempts, excludes_local) = (conflict.seq, conflict.attempts, conflict.excludes_local);
        let (to, name, incarnation) =
            (conflict.other.address, conflict.other.name.clone(), conflict.other.incarnation);
        if attempts > CHALLENGE_ATTEMPTS {
            // The claim was about an earlier process of this member, or about one that has terminated since.
            self.conflict = None;
            if name == self.local.name {
                self.local.incarnation = self.local.incarnation.max(incarnation + 1);
            }
            if excludes_local {
                self.log(
                    actions,
                    format!("{name} no longer answers at {to}: this process takes part in the fleet again"),
                );
                self.set_timer(Span::ZERO, TimerEvent::Join);
            }
            return self.announce_again(actions);
        }
        self.send(to, Body::Ping { seq, to: name }, 0, None, actions);
        if over_address {
            let own_name = self.local.name.clone();
            self.send(to, Body::Ping { seq, to: own_name }, 0, None, actions);
        }
        self.set_timer(
            if excludes_local { EXCLUDED_CHALLENGE_INTERVAL } else { CHALLENGE_TIMEOUT },
            TimerEvent::Challenge,
        );
    }

    fn announce_again(&mut self, actions: &mut Vec<Action>) {
        if self.announced {
            return self.spread_self(actions);
        }
        self.announce(actions);
    }

    /// Handles an ack if it belongs to a challenge, and returns whether it does. The younger process is
    /// excluded.
    pub(crate) fn receive_challenge_ack(
        &mut self,
        seq: u32,
        sender: &MemberRecord,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(conflict) = self.conflict.as_mut().filter(|conflict| conflict.seq == seq) else {
            return false;
        };
        if sender.generation != conflict.other.generation {
            return true;
        }
        if conflict.over_address {
            conflict.answered = true;
            return true;
        }
        conflict.attempts = 0;
        if conflict.excludes_local {
            return true;
        }
        let (name, address) = (conflict.other.name.clone(), sender.address);
        if conflict.other.generation > self.local.generation {
            // The other process is younger and will find that out itself; this one overrides its claims.
            if name == self.local.name {
                self.local.incarnation = self.local.incarnation.max(conflict.other.incarnation + 1);
            }
            self.conflict = None;
            self.log(actions, format!("a younger process at {address} claims {name}"));
            self.announce_again(actions);
            return true;
        }
        conflict.excludes_local = true;
        let text =
            format!("{name} at {address} is another, older process: this process takes no part in the fleet");
        self.exclude_local(text, actions);
        true
    }

    /// An excluded process only listens for answers to its challenges.
    pub(crate) fn receive_while_excluded(
        &mut self,
        sender: &MemberRecord,
        body: &Body,
        actions: &mut Vec<Action>,
    ) {
        if let Body::Ack { seq } = body {
            self.receive_challenge_ack(*seq, sender, actions);
        }
    }
}
