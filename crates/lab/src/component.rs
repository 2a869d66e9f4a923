//! A part of the world as the runner holds it: on a thread, or in a process of its own that can be killed.

use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command as Program, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

use mio::Waker;
use serde::{Deserialize, Serialize};

use crate::event_loop::{self, Component, EventLoop};
use crate::record::Recorder;
use crate::{agent, backend, balancer, clients, peer_network, relay};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Spec {
    Backend(Box<backend::Spec>),
    Agent(agent::Spec),
    Relay(relay::Spec),
    #[serde(rename = "Ways")]
    PeerNetwork(peer_network::Spec),
    Balancer(balancer::Spec),
    Clients(clients::Spec),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    Backend(backend::Command),
    Agent(agent::Command),
    Relay(relay::Command),
    #[serde(rename = "Ways")]
    PeerNetwork(peer_network::Command),
    Balancer(balancer::Command),
    Clients(clients::Command),
}

/// What a peer's own process is told first.
#[derive(Serialize, Deserialize)]
struct Order {
    spec: Spec,
    records: PathBuf,
}

impl Spec {
    pub fn name(&self) -> &str {
        match self {
            Spec::Backend(spec) => &spec.name,
            Spec::Agent(spec) => &spec.name,
            Spec::Relay(spec) => &spec.name,
            Spec::PeerNetwork(spec) => &spec.name,
            Spec::Balancer(spec) => &spec.name,
            Spec::Clients(spec) => &spec.name,
        }
    }
}

type Started = io::Result<Arc<Waker>>;

/// Runs a part until it halts; tells once whether it has started.
fn host(spec: Spec, recorder: Recorder, commands: Receiver<Command>, started: Sender<Started>) {
    macro_rules! run {
        ($part:expr, $kind:ident) => {{
            let mut part = $part;
            serve(&mut part, recorder, commands, started, |command| match command {
                Command::$kind(command) => Some(command),
                _ => None,
            })
        }};
    }
    match spec {
        Spec::Backend(spec) => run!(backend::Backend::new(*spec), Backend),
        Spec::Agent(spec) => run!(agent::Agent::new(spec), Agent),
        Spec::Relay(spec) => run!(relay::Relay::new(spec), Relay),
        Spec::PeerNetwork(spec) => run!(peer_network::PeerNetwork::new(spec), PeerNetwork),
        Spec::Balancer(spec) => run!(balancer::Balancer::new(spec), Balancer),
        Spec::Clients(spec) => run!(clients::Clients::new(spec), Clients),
    }
}

fn serve<P: Component>(
    part: &mut P,
    recorder: Recorder,
    commands: Receiver<Command>,
    started: Sender<Started>,
    own: impl Fn(Command) -> Option<P::Command> + Send + 'static,
) where
    P::Command: Send + 'static,
{
    let made = EventLoop::new(recorder).and_then(|event_loop| Ok((event_loop.waker()?, event_loop)));
    let (waker, mut event_loop) = match made {
        Ok(made) => made,
        Err(e) => return drop(started.send(Err(e))),
    };
    let (to, from) = channel();
    let again = waker.clone();
    std::thread::spawn(move || {
        while let Ok(command) = commands.recv() {
            if own(command).is_none_or(|command| to.send(command).is_err()) {
                break;
            }
            let _ = again.wake();
        }
        drop(to);
        let _ = again.wake();
    });
    let ready = started.clone();
    // Guards against a waker that is gone, and its last call with it, before the loop has heard it.
    let _kept = waker.clone();
    if let Err(e) = event_loop::run(part, &mut event_loop, &from, move || drop(ready.send(Ok(waker)))) {
        let _ = started.send(Err(e));
    }
}

enum Location {
    Thread { thread: JoinHandle<()>, commands: Option<Sender<Command>> },
    Process { child: Child, input: Option<ChildStdin> },
}

pub struct ComponentHandle {
    pub name: String,
    location: Location,
}

impl ComponentHandle {
    pub fn spawn_thread(spec: Spec, recorder: &Recorder) -> Result<ComponentHandle, String> {
        let name = spec.name().to_string();
        let recorder = recorder.named(&name);
        let (commands, from) = channel();
        let (started, heard) = channel();
        let builder = std::thread::Builder::new().name(name.clone());
        let thread =
            builder.spawn(move || host(spec, recorder, from, started)).map_err(|e| format!("{name}: {e}"))?;
        match heard.recv() {
            Ok(Ok(_)) => {
                Ok(ComponentHandle { name, location: Location::Thread { thread, commands: Some(commands) } })
            }
            Ok(Err(e)) => Err(format!("{name}: {e}")),
            Err(_) => Err(format!("{name}: ended before it had started")),
        }
    }

