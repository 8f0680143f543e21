//! Tests of large fleets: the effects of about a hundred proxy instances together on one server or on the
//! discovery service.

#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod load;
mod primary_loss;
mod reads;
mod robustness;
mod warm_up;
