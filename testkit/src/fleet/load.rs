//! What clients ask: classes, their mix, sessions, and retries.
//!
//! Owns the draw of requests and their sessions. A session's reads come soon after its writes; each proxy has its own
//! clients, some many times the mean. It must never look at what a proxy decides, but for the answers that its clients get.

use std::time::Duration;

use pipittack_core::api::{Class, ClassId, Consistency, Idempotency, Settings};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// What a class asks of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its part of the requests.
    pub share: f64,
    /// Mean work in s.
    pub work_s: f64,
    /// Nothing is applied on a replica that holds one.
    pub blocks: bool,
}

/// How clients behave.
#[derive(Debug, Clone, PartialEq)]
pub struct Habits {
    /// The classes, in the order of the settings.
    pub kinds: Vec<Kind>,
    /// Share of session reads that follow a write.
    pub follows: f64,
    /// How long after it, in s.
    pub gap_s: f64,
    /// Tries after the first one.
    pub retries: u32,
    /// Pause in s before one, where no time was told.
    pub pause_s: f64,
}

/// A client's request, over all its tries.
#[derive(Debug, Clone)]
pub struct Wish {
    /// The proxy that it is for.
    pub proxy: usize,
    /// Its class.
    pub class: ClassId,
    /// Its set.
    pub set: usize,
    /// Its session.
    pub session: u64,
    /// When it was first asked, and when the client gives up, in s.
    pub asked: f64,
    /// See `asked`.
    pub until: f64,
    /// Work in s.
    pub work_s: f64,
    /// Tries so far.
    pub tries: u32,
    /// The commit that its session knows of.
    pub mark: Option<f64>,
}

/// A session that has written: its number, set, last commit.
#[derive(Debug, Clone, Copy)]
struct Wrote {
    session: u64,
    set: usize,
    commit: f64,
    at: f64,
}

/// Draws requests. Each proxy's clients ask its part of `rate`.
#[derive(Debug)]
pub struct Load {
    habits: Habits,
    /// Requests a second of each proxy.
    rates: Vec<f64>,
    sets: usize,
    rng: Pcg64Mcg,
    sessions: u64,
    /// Sessions that have written of late, by proxy.
    wrote: Vec<Vec<Wrote>>,
}

impl Load {
    /// Requests a second in all, spread over proxies so that some get several times the mean.
    pub fn new(habits: Habits, rate: f64, proxies: usize, sets: usize, mut rng: Pcg64Mcg) -> Self {
        let weights: Vec<f64> = (0..proxies).map(|_| -rng.random::<f64>().max(1e-6).ln() + 0.1).collect();
        let all: f64 = weights.iter().sum();
        let rates = weights.iter().map(|weight| rate * weight / all).collect();
        Self { habits, rates, sets, rng, sessions: 0, wrote: vec![Vec::new(); proxies] }
    }

    /// How clients behave.
    pub fn habits(&self) -> &Habits {
        &self.habits
    }

    /// Time in s until a proxy's next request, at so many times the usual rate.
    pub fn pause(&mut self, proxy: usize, times: f64) -> f64 {
        -self.rng.random::<f64>().max(1e-9).ln() / (self.rates[proxy] * times)
    }

    /// A request of a proxy's clients.
    pub fn draw(&mut self, proxy: usize, now: f64, settings: &Settings) -> Wish {
        let place = {
            let all: f64 = self.habits.kinds.iter().map(|kind| kind.share).sum();
            let mut left = self.rng.random::<f64>() * all;
            let found = self.habits.kinds.iter().position(|kind| {
                left -= kind.share;
                left < 0.0
            });
            found.unwrap_or(0)
        };
        let (kind, class) = (&self.habits.kinds[place], &settings.classes[place]);
        let work_s = kind.work_s * -self.rng.random::<f64>().max(1e-6).ln();
        let followed =
            if class.consistency == Consistency::Causal && self.rng.random::<f64>() < self.habits.follows {
                let (gap, rng) = (self.habits.gap_s, &mut self.rng);
                self.wrote[proxy].retain(|wrote| now - wrote.at < 3.0 * gap);
                let count = self.wrote[proxy].len();
                (count > 0).then(|| self.wrote[proxy][rng.random_range(0..count)])
            } else {
                None
            };
        let (session, set, mark) = match followed {
            Some(wrote) => (wrote.session, wrote.set, Some(wrote.commit)),
            None => {
                self.sessions += 1;
                (self.sessions, self.rng.random_range(0..self.sets), None)
            }
        };
        let until = now + class.deadline.as_secs_f64() * self.rng.random_range(0.5..=1.0);
        let class = ClassId(place);
        Wish { proxy, class, set, session, asked: now, until, work_s, tries: 0, mark }
    }

    /// A write was acknowledged.
    pub fn acknowledged(&mut self, wish: &Wish, commit: f64, now: f64) {
        self.wrote[wish.proxy].push(Wrote { session: wish.session, set: wish.set, commit, at: now });
    }

    /// When a client asks again what was refused, or failed where it may run again; none if it does not.
    pub fn again(
        &self,
        wish: &Wish,
        class: &Class,
        refused: Option<Option<Duration>>,
        now: f64,
    ) -> Option<f64> {
        let may = refused.is_some() || class.idempotency == Idempotency::Idempotent;
        let pause = refused.flatten().map_or(self.habits.pause_s, |told| told.as_secs_f64());
        let at = now + pause;
        (may && wish.tries < self.habits.retries && at < wish.until).then_some(at)
    }
}
