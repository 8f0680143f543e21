//! What a large fleet does together: a hundred instances, and what one server gets from all of them.

#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod load;
mod primary_loss;
mod reads;
mod robustness;
mod warm_up;
