//! Merging of updates about members into the local state, and suspicion. Of two contradicting claims the
//! higher incarnation wins, and for equal incarnations the more severe state. Only the member itself raises
//! its incarnation, which is how it refutes a suspicion.

use std::collections::BTreeSet;

use sparlug::time::{Span, Time};

use crate::membership::{
    Action, Member, Membership, SeededDefect, TimerEvent, GOSSIP_FANOUT, MAX_MEMBERS, PROBE_INTERVAL,
};
use crate::wire::{Body, MemberRecord, MemberState};

const MIN_SUSPICION_PROBE_INTERVALS: f64 = 2.5; // per factor of ten in the fleet's size
const MAX_SUSPICION_RATIO: f64 = 6.0; // of the minimum, while no other member confirms the suspicion
const CONFIRMATIONS_FOR_MIN_SUSPICION: usize = 3;
const FINAL_REFUTATION_TIME: Span = Span::from_millis(400); // after the last direct notice to a suspect
const DEAD_RETENTION: Span = Span::from_millis(600_000); // until then, reconnecting is attempted
const LEFT_RETENTION: Span = Span::from_millis(60_000);

#[derive(Debug)]
pub(crate) struct Suspicion {
    pub began: Time,
    accusers: BTreeSet<u32>,
    pub until: Time,
    /// The suspect was notified directly by this proxy shortly before the end.
    pub notified: bool,
}

impl Membership {
    /// Merges a claim into the local state. `direct`: the member itself has just sent it.
    pub(crate) fn merge_update(&mut self, update: MemberRecord, direct: bool, actions: &mut Vec<Action>) {
        if update.name == self.local.name {
            return self.merge_update_about_self(update, actions);
        }
        if update.address == self.local.address && update.state.is_present() {
            self.open_conflict(&update, actions);
            // A process at this proxy's own address can't be reached from here: it is not added as a member
            // to probe.
            if !self.others.contains_key(&update.name) {
                return;
            }
        }
        let Some(known) = self.others.get(&update.name).map(|member| member.record.clone()) else {
            // An unknown member that is dead or has left is ignored.
            if update.state.is_present() {
                self.add_or_revive(update.clone(), actions);
                if update.state == MemberState::Suspect {
                    self.suspect(&update.name, update.accuser, actions);
                }
            }
            return;
        };
        let newer = update.incarnation > known.incarnation;
        let same = update.incarnation == known.incarnation;
        match (update.state, known.state) {
            (MemberState::Alive, _) if newer => self.add_or_revive(update, actions),
            // It resumed after a pause or a partition and does not know that it was declared dead: it is
            // notified, so that it can refute.
            (MemberState::Alive, MemberState::Dead) if direct && self.may_notify(&update.name) => {
                let first = Some(known);
                self.send(update.address, Body::Gossip, 0, first, actions);
            }
            (MemberState::Suspect, _) if newer => {
                self.add_or_revive(MemberRecord { state: MemberState::Alive, ..update.clone() }, actions);
                self.suspect(&update.name, update.accuser, actions);
            }
            (MemberState::Suspect, MemberState::Alive | MemberState::Suspect) if same => {
                self.suspect(&update.name, update.accuser, actions)
            }
            (MemberState::Dead, MemberState::Suspect) if newer || same => {
                self.adopt_incarnation(&update);
                self.declare_dead(&update.name, actions);
            }
            // It was not suspected here: it gets the time for a refutation that a confirmed suspicion allows.
            // The accusers 1 to 3 stand in for confirming members.
            (MemberState::Dead, MemberState::Alive) if newer || same => {
                self.adopt_incarnation(&update);
                for accuser in [update.accuser, 1, 2, 3] {
                    self.suspect(&update.name, accuser, actions);
                }
            }
            (MemberState::Left, MemberState::Alive | MemberState::Suspect | MemberState::Dead)
                if newer || same =>
            {
                self.adopt_incarnation(&update);
                self.mark_left(&update.name, actions);
            }
            _ => {}
        }
    }

    /// Limits the rate of notices, so that two members that consider each other dead don't answer each other
    /// endlessly.
    fn may_notify(&mut self, name: &str) -> bool {
        let now = self.now;
        let member =
            self.others.get_mut(name).filter(|member| now.since(member.notified_at) >= PROBE_INTERVAL);
        member.map(|member| member.notified_at = now).is_some()
    }

    fn adopt_incarnation(&mut self, update: &MemberRecord) {
        if let Some(member) = self.others.get_mut(&update.name) {
            member.record.incarnation = member.record.incarnation.max(update.incarnation);
        }
    }

    /// Adds a member, or marks a known one alive.
    fn add_or_revive(&mut self, update: MemberRecord, actions: &mut Vec<Action>) {
        let record = MemberRecord { state: MemberState::Alive, accuser: 0, ..update };
        let previous = self.others.get(&record.name).map(|member| member.record.state);
        if previous.is_none() && self.others.len() >= MAX_MEMBERS {
            self.counts.over_capacity += 1;
            return;
        }
        if previous.is_none_or(|state| state != MemberState::Alive) {
            let before = previous.map_or("new", MemberState::name);
            self.log(
                actions,
                format!("member {} at {} is alive (previously {before})", record.name, record.address),
            );
        }
        if previous.is_none_or(|state| !state.is_present()) {
            let index = self.rng.rand_range(0..self.probe_order.len() as u32 + 1) as usize;
            self.probe_order.insert(index, record.name.clone());
        }
        let state_since = self
            .others
            .get(&record.name)
            .filter(|_| previous == Some(MemberState::Alive))
            .map_or(self.now, |member| member.state_since);
        self.others.insert(
            record.name.clone(),
            Member { record: record.clone(), state_since, suspicion: None, notified_at: Time::ORIGIN },
        );
        if previous != Some(MemberState::Alive) {
            self.update_totals();
        }
        self.queue_update(record);
    }

