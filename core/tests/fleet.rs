//! What a large fleet does together: a hundred gateways, and what one server gets of all of them in sum.

mod common;

use common::*;
use pipittack_core::interface::*;

fn many() -> Settings {
    Settings { gateways: 100, ..settings() }
}

#[test]
fn connections_to_sound_servers_stay_when_others_die() {
    // Found on zone+vast: servers of a lost hall refused connections, all proxies took connections to be short,
    // closed idle ones to the sound servers too, and opened 8,200 in 2.5 s in place of 1,200.
    let mut b = Bench::new(many());
    b.hear_all(ms(10));
    let mut served = 0;
    for _ in 0..40 {
        let mut actions = b.call(ANY);
        b.now += ms(20);
        while !b.sent.is_empty() {
            let dead = b.sent[0].2 == ServerId(3);
            let outcome = if dead { Outcome::ConnectFailed } else { Outcome::Ok };
            served += u32::from(!dead);
            actions.extend(b.end(outcome, Some(false).filter(|_| !dead), ms(10)));
        }
        let other = |a: &Action| matches!(a, Action::Close { server } if *server != ServerId(3));
        assert!(!actions.iter().any(other), "a dead server says nothing of the others: {actions:?}");
    }
    assert!(served >= 40, "{served} served");
}
