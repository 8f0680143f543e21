//! Faults of the network links between proxies, data servers and the discovery service.
//!
//! Owns the faults that are active. A fault applies to pairs of a proxy and a link end, so each proxy sees a
//! network of its own. How a server or a proxy reacts is not modelled here.

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkFault {
    /// No data passes. New connections are refused, and open ones are reset.
    Cut,
    /// All data is dropped, and no side is notified.
    Blackhole,
    /// Data from the proxy arrives, and data to it is dropped.
    DropResponses,
    /// Open connections are reset once.
    Reset,
    /// Each direction takes longer by this time in s.
    Delay(f64),
}

/// The state of a link at one time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkState {
    /// New connections are refused, and open ones are reset.
    pub cut: bool,
    /// Data from the proxy is dropped.
    pub requests_dropped: bool,
    /// Data to the proxy is dropped.
    pub responses_dropped: bool,
    /// Additional delay in s of each direction.
    pub delay_s: f64,
}

impl LinkState {
    /// Whether data passes in both directions.
    pub fn is_open(&self) -> bool {
        !(self.cut || self.requests_dropped || self.responses_dropped)
    }
}

/// The end of a proxy's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkEnd {
    /// A data server.
    Server(usize),
    /// The discovery service.
    Discovery,
}

#[derive(Debug, Clone)]
struct ActiveFault {
    proxies: Vec<usize>,
    ends: Vec<LinkEnd>,
    fault: LinkFault,
    until: f64,
}

impl ActiveFault {
    fn applies_to(&self, proxy: usize, end: LinkEnd) -> bool {
        self.proxies.binary_search(&proxy).is_ok() && self.ends.binary_search(&end).is_ok()
    }
}

/// The faults of all links.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    active: Vec<ActiveFault>,
}

impl LinkFaults {
    /// Starts a fault on the links between these proxies and ends. Both lists must be sorted.
    pub fn inject(&mut self, proxies: Vec<usize>, ends: Vec<LinkEnd>, fault: LinkFault, until: f64) {
        if fault != LinkFault::Reset {
            self.active.push(ActiveFault { proxies, ends, fault, until });
        }
    }

    /// The state of a link at a time.
    pub fn state(&self, proxy: usize, end: LinkEnd, now: f64) -> LinkState {
        let mut state = LinkState::default();
        for active in self.active.iter().filter(|active| now < active.until && active.applies_to(proxy, end))
        {
            match active.fault {
                LinkFault::Cut => state.cut = true,
                LinkFault::Blackhole => {
                    state.requests_dropped = true;
                    state.responses_dropped = true;
                }
                LinkFault::DropResponses => state.responses_dropped = true,
                LinkFault::Delay(delay_s) => state.delay_s += delay_s,
                LinkFault::Reset => {}
            }
        }
        state
    }

    /// Removes the faults that have ended.
    pub fn prune(&mut self, now: f64) {
        self.active.retain(|active| now < active.until);
    }
}

#[cfg(test)]
mod tests;