    /// How long a suspicion lasts that this many members have confirmed, not counting the one that raised it.
    fn suspicion_duration(&self, confirmations: usize) -> Span {
        let present = self.present();
        let min = PROBE_INTERVAL.scaled(MIN_SUSPICION_PROBE_INTERVALS * (present as f64).log10().max(1.0));
        let wanted = CONFIRMATIONS_FOR_MIN_SUSPICION.min(present.saturating_sub(2));
        if wanted == 0 {
            return min;
        }
        let progress = ((confirmations + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        min.scaled(MAX_SUSPICION_RATIO - (MAX_SUSPICION_RATIO - 1.0) * progress.min(1.0))
    }

    /// Records that `accuser` suspects a present member.
    pub(crate) fn suspect(&mut self, name: &str, accuser: u32, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(member) = self.others.get_mut(name).filter(|member| member.record.state.is_present()) else {
            return;
        };
        let first = member.record.state == MemberState::Alive;
        if first {
            (member.record.state, member.state_since) = (MemberState::Suspect, now);
            let accusers = BTreeSet::new();
            member.suspicion = Some(Suspicion { began: now, accusers, until: now, notified: false });
        }
        let Some(suspicion) = &mut member.suspicion else { return };
        if suspicion.accusers.len() > CONFIRMATIONS_FOR_MIN_SUSPICION || !suspicion.accusers.insert(accuser) {
            return;
        }
        let (confirmations, began) = (suspicion.accusers.len() - 1, suspicion.began);
        let record = MemberRecord { accuser, ..member.record.clone() };
        let duration = self.suspicion_duration(confirmations);
        if let Some(suspicion) = self.others.get_mut(name).and_then(|member| member.suspicion.as_mut()) {
            suspicion.until = if suspicion.notified { suspicion.until } else { began + duration };
        }
        let remaining = (began + duration).since(now);
        self.set_timer(remaining, TimerEvent::SuspicionEnd(name.to_string()));
        self.queue_update(record);
        if first {
            self.update_totals();
            self.log(actions, format!("member {name} is suspected"));
        }
    }

    pub(crate) fn end_suspicion(&mut self, name: &str, actions: &mut Vec<Action>) {
        let now = self.now;
        let suspicion = self.others.get_mut(name).and_then(|member| member.suspicion.as_mut());
        let Some(suspicion) = suspicion.filter(|suspicion| suspicion.until <= now) else { return };
        if suspicion.notified {
            return self.declare_dead(name, actions);
        }
        // Gossip about the suspicion may not have reached the suspect. Without this direct notice, a running
        // member could be declared dead although it never had a chance to refute.
        (suspicion.notified, suspicion.until) = (true, now + FINAL_REFUTATION_TIME);
        self.set_timer(FINAL_REFUTATION_TIME, TimerEvent::SuspicionEnd(name.to_string()));
        self.send_to_member(name, Body::Gossip, 0, actions);
    }

    fn declare_dead(&mut self, name: &str, actions: &mut Vec<Action>) {
        self.counts.declared_dead += 1;
        self.mark_absent(name, MemberState::Dead, DEAD_RETENTION);
        self.log(actions, format!("member {name} is declared dead"));
    }

    fn mark_left(&mut self, name: &str, actions: &mut Vec<Action>) {
        self.mark_absent(name, MemberState::Left, LEFT_RETENTION);
        self.log(actions, format!("member {name} has left"));
    }

    fn mark_absent(&mut self, name: &str, state: MemberState, retention: Span) {
        let Some(member) = self.others.get_mut(name) else { return };
        (member.record.state, member.state_since, member.suspicion) = (state, self.now, None);
        let record = MemberRecord { accuser: self.local.generation as u32, ..member.record.clone() };
        self.set_timer(retention, TimerEvent::Forget(name.to_string(), record.incarnation));
        self.probe_order.retain(|other| other != name);
        self.queue_update(record);
        self.update_totals();
    }

    /// Corrects what others claim about this proxy.
    fn merge_update_about_self(&mut self, update: MemberRecord, actions: &mut Vec<Action>) {
        if update.generation != self.local.generation {
            if update.state.is_present() && update.address != self.local.address {
                return self.open_conflict(&update, actions);
            }
            if self.settings.seeded_defect == Some(SeededDefect::LostIncarnation) {
                return;
            }
            // The claim is about an earlier process of this member.
            if update.incarnation >= self.local.incarnation {
                self.local.incarnation = update.incarnation + 1;
                self.spread_self(actions);
            }
            return;
        }
        let refutable = matches!(update.state, MemberState::Suspect | MemberState::Dead | MemberState::Left)
            && !self.leaving;
        if refutable
            && update.incarnation >= self.local.incarnation
            && self.settings.seeded_defect != Some(SeededDefect::NoRefutation)
        {
            self.local.incarnation = update.incarnation + 1;
            self.counts.refuted += 1;
            self.degrade_health(1);
            self.spread_self(actions);
        }
    }

    pub(crate) fn spread_self(&mut self, actions: &mut Vec<Action>) {
        if self.announced {
            self.queue_update(self.local.clone());
            self.gossip(2 * GOSSIP_FANOUT, actions);
        }
    }
}
