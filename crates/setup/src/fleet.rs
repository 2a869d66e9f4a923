//! The `[fleet]` table of the project's own configuration format: proxies that discover each other.

use std::net::SocketAddr;

use serde::Deserialize;
use sparlug::time::Span;
use toml::Spanned;

use crate::native::{parse_span, Checker};

/// How a proxy takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSetup {
    /// Shared by all members; messages that carry another fleet's name are ignored.
    pub name: String,
    /// The UDP address that it listens on.
    pub address: SocketAddr,
    /// The address that it advertises to other members.
    pub advertise: SocketAddr,
    /// Members that it contacts first to join.
    pub seeds: Vec<SocketAddr>,
    /// How many proxies there usually are, if operators configure it.
    pub expected: Option<usize>,
    /// Duties, each held by only one member at a time, if any are configured.
    pub duties: Option<DutiesSetup>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DutiesSetup {
    pub names: Vec<String>,
    pub lease: Span,
    /// The sets of voters, by their advertised addresses: one set, or two while operators change from one to
    /// the other.
    pub voters: Vec<Vec<SocketAddr>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawFleet {
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

const MAX_NAME_BYTES: usize = 64;
const MAX_DUTIES: usize = 1024;

/// Whether an address cannot be sent to.
fn is_unroutable(address: &SocketAddr) -> bool {
    address.ip().is_unspecified() || address.port() == 0
}

/// Accepts a name that fits into a fleet message.
fn message_name(text: &str) -> Result<String, String> {
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.contains(char::is_whitespace);
    is_valid
        .then(|| text.to_string())
        .ok_or_else(|| format!("{text:?}: wanted a name without spaces of at most {MAX_NAME_BYTES} bytes"))
}

impl Checker<'_> {
    /// `name` is the proxy's own; `peers` is the position of `tier.peers` if set, which a fleet excludes.
    pub(crate) fn fleet(
        &mut self,
        fleet: &Spanned<RawFleet>,
        name: Option<&Spanned<String>>,
        peers: Option<usize>,
    ) -> Option<FleetSetup> {
        let (offset, raw) = (fleet.span().start, fleet.get_ref());
        if raw.name.is_none() {
            self.report(offset, "fleet.name: missing; wanted a name that all its members share");
        }
        match name {
            None => self.report(
                offset,
                "fleet: wanted a name of the proxy's own: name = \"...\" at the head of the file",
            ),
            Some(name) => {
                if let Err(why) = message_name(name.get_ref()) {
                    self.report(name.span().start, format!("name: {why}, because fleet messages carry it"));
                }
            }
        }
        if let Some(offset) = peers {
            self.report(
                offset,
                "tier.peers: the members of a [fleet] find each other; wanted one of the two",
            );
        }
        let fleet_name = self.value("fleet.name", &raw.name, |name| message_name(name));
        let address = self.address("fleet.address", &raw.address, offset);
        let advertise = match &raw.advertise {
            None => {
                if let (Some(_), Some(address)) = (address.filter(is_unroutable), &raw.address) {
                    let expected = "wanted an address that others can send to, or advertise beside it";
                    self.report(
                        address.span().start,
                        format!("fleet.address: {:?}: {expected}", address.get_ref()),
                    );
                }
                address
            }
            Some(address) => {
                let advertise = self.address("fleet.advertise", &raw.advertise, offset);
                if advertise.as_ref().is_some_and(is_unroutable) {
                    let why = format!(
                        "fleet.advertise: {:?}: wanted an address that others can send to",
                        address.get_ref()
                    );
                    self.report(address.span().start, why);
                }
                advertise
            }
        };
        let seeds = self.member_addresses("fleet.seeds", &raw.seeds);
        let duties = self.duties(raw, &seeds);
        let expected = self.integer("fleet.expected", &raw.expected, (1, 4096), 1);
        let expected = raw.expected.as_ref().map(|_| expected);
        Some(FleetSetup {
            name: fleet_name?,
            address: address?,
            advertise: advertise?,
            seeds,
            expected,
            duties,
        })
    }

    /// Addresses of members, each listed once.
    fn member_addresses(&mut self, field: &str, addresses: &[Spanned<String>]) -> Vec<SocketAddr> {
        let mut members = Vec::new();
        for address in addresses {
            let (offset, text) = (address.span().start, address.get_ref());
            match text.parse::<SocketAddr>() {
                Ok(member) if is_unroutable(&member) || members.contains(&member) => {
                    let why =
                        format!("{field}: {text:?}: wanted an address that others can send to, listed once");
                    self.report(offset, why);
                }
                Ok(member) => members.push(member),
                Err(_) => {
                    let expected = "wanted an address and a port, such as \"127.0.0.1:7101\"";
                    self.report(offset, format!("{field}: {text:?}: {expected}"));
                }
            }
        }
        members
    }

    fn duties(&mut self, raw: &RawFleet, seeds: &[SocketAddr]) -> Option<DutiesSetup> {
        let mut names: Vec<String> = Vec::new();
        for duty in &raw.duties {
            let (offset, name) = (duty.span().start, duty.get_ref());
            match message_name(name) {
                Ok(name) if names.contains(&name) => {
                    self.report(offset, format!("fleet.duties: {name:?}: wanted each once"));
                }
                Ok(name) if names.len() < MAX_DUTIES => names.push(name),
                Ok(_) => self.report(offset, format!("fleet.duties: wanted at most {MAX_DUTIES}")),
                Err(why) => self.report(offset, format!("fleet.duties: {why}")),
            }
        }
        let lease = self.value("fleet.lease", &raw.lease, |text| {
            let lease = parse_span(text)?;
            let is_valid = (Span::from_millis(200)..=Span::from_millis(60_000)).contains(&lease);
            is_valid.then_some(lease).ok_or_else(|| format!("{text:?}: wanted a span from 200ms to 60s"))
        });
        let lease = lease.unwrap_or(Span::from_millis(1_500));
        let voters = self.member_addresses("fleet.voters", &raw.voters);
        let voters_before = self.member_addresses("fleet.voters_before", &raw.voters_before);
        if let (Some(first), true) = (raw.voters_before.first(), voters.is_empty()) {
            self.report(
                first.span().start,
                "fleet.voters_before: wanted voters beside it, which replace these",
            );
        }
        let first_duty = raw.duties.first()?;
        let voters = if voters.is_empty() { seeds.to_vec() } else { voters };
        if voters.is_empty() {
            self.report(
                first_duty.span().start,
                "fleet.duties: wanted voters, or seeds as voters: a majority of them grants the duties",
            );
        }
        let voter_sets = [voters, voters_before].into_iter().filter(|set| !set.is_empty()).collect();
        Some(DutiesSetup { names, lease, voters: voter_sets })
    }
}
