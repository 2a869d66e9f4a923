//! Draws the clients' requests from the seed before the run begins, so that the same seed gives the same
//! arrivals whatever their responses.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::scenario::{Distribution, Load, Scenario, Tier};

/// Intents drawn per second of a closed loop, more than its clients can use.
const CLOSED_LOOP_MAX_PER_S: usize = 80_000;

/// One request that a client is to send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Time from the start of the load.
    pub at: Micros,
    pub class: usize,
    #[serde(rename = "caller")]
    pub client: usize,
    /// Whether the client leaves early.
    pub impatient: bool,
    pub slow_read: bool,
    pub slow_send: bool,
    #[serde(rename = "bad")]
    pub malformed: bool,
}

fn rate_at(load: &Load, at: Micros) -> f64 {
    let mut rate = load.rate;
    for (n, step) in load.steps.iter().enumerate() {
        let (from, before) =
            if n == 0 { (Micros::ZERO, load.rate) } else { (load.steps[n - 1].at, load.steps[n - 1].rate) };
        if at >= step.at {
            rate = step.rate;
        } else if step.ramp && at >= from {
            let part = (at.0 - from.0) as f64 / (step.at.0 - from.0).max(1) as f64;
            return before + (step.rate - before) * part;
        }
    }
    rate
}

/// All arrivals of an open loop, or the intents that the clients of a closed loop take one after another.
pub fn intents(scenario: &Scenario, seed: u64) -> Vec<Intent> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1a7e);
    let load = &scenario.load;
    let mut times = Vec::new();
    if load.closed > 0 {
        let count = scenario.duration.secs().ceil() as usize * CLOSED_LOOP_MAX_PER_S;
        times.resize(count, Micros::ZERO);
    } else {
        let max_rate = load.steps.iter().map(|step| step.rate).fold(load.rate, f64::max);
        let intervals = Exp::new(max_rate.max(1e-6)).expect("a rate above 0");
        let mut at = 0.0;
        loop {
            // A Poisson process with a changing rate, thinned from one with the highest rate.
            at += intervals.sample(&mut rng);
            let now = Micros::from_ms(at * 1000.0);
            if now >= scenario.duration {
                break;
            }
            if rng.random::<f64>() * max_rate < rate_at(load, now) {
                times.push(now);
            }
        }
        if let Some(burst) = load.burst.filter(|burst| burst.every > Micros::ZERO) {
            let mut at = burst.every;
            while at < scenario.duration {
                times.extend(std::iter::repeat_n(at, burst.size));
                at = at + burst.every;
            }
            times.sort();
        }
    }
    let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let behavior = &scenario.client_behavior;
    let intent = |at| {
        let mut remaining = rng.random::<f64>() * shares;
        let class = scenario.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        let client = if rng.random::<f64>() < load.hot { 0 } else { rng.random_range(0..load.clients) };
        let mut draw = |share: f64| rng.random::<f64>() < share;
        let (impatient, slow_read) = (draw(behavior.impatient), draw(behavior.slow_read));
        let (slow_send, malformed) = (draw(behavior.slow_send), draw(behavior.malformed));
        Intent { at, class: class.unwrap_or(0), client, impatient, slow_read, slow_send, malformed }
    };
    times.into_iter().map(intent).collect()
}

/// A random generator for one request at one backend, the same in every run.
pub fn request_rng(seed: u64, id: &str, salt: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(hash_with_seed(seed ^ salt, id))
}

/// Hashes a text with a seed (FNV-1a, 64 bits).
pub fn hash_with_seed(seed: u64, text: &str) -> u64 {
    let step = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    text.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, step)
}

/// Draws the service time of a request of work 1 on a core that is not slowed down.
pub fn service_time(tier: &Tier, rng: &mut ChaCha8Rng) -> Micros {
    let mean = tier.service.0 as f64;
    let drawn = match tier.distribution {
        Distribution::Fixed => mean,
        Distribution::Exponential => Exp::new(1.0 / mean.max(1.0)).map_or(mean, |d| d.sample(rng)),
        Distribution::Lognormal => {
            let variance = (1.0 + tier.cv * tier.cv).ln();
            let d = LogNormal::new(mean.max(1.0).ln() - variance / 2.0, variance.sqrt());
            d.map_or(mean, |d| d.sample(rng))
        }
    };
    Micros(drawn.round() as i64)
}

/// Hash of all arrivals: two runs with the same hash have the same arrivals.
pub fn digest(intents: &[Intent]) -> u64 {
    let step = |sum: u64, part: u64| (sum ^ part).wrapping_mul(0x0000_0100_0000_01b3);
    intents.iter().fold(0xcbf2_9ce4_8422_2325, |sum, i| {
        let flags = [i.impatient, i.slow_read, i.slow_send, i.malformed]
            .iter()
            .fold(0, |sum, f| sum * 2 + u64::from(*f));
        [i.at.0 as u64, i.class as u64, i.client as u64, flags].into_iter().fold(sum, step)
    })
}
