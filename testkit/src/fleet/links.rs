//! The links between proxies, servers and the list service, and what may befall each.
//!
//! Owns which link does what at which time. A fault holds for pairs of ends, so that each proxy has a network of its own. It
//! must never decide what a server or proxy makes of it.

/// What befalls a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing passes; new connections are refused, and open ones are reset.
    Cut,
    /// Nothing passes, and nothing says so.
    Silent,
    /// What proxies say arrives, and no answer does.
    Deaf,
    /// Open connections are reset, once.
    Reset,
    /// Each way takes so many s longer.
    Slow(f64),
}

/// How a link is now.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Way {
    /// New connections are refused and open ones reset.
    pub cut: bool,
    /// What the proxy says is lost.
    pub out_lost: bool,
    /// What is said to the proxy is lost.
    pub back_lost: bool,
    /// Time in s that each way takes longer.
    pub slow_s: f64,
}

impl Way {
    /// Whether all passes.
    pub fn is_open(&self) -> bool {
        !(self.cut || self.out_lost || self.back_lost)
    }
}

/// The other end of a proxy's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Far {
    /// A server.
    Server(usize),
    /// The list service.
    List,
}

#[derive(Debug, Clone)]
struct Held {
    proxies: Vec<usize>,
    ends: Vec<Far>,
    fault: Fault,
    until: f64,
}

/// All links.
#[derive(Debug, Clone, Default)]
pub struct Links {
    held: Vec<Held>,
}

impl Links {
    /// A fault begins on the links between these; both are sorted.
    pub fn befall(&mut self, proxies: Vec<usize>, ends: Vec<Far>, fault: Fault, until: f64) {
        if fault != Fault::Reset {
            self.held.push(Held { proxies, ends, fault, until });
        }
    }

    /// How a link is.
    pub fn way(&self, proxy: usize, end: Far, now: f64) -> Way {
        let mut way = Way::default();
        let on = |held: &&Held| {
            now < held.until
                && held.proxies.binary_search(&proxy).is_ok()
                && held.ends.binary_search(&end).is_ok()
        };
        for held in self.held.iter().filter(on) {
            match held.fault {
                Fault::Cut => way.cut = true,
                Fault::Silent => (way.out_lost, way.back_lost) = (true, true),
                Fault::Deaf => way.back_lost = true,
                Fault::Slow(by) => way.slow_s += by,
                Fault::Reset => {}
            }
        }
        way
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: f64) {
        self.held.retain(|held| now < held.until);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fault_holds_for_its_pairs_and_its_time() {
        let mut links = Links::default();
        links.befall(vec![0, 2], vec![Far::Server(1), Far::List], Fault::Deaf, 5.0);
        links.befall(vec![2], vec![Far::Server(1)], Fault::Slow(0.2), 9.0);
        let both = links.way(2, Far::Server(1), 4.0);
        assert_eq!(both, Way { back_lost: true, slow_s: 0.2, ..Way::default() });
        assert!(links.way(1, Far::Server(1), 4.0).is_open() && links.way(0, Far::Server(0), 4.0).is_open());
        assert!(!links.way(0, Far::List, 4.0).is_open());
        assert_eq!(links.way(2, Far::Server(1), 6.0), Way { slow_s: 0.2, ..Way::default() });
    }
}
