//! Encodes and decodes the frames and records of the simulator's protocol.

use sparlug::event::{Action, AttemptEnd, Condition, Event, Listing, Load, Outcome, Request};
use sparlug::id::{AttemptNo, BackendId, ClassId, PeerId, PodId, RequestId, TenantId, TimerId, ZoneId};
use sparlug::time::{Span, Time};

use sparlug_setup::LoadColumns;

pub const HEADER_BYTES: usize = 16;
const MAX_TABLES: usize = 16;
const ALL_PEERS: u16 = u16::MAX;
const COST_VALID_FLAG: u16 = 1;

pub type Result<T> = std::result::Result<T, String>;

/// Reads fields in sequence; errors name the position of a missing field.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    pub fn position(&self) -> usize {
        self.position
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        let end = self.position.checked_add(n).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(format!(
                "wanted {n} bytes at byte {}, {} left",
                self.position,
                self.bytes.len() - self.position
            ));
        };
        let taken = &self.bytes[self.position..end];
        self.position = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f64(&mut self) -> Result<f64> {
        let at = self.position;
        let number = f64::from_le_bytes(self.array()?);
        if number.is_finite() {
            Ok(number)
        } else {
            Err(format!("{number} is not finite, at byte {at}"))
        }
    }

    fn f32(&mut self) -> Result<f32> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn backend(&mut self) -> Result<BackendId> {
        Ok(BackendId { address: self.array()?, port: self.u16()? })
    }

    fn span(&mut self) -> Result<Span> {
        Ok(Span::from_ms(self.f64()?))
    }

    fn outcome(&mut self) -> Result<Outcome> {
        let at = self.position;
        Ok(match self.u16()? {
            0 => Outcome::Error,
            1 => Outcome::Served,
            2 => Outcome::Full,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Broken,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            other => return Err(format!("unknown status {other} at byte {at}")),
        })
    }

    fn load(&mut self, columns: LoadColumns) -> Result<Load> {
        let mut load = Load::default();
        for column in 0..usize::from(self.u8()?) {
            let value = Some(f64::from(self.f32()?)).filter(|v| v.is_finite() && *v >= 0.0);
            if columns.in_flight == Some(column) {
                load.in_flight = value;
            } else if columns.queued == Some(column) {
                load.queued = value;
            }
        }
        Ok(load)
    }

    fn listing(&mut self) -> Result<Listing> {
        let _kind = self.u16()?;
        let zone = ZoneId(self.u16()?);
        let size = Some(f64::from(self.f32()?)).filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
        let at = self.position;
        let condition = match self.u8()? {
            0 => Condition::Gone,
            1 => Condition::Ready,
            2 => Condition::Draining,
            other => return Err(format!("unknown condition {other} at byte {at}")),
        };
        let backend = self.backend()?;
        let started = Some(self.f64()?).filter(|ms| *ms != 0.0).map(Time::from_ms);
        Ok(Listing { backend, zone, pod: PodId(self.u16()?), condition, started, size })
    }
}

/// A record of a batch. Reading an `Event` requires the load report columns of the instance that it is for.
pub enum Record<'a> {
    Start { seed: u64, setup: &'a [u8] },
    Stop,
    Event(Event),
}

/// The numbered lists of backends that records refer to.
#[derive(Default)]
pub struct Tables([Option<Vec<Listing>>; MAX_TABLES]);

impl Tables {
    fn define(&mut self, reader: &mut Reader) -> Result<()> {
        let (at, number) = (reader.position(), reader.u32()? as usize);
        let rows = reader.u32()? as usize;
        let slot =
            self.0.get_mut(number).ok_or(format!("list number {number} out of range, at byte {at}"))?;
        let mut listings = Vec::new();
        for _ in 0..rows {
            listings.push(reader.listing()?);
        }
        *slot = Some(listings);
        Ok(())
    }

    fn list_event(&self, form: u8, number: u32, at: usize) -> Result<Event> {
        if form == 3 {
            return Ok(Event::ListFailed);
        }
        if form > 3 {
            return Err(format!("unknown form of list {form} at byte {at}"));
        }
        let table = self.0.get(number as usize).and_then(Option::as_ref);
        let listings = table.ok_or(format!("list {number} was never defined, at byte {at}"))?.clone();
        Ok(Event::ListReceived { full: form != 0, listings })
    }
}

