//! Claims of members, weighed against what is held: of two the one with the higher incarnation holds, and of two with the
//! same the graver one. Nobody but the member itself raises its incarnation, which is how it speaks up.

use std::collections::BTreeSet;

use sparlug::time::{Span, Time};

use crate::membership::{Action, Due, Member, Membership, SeededDefect, BEAT, GOSSIP_TO, MEMBERS_MOST};
use crate::wire::{Body, Entry, State};

const SUSPECT_LEAST: f64 = 2.5; // beats that a suspicion lasts at the least, for each tenfold of the fleet
const SUSPECT_MOST: f64 = 6.0; // times as long, while nobody else confirms it
const CONFIRM: usize = 3; // others whose word makes it last no longer than the least
const LAST_WORD: Span = Span::from_millis(400); // for who is told by oneself that it is about to be held dead
const FORGET: Span = Span::from_millis(600_000); // the dead, who are reached for until then
const FORGET_LEFT: Span = Span::from_millis(60_000);

#[derive(Debug)]
pub(crate) struct Suspicion {
    pub began: Time,
    accusers: BTreeSet<u32>,
    pub until: Time,
    /// It was told by this proxy itself, shortly before the end.
    pub warned: bool,
}

impl Membership {
    /// Weighs a claim against what is held. `direct`: the member itself has just said it.
    pub(crate) fn hear(&mut self, claim: Entry, direct: bool, out: &mut Vec<Action>) {
        if claim.name == self.me.name {
            return self.hear_of_me(claim, out);
        }
        if claim.address == self.me.address && claim.state.is_present() {
            self.contest(&claim, out);
            // Who is reached at the own address is not reached by this process: it is no member to probe.
            if !self.others.contains_key(&claim.name) {
                return;
            }
        }
        let Some(held) = self.others.get(&claim.name).map(|member| member.entry.clone()) else {
            // Who is gone and was never known need not be.
            if claim.state.is_present() {
                self.take(claim.clone(), out);
                if claim.state == State::Suspect {
                    self.suspect(&claim.name, claim.by, out);
                }
            }
            return;
        };
        let newer = claim.incarnation > held.incarnation;
        let same = claim.incarnation == held.incarnation;
        match (claim.state, held.state) {
            (State::Alive, _) if newer => self.take(claim, out),
            // It woke, or was cut off, and does not know how it is held: it is told, and speaks up.
            (State::Alive, State::Dead) if direct && self.may_tell(&claim.name) => {
                let entry = Some(held);
                self.send(claim.address, Body::Gossip, 0, entry, out);
            }
            (State::Suspect, _) if newer => {
                self.take(Entry { state: State::Alive, ..claim.clone() }, out);
                self.suspect(&claim.name, claim.by, out);
            }
            (State::Suspect, State::Alive | State::Suspect) if same => {
                self.suspect(&claim.name, claim.by, out)
            }
            (State::Dead, State::Suspect) if newer || same => {
                self.adopt(&claim);
                self.hold_dead(&claim.name, out);
            }
            // Nobody had suspected it here: it has the time to speak up that it would have had.
            (State::Dead, State::Alive) if newer || same => {
                self.adopt(&claim);
                for by in [claim.by, 1, 2, 3] {
                    self.suspect(&claim.name, by, out);
                }
            }
            (State::Left, State::Alive | State::Suspect | State::Dead) if newer || same => {
                self.adopt(&claim);
                self.leave_be(&claim.name, out);
            }
            _ => {}
        }
    }

    /// Guards against two that hold each other dead answering each other without an end.
    fn may_tell(&mut self, name: &str) -> bool {
        let now = self.now;
        let member = self.others.get_mut(name).filter(|member| now.since(member.told) >= BEAT);
        member.map(|member| member.told = now).is_some()
    }

    fn adopt(&mut self, claim: &Entry) {
        if let Some(member) = self.others.get_mut(&claim.name) {
            member.entry.incarnation = member.entry.incarnation.max(claim.incarnation);
        }
    }

    /// Takes a member in, or back.
    fn take(&mut self, claim: Entry, out: &mut Vec<Action>) {
        let entry = Entry { state: State::Alive, by: 0, ..claim };
        let known = self.others.get(&entry.name).map(|member| member.entry.state);
        if known.is_none() && self.others.len() >= MEMBERS_MOST {
            self.counts.over_capacity += 1;
            return;
        }
        if known.is_none_or(|state| state != State::Alive) {
            let before = known.map_or("new", State::name);
            self.say(out, format!("member {} at {} is there ({before} before)", entry.name, entry.address));
        }
        if known.is_none_or(|state| !state.is_present()) {
            let place = self.rng.rand_range(0..self.order.len() as u32 + 1) as usize;
            self.order.insert(place, entry.name.clone());
        }
        let since = self
            .others
            .get(&entry.name)
            .filter(|_| known == Some(State::Alive))
            .map_or(self.now, |m| m.since);
        self.others.insert(
            entry.name.clone(),
            Member { entry: entry.clone(), since, suspicion: None, told: Time::ORIGIN },
        );
        if known != Some(State::Alive) {
            self.recount();
        }
        self.spread(entry);
    }

