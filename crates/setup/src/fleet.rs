//! `[fleet]` of the project's own form: the proxies that find each other.

use std::net::SocketAddr;

use serde::Deserialize;
use sparlug::time::Span;
use toml::Spanned;

use crate::native::{parse_span, Checker};

/// What a proxy is told of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSetup {
    /// Of all its members the same; others' messages are passed over.
    pub name: String,
    /// Where it listens, UDP.
    pub address: SocketAddr,
    /// What others are told.
    pub advertise: SocketAddr,
    /// Some members to begin with.
    pub seeds: Vec<SocketAddr>,
    /// How many proxies there usually are, if staff say.
    pub expected: Option<usize>,
    /// What only one of them does at a time, if anything.
    pub duties: Option<DutiesSetup>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DutiesSetup {
    pub names: Vec<String>,
    pub lease: Span,
    /// Members that vote, by the addresses that they tell others: one set, or two while staff change from one to the other.
    pub voters: Vec<Vec<SocketAddr>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct FleetText {
    name: Option<Spanned<String>>,
    address: Option<Spanned<String>>,
    advertise: Option<Spanned<String>>,
    seeds: Vec<Spanned<String>>,
    expected: Option<Spanned<i64>>,
    duties: Vec<Spanned<String>>,
    lease: Option<Spanned<String>>,
    voters: Vec<Spanned<String>>,
    voters_before: Vec<Spanned<String>>,
}

const NAME_MOST: usize = 64;
const DUTIES_MOST: usize = 1024;

/// Whether nobody can send to it.
fn open(address: &SocketAddr) -> bool {
    address.ip().is_unspecified() || address.port() == 0
}

/// A name that fits into a message.
fn word(text: &str) -> Result<String, String> {
    let fits = !text.is_empty() && text.len() <= NAME_MOST && !text.contains(char::is_whitespace);
    fits.then(|| text.to_string())
        .ok_or_else(|| format!("{text:?}: wanted a word of at most {NAME_MOST} bytes"))
}

impl Checker<'_> {
    /// `name` is the proxy's own; `peers`: whether `[tier] peers` stand beside it.
    pub(crate) fn fleet(
        &mut self,
        found: &Spanned<FleetText>,
        name: Option<&Spanned<String>>,
        peers: Option<usize>,
    ) -> Option<FleetSetup> {
        let (at, text) = (found.span().start, found.get_ref());
        if text.name.is_none() {
            self.fault(at, "fleet.name: missing; wanted a word that all its members have");
        }
        match name {
            None => self
                .fault(at, "fleet: wanted a name of the proxy's own: name = \"...\" at the head of the file"),
            Some(own) => {
                if let Err(why) = word(own.get_ref()) {
                    self.fault(own.span().start, format!("name: {why}, to be told to the fleet"));
                }
            }
        }
        if let Some(at) = peers {
            self.fault(at, "tier.peers: the members of a [fleet] find each other; wanted one of the two");
        }
        let fleet = self.value("fleet.name", &text.name, |name| word(name));
        let address = self.address("fleet.address", &text.address, at);
        let advertise = match &text.advertise {
            None => {
                if let (Some(_), Some(found)) = (address.filter(open), &text.address) {
                    let wanted = "wanted an address that others can send to, or advertise beside it";
                    self.fault(found.span().start, format!("fleet.address: {:?}: {wanted}", found.get_ref()));
                }
                address
            }
            Some(found) => {
                let advertise = self.address("fleet.advertise", &text.advertise, at);
                if advertise.as_ref().is_some_and(open) {
                    let why = format!(
                        "fleet.advertise: {:?}: wanted an address that others can send to",
                        found.get_ref()
                    );
                    self.fault(found.span().start, why);
                }
                advertise
            }
        };
        let seeds = self.members_named("fleet.seeds", &text.seeds);
        let duties = self.duties(text, &seeds);
        let expected = self.whole("fleet.expected", &text.expected, (1, 4096), 1);
        let expected = text.expected.as_ref().map(|_| expected);
        Some(FleetSetup { name: fleet?, address: address?, advertise: advertise?, seeds, expected, duties })
    }

    /// Addresses of members, each once.
    fn members_named(&mut self, field: &str, found: &[Spanned<String>]) -> Vec<SocketAddr> {
        let mut all = Vec::new();
        for one in found {
            let (at, text) = (one.span().start, one.get_ref());
            match text.parse::<SocketAddr>() {
                Ok(member) if open(&member) || all.contains(&member) => {
                    let why = format!("{field}: {text:?}: wanted an address that others can send to, once");
                    self.fault(at, why);
                }
                Ok(member) => all.push(member),
                Err(_) => {
                    let wanted = "wanted an address and a port, such as \"127.0.0.1:7101\"";
                    self.fault(at, format!("{field}: {text:?}: {wanted}"));
                }
            }
        }
        all
    }

    fn duties(&mut self, text: &FleetText, seeds: &[SocketAddr]) -> Option<DutiesSetup> {
        let mut names: Vec<String> = Vec::new();
        for one in &text.duties {
            let (at, name) = (one.span().start, one.get_ref());
            match word(name) {
                Ok(name) if names.contains(&name) => {
                    self.fault(at, format!("fleet.duties: {name:?}: wanted each once"));
                }
                Ok(name) if names.len() < DUTIES_MOST => names.push(name),
                Ok(_) => self.fault(at, format!("fleet.duties: wanted at most {DUTIES_MOST}")),
                Err(why) => self.fault(at, format!("fleet.duties: {why}")),
            }
        }
        let lease = self.value("fleet.lease", &text.lease, |text| {
            let lease = parse_span(text)?;
            let fits = (Span::from_millis(200)..=Span::from_millis(60_000)).contains(&lease);
            fits.then_some(lease).ok_or_else(|| format!("{text:?}: wanted a span from 200ms to 60s"))
        });
        let lease = lease.unwrap_or(Span::from_millis(1_500));
        let voters = self.members_named("fleet.voters", &text.voters);
        let before = self.members_named("fleet.voters_before", &text.voters_before);
        if let (Some(first), true) = (text.voters_before.first(), voters.is_empty()) {
            self.fault(first.span().start, "fleet.voters_before: wanted voters beside it, which come after");
        }
        let first = text.duties.first()?;
        let voters = if voters.is_empty() { seeds.to_vec() } else { voters };
        if voters.is_empty() {
            self.fault(
                first.span().start,
                "fleet.duties: wanted voters, or seeds, of which a majority grants them",
            );
        }
        let sets = [voters, before].into_iter().filter(|set| !set.is_empty()).collect();
        Some(DutiesSetup { names, lease, voters: sets })
    }
}
