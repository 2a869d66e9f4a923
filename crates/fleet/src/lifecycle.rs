//! Coming in and finding each other again: joining by seeds, whole tables now and then, reaching for those that are held
//! dead; leaving; and what becomes of two that claim one name or address.

use std::net::SocketAddr;

use sparlug::time::Span;

use crate::membership::{Action, Due, Membership, BEAT};
use crate::wire::{pieces, Body, Entry, State};

const EXCHANGE: Span = Span::from_millis(10_000); // between two whole tables, in a fleet of up to 32
const REACH: Span = Span::from_millis(1000);
const JOIN: Span = Span::from_millis(500);
const JOIN_DOUBLINGS: u32 = 4;
const JOIN_TO: usize = 3; // seeds at a time
const SETTLE: Span = Span::from_millis(300); // until it announces itself, if nobody answers
const CHALLENGE: Span = Span::from_millis(400); // for an answer to whether another process is there
const CHALLENGES: u32 = 3;
const OUTSIDE: Span = Span::from_millis(5000); // between two looks whether a claim is still there
const LEAVE_TO: usize = 8;

/// Another process that has the own name or address.
#[derive(Debug)]
pub(crate) struct Claim {
    other: Entry,
    seq: u32,
    asked: u32,
    /// It has the own address under another name; then who is reached there counts, and only if both are, who is older.
    address: bool,
    /// Of a claim on the address, since it was last judged: the other one has answered there; this one's own ping, sent
    /// there, has come back to it.
    answered: bool,
    echoed: bool,
    /// It is there, and goes before: this one takes no part.
    outside: bool,
}

impl Membership {
    pub(crate) fn start(&mut self) {
        self.set(Span::ZERO, Due::Join);
        self.set(SETTLE, Due::Announce);
        // Beats of all that start together are spread.
        let first = BEAT.scaled(f64::from(self.rng.rand_float()));
        self.set(first, Due::Beat);
        self.set(first + REACH, Due::Reach);
        let exchange = EXCHANGE.scaled(0.5 + f64::from(self.rng.rand_float()));
        self.set(exchange, Due::Exchange);
    }

