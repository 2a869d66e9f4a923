//! Runs instances of the decision module behind the simulator's binary protocol: reads one batch of events
//! from standard input at a time and writes one reply with the actions to standard output. It decides nothing
//! itself.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufWriter, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use sparlug::event::{Action, Event, Request};
use sparlug::policy::Balancer;
use sparlug::time::Time;
use sparlug_setup::LoadColumns;
use wire::{Reader, Record, Reply, Tables, HEADER_BYTES};

struct Instance {
    balancer: Balancer,
    load_columns: LoadColumns,
    classes: usize,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Instance>,
    tables: Tables,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Handles one record and adds its instance's actions to the reply.
    fn handle_record(&mut self, now: Time, instance_id: u16, record: Record) -> Result<(), String> {
        let actions = &mut self.actions;
        actions.clear();
        let result = match record {
            Record::Start { seed, setup } => {
                let sparlug_setup::Setup { settings, load_columns, .. } = sparlug_setup::decode(setup)?;
                let classes = settings.classes.len();
                let start = AssertUnwindSafe(|| Balancer::new(settings, seed, now, actions));
                catch_unwind(start).map(|balancer| {
                    self.instances.insert(instance_id, Instance { balancer, load_columns, classes });
                })
            }
            Record::Stop => {
                self.instances.remove(&instance_id);
                return Ok(());
            }
            Record::Event(event) => match self.instances.get_mut(&instance_id) {
                None => return Ok(()),
                Some(instance) => {
                    if let Event::RequestReceived(Request { class, .. }) = event {
                        if usize::from(class.0) >= instance.classes {
                            return Err(format!("class {} is not among the settings' tariffs", class.0));
                        }
                    }
                    catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)))
                }
            },
        };
        for action in &self.actions {
            self.reply.add(instance_id, action);
        }
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text");
            self.reply.add_panic(instance_id, text);
            self.instances.remove(&instance_id);
        }
        Ok(())
    }

    /// Handles all records of a batch.
    fn handle_batch(&mut self, count: u32, now: Time, body: &[u8]) -> Result<(), String> {
        let mut reader = Reader::new(body);
        for index in 0..count {
            let instances = &self.instances;
            let columns = |instance_id| {
                instances.get(&instance_id).map_or(LoadColumns::default(), |instance| instance.load_columns)
            };
            let record = wire::read_record(&mut reader, &mut self.tables, columns);
            let result = record.and_then(|record| match record {
                Some((instance_id, record)) => self.handle_record(now, instance_id, record),
                None => Ok(()),
            });
            result.map_err(|e| format!("record {index}: {e}"))?;
        }
        match body.len() - reader.position() {
            0 => Ok(()),
            left => Err(format!("{left} bytes left over after {count} records")),
        }
    }
}

/// Fills `buffer`. Returns false if the input ended before its first byte.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err(format!("input ends after {filled} of {} bytes", buffer.len())),
            Ok(n) => filled += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read: {e}")),
        }
    }
    Ok(true)
}

fn serve(mut input: impl Read, output: impl Write) -> Result<(), String> {
    let (mut host, mut output) = (Host::default(), BufWriter::new(output));
    let (mut header, mut body) = ([0; HEADER_BYTES], Vec::new());
    for batch in 0_u64.. {
        let in_batch = |e: String| format!("batch {batch}: {e}");
        if !read_full(&mut input, &mut header).map_err(in_batch)? {
            break;
        }
        let mut fields = Reader::new(&header);
        let (count, length) = (fields.u32().map_err(in_batch)?, fields.u32().map_err(in_batch)? as usize);
        let now = Time::from_ms(fields.f64().map_err(in_batch)?);
        let Some(body_length) = length.checked_sub(HEADER_BYTES - 8) else {
            return Err(in_batch(format!("length {length} is too short for the time")));
        };
        body.clear();
        let read = input
            .by_ref()
            .take(body_length as u64)
            .read_to_end(&mut body)
            .map_err(|e| in_batch(e.to_string()))?;
        if read < body_length {
            return Err(in_batch(format!("input ends after {read} of {body_length} bytes")));
        }
        host.handle_batch(count, now, &body).map_err(in_batch)?;
        host.reply.finish(&mut output).map_err(|e| in_batch(format!("cannot write: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sparlug-wirehost: {e}");
            ExitCode::FAILURE
        }
    }
}