    /// How long a suspicion lasts that so many have confirmed, beyond the one that raised it.
    fn lasts(&self, confirmed: usize) -> Span {
        let alive = self.alive();
        let least = BEAT.scaled(SUSPECT_LEAST * (alive as f64).log10().max(1.0));
        let wanted = CONFIRM.min(alive.saturating_sub(2));
        if wanted == 0 {
            return least;
        }
        let part = ((confirmed + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        least.scaled(SUSPECT_MOST - (SUSPECT_MOST - 1.0) * part.min(1.0))
    }

    /// `by` accuses a member that is there.
    pub(crate) fn suspect(&mut self, name: &str, by: u32, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(member) = self.others.get_mut(name).filter(|member| member.entry.state.is_present()) else {
            return;
        };
        let first = member.entry.state == State::Alive;
        if first {
            (member.entry.state, member.since) = (State::Suspect, now);
            let accusers = BTreeSet::new();
            member.suspicion = Some(Suspicion { began: now, accusers, until: now, warned: false });
        }
        let Some(suspicion) = &mut member.suspicion else { return };
        if suspicion.accusers.len() > CONFIRM || !suspicion.accusers.insert(by) {
            return;
        }
        let (confirmed, began) = (suspicion.accusers.len() - 1, suspicion.began);
        let entry = Entry { by, ..member.entry.clone() };
        let lasts = self.lasts(confirmed);
        if let Some(suspicion) = self.others.get_mut(name).and_then(|member| member.suspicion.as_mut()) {
            suspicion.until = if suspicion.warned { suspicion.until } else { began + lasts };
        }
        let left = (began + lasts).since(now);
        self.set(left, Due::Suspicion(name.to_string()));
        self.spread(entry);
        if first {
            self.recount();
            self.say(out, format!("member {name} is suspected"));
        }
    }

    pub(crate) fn suspicion_over(&mut self, name: &str, out: &mut Vec<Action>) {
        let now = self.now;
        let suspicion = self.others.get_mut(name).and_then(|member| member.suspicion.as_mut());
        let Some(suspicion) = suspicion.filter(|suspicion| suspicion.until <= now) else { return };
        if suspicion.warned {
            return self.hold_dead(name, out);
        }
        // News of it may never have come there: guards against one that is there being held dead unheard.
        (suspicion.warned, suspicion.until) = (true, now + LAST_WORD);
        self.set(LAST_WORD, Due::Suspicion(name.to_string()));
        self.send_to(name, Body::Gossip, 0, out);
    }

    fn hold_dead(&mut self, name: &str, out: &mut Vec<Action>) {
        self.counts.declared_dead += 1;
        self.end(name, State::Dead, FORGET);
        self.say(out, format!("member {name} is held dead"));
    }

    fn leave_be(&mut self, name: &str, out: &mut Vec<Action>) {
        self.end(name, State::Left, FORGET_LEFT);
        self.say(out, format!("member {name} has left"));
    }

    fn end(&mut self, name: &str, state: State, forget: Span) {
        let Some(member) = self.others.get_mut(name) else { return };
        (member.entry.state, member.since, member.suspicion) = (state, self.now, None);
        let entry = Entry { by: self.me.generation as u32, ..member.entry.clone() };
        self.set(forget, Due::Forget(name.to_string(), entry.incarnation));
        self.order.retain(|other| other != name);
        self.spread(entry);
        self.recount();
    }

    /// Others hold something of this proxy: what is wrong is set right.
    fn hear_of_me(&mut self, claim: Entry, out: &mut Vec<Action>) {
        if claim.generation != self.me.generation {
            if claim.state.is_present() && claim.address != self.me.address {
                return self.contest(&claim, out);
            }
            if self.settings.seeded_defect == Some(SeededDefect::LostIncarnation) {
                return;
            }
            // An earlier life of one's own.
            if claim.incarnation >= self.me.incarnation {
                self.me.incarnation = claim.incarnation + 1;
                self.spread_me(out);
            }
            return;
        }
        let against = matches!(claim.state, State::Suspect | State::Dead | State::Left) && !self.leaving;
        if against
            && claim.incarnation >= self.me.incarnation
            && self.settings.seeded_defect != Some(SeededDefect::NoRefutation)
        {
            self.me.incarnation = claim.incarnation + 1;
            self.counts.refuted += 1;
            self.ail(1);
            self.spread_me(out);
        }
    }

    pub(crate) fn spread_me(&mut self, out: &mut Vec<Action>) {
        if self.announced {
            self.spread(self.me.clone());
            self.gossip(2 * GOSSIP_TO, out);
        }
    }
}