    pub(crate) fn is_excluded(&self) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.outside)
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.me.address;
        self.settings.seeds.iter().copied().filter(|seed| *seed != own).collect()
    }

    /// Asks some seeds for what they know, until one has answered.
    pub(crate) fn join(&mut self, out: &mut Vec<Action>) {
        let mut seeds = self.seeds();
        if self.joined || seeds.is_empty() || self.is_excluded() {
            return;
        }
        while seeds.len() > JOIN_TO {
            let place = self.rng.rand_range(0..seeds.len() as u32) as usize;
            seeds.swap_remove(place);
        }
        for seed in seeds {
            self.send(seed, Body::Table { ask: true, entries: Vec::new() }, 0, None, out);
        }
        let again =
            f64::from(1 << self.joins.min(JOIN_DOUBLINGS)) * (0.75 + 0.5 * f64::from(self.rng.rand_float()));
        self.joins += 1;
        self.set(JOIN.scaled(again), Due::Join);
    }

    /// From here on others hold it for a member, unless its name is in question.
    pub(crate) fn announce(&mut self, out: &mut Vec<Action>) {
        if self.announced || self.claim.is_some() {
            return;
        }
        self.announced = true;
        self.spread_me(out);
    }

    /// All that is held, with the proxy itself.
    fn whole(&self) -> Vec<Entry> {
        let own = Some(self.me.clone()).filter(|_| self.announced);
        let others = self.others.values().map(|member| member.entry.clone());
        own.into_iter().chain(others).collect()
    }

    fn send_table(&mut self, to: SocketAddr, ask: bool, out: &mut Vec<Action>) {
        let bare = self.bare(Body::Table { ask, entries: Vec::new() });
        for (n, entries) in pieces(&bare, &self.whole()).into_iter().enumerate() {
            self.send(to, Body::Table { ask: ask && n == 0, entries }, 0, None, out);
        }
    }

    /// Sends its whole table to one member, and asks for that one's. Seldomer in a larger fleet, so that what each sends
    /// a second grows more slowly than the fleet.
    pub(crate) fn exchange(&mut self, out: &mut Vec<Action>) {
        let scale = (self.alive() as f64 / 32.0).log2().max(0.0) + 1.0;
        let after = EXCHANGE.scaled(scale * (0.75 + 0.5 * f64::from(self.rng.rand_float())));
        self.set(after, Due::Exchange);
        if self.is_excluded() {
            return;
        }
        if let Some(to) = self.some(1, "").pop().and_then(|name| self.others.get(&name)) {
            let to = to.entry.address;
            self.send_table(to, true, out);
        }
    }

    /// Asks one of those that are held dead, or a seed that is not there: guards against two sides of a partition never
    /// finding each other again.
    pub(crate) fn reach(&mut self, out: &mut Vec<Action>) {
        let after = REACH.scaled(0.75 + 0.5 * f64::from(self.rng.rand_float()));
        self.set(after, Due::Reach);
        if self.is_excluded() || self.others.is_empty() {
            return;
        }
        let dead = self.others.values().filter(|member| member.entry.state == State::Dead);
        let mut all: Vec<SocketAddr> = dead.map(|member| member.entry.address).collect();
        let known = |seed: &SocketAddr| self.others.values().any(|member| member.entry.address == *seed);
        all.extend(self.seeds().into_iter().filter(|seed| !known(seed)));
        if !all.is_empty() {
            let to = all[self.rng.rand_range(0..all.len() as u32) as usize];
            self.reached = Some(to);
            self.send(to, Body::Table { ask: true, entries: Vec::new() }, 0, None, out);
        }
    }

    pub(crate) fn table(&mut self, sender: Entry, ask: bool, entries: Vec<Entry>, out: &mut Vec<Action>) {
        let was_there = self.others.get(&sender.name).is_some_and(|member| member.entry.state.is_present());
        let bare = entries.is_empty();
        for entry in entries {
            if entry.name != sender.name || entry.generation != sender.generation {
                self.hear(entry, false, out);
            }
        }
        if ask {
            self.send_table(sender.address, false, out);
        } else if !bare || sender.incarnation > 0 {
            self.joined = true;
            // Who was held dead and answers holds others otherwise too: it gets all that is held here.
            if self.reached.take_if(|to| *to == sender.address).is_some() && !was_there && self.announced {
                self.send_table(sender.address, false, out);
            }
            if !self.announced && self.claim.is_none() {
                self.set(Span::from_millis(100), Due::Announce);
            }
        }
    }

    pub(crate) fn leave(&mut self, out: &mut Vec<Action>) {
        if self.leaving || !self.announced {
            return;
        }
        self.leaving = true;
        self.me.state = State::Left;
        self.spread(self.me.clone());
        for name in self.some(LEAVE_TO, "") {
            let me = Some(self.me.clone());
            if let Some(to) = self.others.get(&name).map(|member| member.entry.address) {
                self.send(to, Body::Gossip, 0, me, out);
            }
        }
    }

    // Two that claim one name or address.

    /// Hears of another process with the own name, or the own address: is it there?
    pub(crate) fn contest(&mut self, other: &Entry, out: &mut Vec<Action>) {
        if self.claim.is_some() || other.generation == self.me.generation || self.leaving {
            return;
        }
        let (seq, address) = (self.next_seq(), other.name != self.me.name);
        let (answered, echoed, outside) = (false, false, false);
        self.claim = Some(Claim { other: other.clone(), seq, asked: 0, address, answered, echoed, outside });
        self.challenge(out);
    }

    /// Judges a claim on the own address, after the other one was asked there and oneself as well.
    fn judge_address(&mut self, out: &mut Vec<Action>) {
        let generation = self.me.generation;
        let Some(claim) = self.claim.as_mut().filter(|claim| claim.address && claim.answered) else { return };
        // Guards against one wrong line in one configuration shutting out the process that is reached there.
        let goes_before = !claim.echoed || claim.other.generation < generation;
        if !claim.echoed && claim.asked < CHALLENGES {
            return; // its own ping may have been lost
        }
        (claim.asked, claim.answered, claim.echoed) = (0, false, false);
        if goes_before && !claim.outside {
            let text = format!(
                "{} is reached at {}, which this process tells others as its own: it takes no part in the fleet",
                claim.other.name, claim.other.address
            );
            claim.outside = true;
            self.keep_out(text, out);
        } else if !goes_before {
            self.claim = None;
        }
    }

    /// Takes no part from here on. Others that were told of it need not wait for it.
    fn keep_out(&mut self, text: String, out: &mut Vec<Action>) {
        if self.announced && self.claim.as_ref().is_some_and(|claim| claim.address) {
            let left = Entry { state: State::Left, ..self.me.clone() };
            let there = self.some(LEAVE_TO, "").into_iter();
            let mut to: Vec<SocketAddr> =
                there.filter_map(|name| Some(self.others.get(&name)?.entry.address)).collect();
            to.extend(self.seeds());
            for to in to {
                self.send(to, Body::Gossip, 0, Some(left.clone()), out);
            }
            self.me.incarnation += 1; // for when it takes part again
        }
        self.announced = false;
        self.probe = None;
        self.say(out, text);
    }

    /// A message of one's own has come back.
    pub(crate) fn echoed(&mut self, body: &Body) {
        let Body::Ping { seq, to } = body else { return };
        if let Some(claim) = self.claim.as_mut().filter(|claim| claim.seq == *seq && *to == self.me.name) {
            claim.echoed = true;
        }
    }

    /// One that asks for the table gets it at the address that it tells others. Where another member is there, it is told so
    /// by the way that its message came: guards against one that never hears an answer and does not know why.
    pub(crate) fn tell_who_is_there(&mut self, sender: &Entry, from: SocketAddr, out: &mut Vec<Action>) {
        let there = |entry: &Entry| entry.address == sender.address && entry.state.is_present();
        let mut others = self.others.values().map(|member| &member.entry);
        if from == sender.address {
            return;
        }
        if let Some(other) = others.find(|other| there(other) && other.name != sender.name).cloned() {
            self.send(from, Body::Gossip, 0, Some(other), out);
        }
    }

    /// Hears from one that says it is at the own address. Answers sent there would come back: it is told, by the way that
    /// its message came, who is reached there, at most once a beat.
    pub(crate) fn heard_namesake(
        &mut self,
        sender: &Entry,
        body: &Body,
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if sender.incarnation > 0 && sender.state.is_present() {
            self.contest(sender, out);
        }
        match body {
            Body::Ping { seq, to } if *to == self.me.name => {
                self.send(from, Body::Ack { seq: *seq }, 0, None, out)
            }
            Body::Ack { seq } => {
                self.challenged(*seq, sender, out);
            }
            _ => {
                let (generation, told) = self.namesake;
                if generation == sender.generation && self.now.since(told) < BEAT {
                    return;
                }
                self.namesake = (sender.generation, self.now);
                let me = Some(self.me.clone()).filter(|_| self.announced);
                self.send(from, Body::Gossip, 0, me, out);
                if generation != sender.generation {
                    let (name, address) = (&sender.name, sender.address);
                    let text = format!(
                        "{name} tells others that it is at {address}, the address of this process, which is {}",
                        self.me.name
                    );
                    self.say(out, text);
                }
            }
        }
    }

    /// Asks the other process once more, or gives it up.
    pub(crate) fn challenge(&mut self, out: &mut Vec<Action>) {
        self.judge_address(out);
        let Some(claim) = &mut self.claim else { return self.announce_again(out) };
        claim.asked += 1;
        let address = claim.address;
        let (seq, asked, outside) = (claim.seq, claim.asked, claim.outside);
        let (to, name, incarnation) =
            (claim.other.address, claim.other.name.clone(), claim.other.incarnation);
        if asked > CHALLENGES {
            // Nobody is there: an earlier life, or one that has gone since.
            self.claim = None;
            if name == self.me.name {
                self.me.incarnation = self.me.incarnation.max(incarnation + 1);
            }
            if outside {
                self.say(out, format!("nobody claims {name} any more: it takes part again"));
                self.set(Span::ZERO, Due::Join);
            }
            return self.announce_again(out);
        }
        self.send(to, Body::Ping { seq, to: name }, 0, None, out);
        if address {
            let own = self.me.name.clone();
            self.send(to, Body::Ping { seq, to: own }, 0, None, out);
        }
        self.set(if outside { OUTSIDE } else { CHALLENGE }, Due::Challenge);
    }

    fn announce_again(&mut self, out: &mut Vec<Action>) {
        if self.announced {
            return self.spread_me(out);
        }
        self.announce(out);
    }

    /// Whether an answer came from the other process of a claim. The younger one keeps out.
    pub(crate) fn challenged(&mut self, seq: u32, sender: &Entry, out: &mut Vec<Action>) -> bool {
        let Some(claim) = self.claim.as_mut().filter(|claim| claim.seq == seq) else { return false };
        if sender.generation != claim.other.generation {
            return true;
        }
        if claim.address {
            claim.answered = true;
            return true;
        }
        claim.asked = 0;
        if claim.outside {
            return true;
        }
        let (name, address) = (claim.other.name.clone(), sender.address);
        if claim.other.generation > self.me.generation {
            // It is the younger one, and finds out itself; what it has claimed is overruled.
            if name == self.me.name {
                self.me.incarnation = self.me.incarnation.max(claim.other.incarnation + 1);
            }
            self.claim = None;
            self.say(out, format!("a younger process at {address} claims {name}"));
            self.announce_again(out);
            return true;
        }
        claim.outside = true;
        let text = format!(
            "{name} at {address} is another process that is older: this one takes no part in the fleet"
        );
        self.keep_out(text, out);
        true
    }

    /// What one hears that keeps out.
    pub(crate) fn heard_outside(&mut self, sender: &Entry, body: &Body, out: &mut Vec<Action>) {
        if let Body::Ack { seq } = body {
            self.challenged(*seq, sender, out);
        }
    }
}