    /// In a process of its own: `program lab peer`, told all on its standard input.
    pub fn spawn_process(spec: Spec, program: &Path, records: &Path) -> Result<ComponentHandle, String> {
        let name = spec.name().to_string();
        let fail = |e: io::Error| format!("{name}: {}: {e}", program.display());
        let mut child = Program::new(program)
            .args(["lab", "peer"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(fail)?;
        let mut input = child.stdin.take();
        let order = Order { spec, records: records.to_path_buf() };
        let mut line = serde_json::to_vec(&order).map_err(|e| format!("{name}: {e}"))?;
        line.push(b'\n');
        let told = input.as_mut().map_or(Ok(()), |input| input.write_all(&line));
        told.map_err(fail)?;
        let mut said = String::new();
        let output = child.stdout.take().ok_or_else(|| format!("{name}: has no output"))?;
        BufReader::new(output).read_line(&mut said).map_err(fail)?;
        if said.trim() != "ready" {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!("{name}: {}", said.trim()));
        }
        Ok(ComponentHandle { name, location: Location::Process { child, input } })
    }

    pub fn send(&mut self, command: Command) {
        match &mut self.location {
            Location::Thread { commands, .. } => {
                if let Some(commands) = commands {
                    let _ = commands.send(command);
                }
            }
            Location::Process { input, .. } => {
                let Ok(mut line) = serde_json::to_vec(&command) else { return };
                line.push(b'\n');
                if let Some(input) = input {
                    let _ = input.write_all(&line).and_then(|()| input.flush());
                }
            }
        }
    }

    /// Its process, and where that is told things; nothing for a part on a thread.
    pub fn into_process(self) -> Option<(Child, ChildStdin)> {
        match self.location {
            Location::Process { child, input } => Some((child, input?)),
            Location::Thread { .. } => None,
        }
    }

    /// Ends its process outright; a thread can't be killed.
    pub fn kill(&mut self) -> bool {
        match &mut self.location {
            Location::Thread { .. } => false,
            Location::Process { child, .. } => child.kill().and_then(|()| child.wait()).is_ok(),
        }
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        match &mut self.location {
            Location::Thread { thread, .. } => thread.is_finished(),
            Location::Process { child, .. } => !matches!(child.try_wait(), Ok(None)),
        }
    }

    /// Ends it, once it has written its last records; an error if it panicked.
    pub fn stop(mut self) -> Result<(), String> {
        let name = std::mem::take(&mut self.name);
        match &mut self.location {
            Location::Process { child, input } => {
                drop(input.take());
                let _ = child.wait();
                Ok(())
            }
            Location::Thread { commands, .. } => {
                drop(commands.take());
                match self.location {
                    Location::Thread { thread, .. } => thread.join().map_err(|_| format!("{name} panicked")),
                    Location::Process { .. } => Ok(()),
                }
            }
        }
    }
}

/// The program side of `ComponentHandle::apart`.
pub fn process_main() -> Result<(), String> {
    // Guards against a part that is stopped when the lab is killed: it would not see its input's end.
    let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    let mut lines = io::stdin().lock().lines();
    let first = lines.next().transpose().map_err(|e| e.to_string())?.ok_or("nothing on standard input")?;
    let order: Order = serde_json::from_str(&first).map_err(|e| format!("no order for a peer: {e}"))?;
    let recorder = Recorder::open(&order.records, order.spec.name()).map_err(|e| e.to_string())?;
    let mut peer = match ComponentHandle::spawn_thread(order.spec, &recorder) {
        Ok(peer) => peer,
        Err(e) => {
            println!("{e}");
            return Err(e);
        }
    };
    println!("ready");
    for line in lines.map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(command) => {
                let leaves = matches!(command, Command::Balancer(balancer::Command::Leave));
                peer.send(command);
                // It ends by itself once all is answered; the lab ends it if not.
                while leaves && !peer.has_exited() {
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
                if leaves {
                    return Ok(());
                }
            }
            Err(e) => return Err(format!("no command for a peer: {e}")),
        }
    }
    peer.stop()
}
