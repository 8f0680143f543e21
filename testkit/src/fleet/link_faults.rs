//! Network faults on the links between proxies and data servers or the discovery service.
//!
//! Owns the active faults. A fault applies to individual links, each between one proxy and one remote end, so
//! two proxies can observe different failures of the same server. The reactions of proxies and servers are
//! modelled elsewhere. Times are in seconds.

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkFault {
    /// The link is down: new connections are refused, and open connections are reset.
    Down,
    /// All data is dropped in both directions, and neither side is notified.
    Blackhole,
    /// Data to the proxy is dropped, and neither side is notified. Data from the proxy arrives.
    DropResponses,
    /// Open connections are reset once. New connections can be opened at once.
    Reset,
    /// Data is delayed in each direction by this time, in seconds.
    Delay(f64),
}

/// State of a link at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkState {
    /// Whether the link is down: new connections are refused, and open connections are reset.
    pub down: bool,
    /// Whether data from the proxy is dropped.
    pub requests_dropped: bool,
    /// Whether data to the proxy is dropped.
    pub responses_dropped: bool,
    /// Additional delay in each direction, in seconds.
    pub delay_s: f64,
}

impl LinkState {
    /// Returns whether data passes in both directions.
    pub fn is_open(&self) -> bool {
        !(self.down || self.requests_dropped || self.responses_dropped)
    }
}

/// Remote end of a proxy's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkEnd {
    /// The data server with this index.
    Server(usize),
    /// The discovery service.
    Discovery,
}

/// A fault that has not been pruned.
#[derive(Debug, Clone)]
struct ActiveFault {
    proxies: Vec<usize>,
    ends: Vec<LinkEnd>,
    fault: LinkFault,
    /// Time at which the fault ends, in seconds.
    until: f64,
}

impl ActiveFault {
    fn applies_to(&self, proxy: usize, end: LinkEnd) -> bool {
        self.proxies.binary_search(&proxy).is_ok() && self.ends.binary_search(&end).is_ok()
    }
}

/// Active faults of all links.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    active: Vec<ActiveFault>,
}

impl LinkFaults {
    /// Starts a fault on the links between these proxies and remote ends, which lasts until the time `until`.
    /// Both lists must be sorted. [`LinkFault::Reset`] has no effect here, since it leaves the links
    /// unchanged; the caller resets the connections.
    pub fn inject(&mut self, proxies: Vec<usize>, ends: Vec<LinkEnd>, fault: LinkFault, until: f64) {
        if fault != LinkFault::Reset {
            self.active.push(ActiveFault { proxies, ends, fault, until });
        }
    }

    /// Returns the combined state of a link at `now` under all active faults. Delays add up.
    pub fn state(&self, proxy: usize, end: LinkEnd, now: f64) -> LinkState {
        let mut state = LinkState::default();
        for active in self.active.iter().filter(|active| now < active.until && active.applies_to(proxy, end))
        {
            match active.fault {
                LinkFault::Down => state.down = true,
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

    /// Removes the faults that have ended by `now`.
    pub fn prune(&mut self, now: f64) {
        self.active.retain(|active| now < active.until);
    }
}

#[cfg(test)]
mod tests;
