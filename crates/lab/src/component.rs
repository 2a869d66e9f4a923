//! Starts components and sends them commands: on a thread, or in a process of their own that can be killed.

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

/// What a component is started with.
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

/// A command to a running component.
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

/// The first line on the standard input of a component's process.
#[derive(Serialize, Deserialize)]
struct StartRequest {
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

type StartResult = io::Result<Arc<Waker>>;

/// Runs a component until it stops, and reports through `started` whether it could start.
fn run_component(spec: Spec, recorder: Recorder, commands: Receiver<Command>, started: Sender<StartResult>) {
    macro_rules! run {
        ($component:expr, $kind:ident) => {{
            let mut component = $component;
            run_loop(&mut component, recorder, commands, started, |command| match command {
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

fn run_loop<C: Component>(
    component: &mut C,
    recorder: Recorder,
    commands: Receiver<Command>,
    started: Sender<StartResult>,
    select: impl Fn(Command) -> Option<C::Command> + Send + 'static,
) where
    C::Command: Send + 'static,
{
    let created = EventLoop::new(recorder).and_then(|event_loop| Ok((event_loop.waker()?, event_loop)));
    let (waker, mut event_loop) = match created {
        Ok(created) => created,
        Err(e) => return drop(started.send(Err(e))),
    };
    let (to, from) = channel();
    let command_waker = waker.clone();
    std::thread::spawn(move || {
        while let Ok(command) = commands.recv() {
            if select(command).is_none_or(|command| to.send(command).is_err()) {
                break;
            }
            let _ = command_waker.wake();
        }
        drop(to);
        let _ = command_waker.wake();
    });
    let ready = started.clone();
    // Keeps the waker alive while the loop runs: if the last one were dropped, its final wake-up could be
    // lost.
    let _waker = waker.clone();
    if let Err(e) = event_loop::run(component, &mut event_loop, &from, move || drop(ready.send(Ok(waker)))) {
        let _ = started.send(Err(e));
    }
}

enum Location {
    Thread { thread: JoinHandle<()>, commands: Option<Sender<Command>> },
    Process { child: Child, input: Option<ChildStdin> },
}

/// A running component.
pub struct ComponentHandle {
    pub name: String,
    location: Location,
}

impl ComponentHandle {
    /// Starts a component on a thread of this process.
    pub fn spawn_thread(spec: Spec, recorder: &Recorder) -> Result<ComponentHandle, String> {
        let name = spec.name().to_string();
        let recorder = recorder.named(&name);
        let (commands, from) = channel();
        let (started, start_result) = channel();
        let builder = std::thread::Builder::new().name(name.clone());
        let thread = builder
            .spawn(move || run_component(spec, recorder, from, started))
            .map_err(|e| format!("{name}: {e}"))?;
        match start_result.recv() {
            Ok(Ok(_)) => {
                Ok(ComponentHandle { name, location: Location::Thread { thread, commands: Some(commands) } })
            }
            Ok(Err(e)) => Err(format!("{name}: {e}")),
            Err(_) => Err(format!("{name}: stopped before it had started")),
        }
    }

    /// Starts a component in a process of its own, `program lab peer`, which reads all commands from standard
    /// input.
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
        let request = StartRequest { spec, records: records.to_path_buf() };
        let mut line = serde_json::to_vec(&request).map_err(|e| format!("{name}: {e}"))?;
        line.push(b'\n');
        let written = input.as_mut().map_or(Ok(()), |input| input.write_all(&line));
        written.map_err(fail)?;
        let mut reply = String::new();
        let output = child.stdout.take().ok_or_else(|| format!("{name}: has no output"))?;
        BufReader::new(output).read_line(&mut reply).map_err(fail)?;
        if reply.trim() != "ready" {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!("{name}: {}", reply.trim()));
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

    /// The process and its standard input; `None` for a component on a thread.
    pub fn into_process(self) -> Option<(Child, ChildStdin)> {
        match self.location {
            Location::Process { child, input } => Some((child, input?)),
            Location::Thread { .. } => None,
        }
    }

    /// Kills the process; returns false for a thread, which can't be killed.
    pub fn kill(&mut self) -> bool {
        match &mut self.location {
            Location::Thread { .. } => false,
            Location::Process { child, .. } => child.kill().and_then(|()| child.wait()).is_ok(),
        }
    }

    pub fn has_exited(&mut self) -> bool {
        match &mut self.location {
            Location::Thread { thread, .. } => thread.is_finished(),
            Location::Process { child, .. } => !matches!(child.try_wait(), Ok(None)),
        }
    }

    /// Stops the component after it has written its last records; an error if it panicked.
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

/// The main function of a process that `ComponentHandle::spawn_process` starts.
pub fn process_main() -> Result<(), String> {
    // Ends this process with the lab: a component that is suspended when the lab is killed would not see the
    // end of its input.
    let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    let mut lines = io::stdin().lock().lines();
    let first = lines.next().transpose().map_err(|e| e.to_string())?.ok_or("nothing on standard input")?;
    let request: StartRequest =
        serde_json::from_str(&first).map_err(|e| format!("invalid start request for a component: {e}"))?;
    let recorder = Recorder::open(&request.records, request.spec.name()).map_err(|e| e.to_string())?;
    let mut component = match ComponentHandle::spawn_thread(request.spec, &recorder) {
        Ok(component) => component,
        Err(e) => {
            println!("{e}");
            return Err(e);
        }
    };
    println!("ready");
    for line in lines.map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(command) => {
                let drains = matches!(command, Command::Balancer(balancer::Command::Leave));
                component.send(command);
                // It stops by itself once no request is pending; otherwise the lab stops it.
                while drains && !component.has_exited() {
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
                if drains {
                    return Ok(());
                }
            }
            Err(e) => return Err(format!("invalid command for a component: {e}")),
        }
    }
    component.stop()
}
