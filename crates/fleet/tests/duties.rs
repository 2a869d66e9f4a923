//! One member's duties against constructed messages: whose replies it accepts, when it stops acting, and to
//! whom it hands off.

use std::net::SocketAddr;

use sparlug::time::{Span, Time};
use sparlug_fleet::duties::{Action, Duties, DutyMessage, Event, Settings};
use sparlug_fleet::leases::LeaseReply;
use sparlug_fleet::wire::{MemberRecord, MemberState};

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7100 + n as u16))
}

fn record(n: usize) -> MemberRecord {
    let (name, generation) = (format!("p-{n}"), 100 + n as u64);
    MemberRecord {
        name,
        address: address(n),
        zone: String::new(),
        state: MemberState::Alive,
        incarnation: 1,
        generation,
        accuser: 0,
    }
}

struct Fixture {
    duties: Duties,
    now: Time,
}

impl Fixture {
    /// p-0 of four members; p-1, p-2 and p-3 are voters.
    fn new() -> Fixture {
        let now = Time::from_ms(1e9);
        let settings = Settings {
            duties: vec!["list".into()],
            lease: Span::from_millis(1000),
            voters: vec![(1..4).map(address).collect()],
            name: "p-0".into(),
            address: address(0),
            generation: 100,
            seed: 1,
        };
        let mut fixture = Fixture { duties: Duties::new(settings, now), now };
        let present = (0..4).map(|n| (format!("p-{n}"), address(n))).collect();
        fixture.handle(Event::MembersChanged { present, excluded: false });
        fixture
    }

    fn handle(&mut self, event: Event) -> Vec<(SocketAddr, DutyMessage)> {
        let mut actions = Vec::new();
        self.duties.handle(self.now, event, &mut actions);
        let sent = |action| match action {
            Action::Send { to, message } => Some((to, message)),
            Action::SetTimer(_) | Action::Log(_) => None,
        };
        actions.into_iter().filter_map(sent).collect()
    }

    /// Advances the time until it requests the duty; returns the request's number, the duty and the term.
    fn next_request(&mut self) -> (u32, u64, u64) {
        for _ in 0..100 {
            self.now = self.now + Span::from_millis(125);
            for (_, message) in self.handle(Event::TimerExpired) {
                match message {
                    DutyMessage::Request { seq, duties, .. } if duties[0].1 > 0 => {
                        return (seq, duties[0].0, duties[0].1)
                    }
                    _ => {}
                }
            }
        }
        panic!("it never requests the duty");
    }

    fn grant(&mut self, voter: usize, (seq, duty, term): (u32, u64, u64)) {
        let reply = LeaseReply { duty, granted: true, term, holder: "p-0".into(), remaining_ms: 1000 };
        self.handle(Event::MessageReceived {
            from: &record(voter),
            message: DutyMessage::Reply { seq, replies: vec![reply] },
        });
    }

    fn held_term(&self) -> Option<u64> {
        self.duties.held_term(self.now, "list")
    }
}

#[test]
fn a_duty_is_held_after_grants_of_two_of_three_voters_only() {
    let mut fixture = Fixture::new();
    let request = fixture.next_request();
    fixture.grant(1, request);
    fixture.grant(1, request); // a duplicate counts once
    fixture.grant(0, request); // not a voter
    fixture.grant(2, (request.0.wrapping_sub(1), request.1, request.2)); // a reply to an earlier request
    assert_eq!(fixture.held_term(), None);
    fixture.grant(3, request);
    assert_eq!(fixture.held_term(), Some(request.2));
    // Its lease counts from the request and expires before the voters' grants do.
    fixture.now = fixture.now + Span::from_millis(979);
    assert_eq!(fixture.held_term(), Some(request.2));
    fixture.now = fixture.now + Span::from_millis(1);
    assert_eq!(fixture.held_term(), None);
}

#[test]
fn a_minority_grant_is_released_and_requested_again_under_a_higher_term() {
    let mut fixture = Fixture::new();
    let request = fixture.next_request();
    fixture.grant(1, request);
    fixture.now = fixture.now + Span::from_millis(125);
    let release = DutyMessage::Release { duties: vec![(request.1, request.2)] };
    let sent = fixture.handle(Event::TimerExpired);
    assert_eq!(sent.iter().filter(|(_, message)| *message == release).count(), 3);
    let second_request = fixture.next_request();
    assert!(second_request.2 > request.2);
    // Late replies to the first request don't count for the second one.
    fixture.grant(2, request);
    fixture.grant(3, request);
    assert_eq!(fixture.held_term(), None);
}

#[test]
fn a_leaving_or_excluded_member_stops_then_releases_and_offers_to_the_next() {
    for leaving in [true, false] {
        let mut fixture = Fixture::new();
        let request = fixture.next_request();
        (1..4).for_each(|voter| fixture.grant(voter, request));
        assert!(fixture.held_term().is_some());
        let present = (0..4).map(|n| (format!("p-{n}"), address(n))).collect();
        let sent = fixture.handle(if leaving {
            Event::Leave
        } else {
            Event::MembersChanged { present, excluded: true }
        });
        assert_eq!(fixture.held_term(), None);
        let release = DutyMessage::Release { duties: vec![(request.1, request.2)] };
        assert_eq!(sent.iter().filter(|(_, message)| *message == release).count(), 3);
        let offers = sent.iter().filter(|(_, message)| matches!(message, DutyMessage::Offer { .. }));
        assert_eq!(offers.count(), 1);
        for _ in 0..40 {
            fixture.now = fixture.now + Span::from_millis(125);
            let is_request = |(_, message): &(SocketAddr, DutyMessage)| match message {
                DutyMessage::Request { duties, .. } => duties.iter().any(|(_, term)| *term > 0),
                _ => false,
            };
            assert!(!fixture.handle(Event::TimerExpired).iter().any(is_request));
        }
    }
}