/// Reads one record. Returns `None` for a record that is not for an instance.
pub fn read_record<'a>(
    reader: &mut Reader<'a>,
    tables: &mut Tables,
    columns: impl Fn(u16) -> LoadColumns,
) -> Result<Option<(u16, Record<'a>)>> {
    let at = reader.position();
    let code = reader.u8()?;
    if code == 110 {
        tables.define(reader)?;
        return Ok(None);
    }
    if ![10, 20, 30, 40, 50, 60, 70, 80, 90, 100].contains(&code) {
        return Err(format!("unknown event code {code} at byte {at}"));
    }
    let instance = reader.u16()?;
    let event = match code {
        10 => {
            let seed = reader.u64()?;
            let length = reader.u32()? as usize;
            return Ok(Some((instance, Record::Start { seed, setup: reader.take(length)? })));
        }
        100 => return Ok(Some((instance, Record::Stop))),
        20 => {
            let (form, _epoch, number) = (reader.u8()?, reader.u64()?, reader.u32()?);
            tables.list_event(form, number, at)?
        }
        30 => {
            let (id, class, tenant) =
                (RequestId(reader.u32()?.into()), ClassId(reader.u16()?), TenantId(reader.u32()?));
            let key = Some(reader.u64()?).filter(|key| *key != 0);
            let deadline = Time::from_ms(reader.f64()?);
            let cost = reader.span()?;
            let cost = (reader.u16()? & COST_VALID_FLAG != 0).then_some(cost);
            Event::RequestReceived(Request { id, class, tenant, key, deadline, cost, complete: true })
        }
        40 => {
            let (request, _attempt, backend) =
                (RequestId(reader.u32()?.into()), reader.u16()?, reader.backend()?);
            Event::ResponseStarted { request, backend, took: reader.span()? }
        }
        50 => {
            let request = RequestId(reader.u32()?.into());
            let (outcome, backend, last) = (reader.outcome()?, reader.backend()?, reader.u8()?);
            let (attempt, took, load) =
                (AttemptNo(reader.u16()?), reader.span()?, reader.load(columns(instance))?);
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt,
                backend,
                outcome,
                answered: last != 0,
                body_discarded: false,
                took,
                load,
            })
        }
        60 => Event::ClientGone(RequestId(reader.u32()?.into())),
        70 => Event::TimerExpired(TimerId(reader.u64()?)),
        80 => {
            let (backend, outcome, took) = (reader.backend()?, reader.outcome()?, reader.span()?);
            Event::CheckEnded { backend, outcome, took, load: reader.load(columns(instance))? }
        }
        _ => {
            let from = PeerId(reader.u32()? as u16);
            let length = usize::from(reader.u16()?);
            Event::PeerMessage { from, bytes: reader.take(length)?.to_vec() }
        }
    };
    Ok(Some((instance, Record::Event(event))))
}

/// A reply under construction: its encoded records and their number.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    fn begin(&mut self, code: u8, instance: u16) -> &mut Vec<u8> {
        self.count += 1;
        self.records.push(code);
        self.records.extend(instance.to_le_bytes());
        &mut self.records
    }

    pub fn add(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Attempt { request, backend, timeout, .. } => {
                let record = self.begin(50, instance);
                record.extend(wire_id(request).to_le_bytes());
                put_backend(record, *backend);
                record.extend(timeout.ms().to_le_bytes());
            }
            Action::Refuse { request, backoff, .. } => {
                let record = self.begin(10, instance);
                record.extend(wire_id(request).to_le_bytes());
                record.extend(backoff.unwrap_or_default().ms().to_le_bytes());
            }
            Action::Fail { request, .. } => self.begin(20, instance).extend(wire_id(request).to_le_bytes()),
            Action::Cancel { request, attempt } => {
                let record = self.begin(60, instance);
                record.extend(wire_id(request).to_le_bytes());
                record.extend(attempt.0.to_le_bytes());
            }
            Action::SetTimer { after, id } => {
                let record = self.begin(100, instance);
                record.extend(after.ms().to_le_bytes());
                record.extend(id.0.to_le_bytes());
            }
            Action::Check { backend } => put_backend(self.begin(80, instance), *backend),
            Action::CloseIdle { backend } => put_backend(self.begin(120, instance), *backend),
            // In the simulator no operator disables a backend, and every request arrives complete.
            Action::Withdraw { .. } | Action::SetTimeout { .. } => {}
            Action::SendToPeer { to, bytes } => {
                let record = self.begin(110, instance);
                record.extend(to.map_or(ALL_PEERS, |peer| peer.0).to_le_bytes());
                put_text(record, bytes);
            }
            Action::WatchList { on } => self.begin(90, instance).push(u8::from(*on)),
            Action::FetchList => {
                self.begin(70, instance);
            }
            Action::Log(text) => put_text(self.begin(30, instance), text.as_bytes()),
        }
    }

    /// Adds that the decision module of an instance panicked.
    pub fn add_panic(&mut self, instance: u16, text: &str) {
        put_text(self.begin(40, instance), text.as_bytes());
    }

    /// Writes the finished frame to `output` and clears the reply.
    pub fn finish(&mut self, output: &mut impl std::io::Write) -> std::io::Result<()> {
        output.write_all(&self.count.to_le_bytes())?;
        output.write_all(&(self.records.len() as u32).to_le_bytes())?;
        output.write_all(&self.records)?;
        self.records.clear();
        self.count = 0;
        output.flush()
    }
}

fn put_backend(record: &mut Vec<u8>, backend: BackendId) {
    record.extend(backend.address);
    record.extend(backend.port.to_le_bytes());
}

fn put_text(record: &mut Vec<u8>, text: &[u8]) {
    let text = &text[..text.len().min(usize::from(u16::MAX))];
    record.extend((text.len() as u16).to_le_bytes());
    record.extend(text);
}

/// Ids have 32 bits in the protocol, and every request got its id from there.
fn wire_id(request: &RequestId) -> u32 {
    request.0 as u32
}
