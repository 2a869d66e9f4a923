//! One that takes part in duties against made-up letters: whom it believes, when it stops, and to whom it gives.

use std::net::SocketAddr;

use sparlug::time::{Span, Time};
use sparlug_fleet::duties::{Action, Duties, DutyMessage, Event, Settings};
use sparlug_fleet::leases::Answer;
use sparlug_fleet::wire::{Entry, State};

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7100 + n as u16))
}

fn entry(n: usize) -> Entry {
    let (name, generation) = (format!("p-{n}"), 100 + n as u64);
    Entry {
        name,
        address: address(n),
        zone: String::new(),
        state: State::Alive,
        incarnation: 1,
        generation,
        by: 0,
    }
}

struct One {
    duties: Duties,
    now: Time,
}

impl One {
    /// p-0 of four; p-1, p-2 and p-3 vote.
    fn new() -> One {
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
        let mut one = One { duties: Duties::new(settings, now), now };
        let there = (0..4).map(|n| (format!("p-{n}"), address(n))).collect();
        one.tell(Event::MembersChanged { present: there, excluded: false });
        one
    }

    fn tell(&mut self, event: Event) -> Vec<(SocketAddr, DutyMessage)> {
        let mut out = Vec::new();
        self.duties.handle(self.now, event, &mut out);
        let sent = |action| match action {
            Action::Send { to, message: letter } => Some((to, letter)),
            Action::SetTimer(_) | Action::Log(_) => None,
        };
        out.into_iter().filter_map(sent).collect()
    }

    /// Goes on until it asks for the duty; number, duty and term.
    fn asks(&mut self) -> (u32, u64, u64) {
        for _ in 0..100 {
            self.now = self.now + Span::from_millis(125);
            for (_, letter) in self.tell(Event::TimerExpired) {
                match letter {
                    DutyMessage::Ask { seq, duties, .. } if duties[0].1 > 0 => {
                        return (seq, duties[0].0, duties[0].1)
                    }
                    _ => {}
                }
            }
        }
        panic!("it never asks");
    }

    fn grant(&mut self, by: usize, (seq, duty, term): (u32, u64, u64)) {
        let answer = Answer { duty, granted: true, term, holder: "p-0".into(), left_ms: 1000 };
        self.tell(Event::MessageReceived {
            from: &entry(by),
            message: DutyMessage::Answer { seq, answers: vec![answer] },
        });
    }

    fn held(&self) -> Option<u64> {
        self.duties.term(self.now, "list")
    }
}

#[test]
fn it_holds_a_duty_by_two_of_three_voters_and_by_nobody_else() {
    let mut one = One::new();
    let asked = one.asks();
    one.grant(1, asked);
    one.grant(1, asked); // twice is once
    one.grant(0, asked); // no voter
    one.grant(2, (asked.0.wrapping_sub(1), asked.1, asked.2)); // to an earlier question
    assert_eq!(one.held(), None);
    one.grant(3, asked);
    assert_eq!(one.held(), Some(asked.2));
    // Its lease counts from the question, and is over before the voters hold it for over.
    one.now = one.now + Span::from_millis(979);
    assert_eq!(one.held(), Some(asked.2));
    one.now = one.now + Span::from_millis(1);
    assert_eq!(one.held(), None);
}

#[test]
fn what_a_part_of_the_voters_granted_is_given_back_and_asked_for_again_under_a_higher_term() {
    let mut one = One::new();
    let asked = one.asks();
    one.grant(1, asked);
    one.now = one.now + Span::from_millis(125);
    let back = DutyMessage::Release { duties: vec![(asked.1, asked.2)] };
    let sent = one.tell(Event::TimerExpired);
    assert_eq!(sent.iter().filter(|(_, letter)| *letter == back).count(), 3);
    let again = one.asks();
    assert!(again.2 > asked.2);
    // A late answer to the first is none to this one.
    one.grant(2, asked);
    one.grant(3, asked);
    assert_eq!(one.held(), None);
}

#[test]
fn who_leaves_or_keeps_out_stops_first_gives_back_and_tells_the_next() {
    for leaves in [true, false] {
        let mut one = One::new();
        let asked = one.asks();
        (1..4).for_each(|voter| one.grant(voter, asked));
        assert!(one.held().is_some());
        let there = (0..4).map(|n| (format!("p-{n}"), address(n))).collect();
        let sent = one.tell(if leaves {
            Event::Leave
        } else {
            Event::MembersChanged { present: there, excluded: true }
        });
        assert_eq!(one.held(), None);
        let back = DutyMessage::Release { duties: vec![(asked.1, asked.2)] };
        assert_eq!(sent.iter().filter(|(_, letter)| *letter == back).count(), 3);
        let free = sent.iter().filter(|(_, letter)| matches!(letter, DutyMessage::Free { .. }));
        assert_eq!(free.count(), 1);
        for _ in 0..40 {
            one.now = one.now + Span::from_millis(125);
            let asks = |(_, letter): &(SocketAddr, DutyMessage)| match letter {
                DutyMessage::Ask { duties, .. } => duties.iter().any(|(_, term)| *term > 0),
                _ => false,
            };
            assert!(!one.tell(Event::TimerExpired).iter().any(asks));
        }
    }
}
