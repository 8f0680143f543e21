//! A fleet in miniature: many proxies, their data servers and the list that tells of them, on virtual time or as models
//! behind real sockets.
//!
//! [`machine`], [`copies`], [`directory`] and [`links`] are the models, and [`site`] puts them together: state that is moved by a time and an event, no clock and no
//! I/O, so that the stepped trial and the one with processes meet the same servers. [`load`] draws what clients ask.
//! [`stepper`] drives gateways against all of it in one process, deterministic from its seed, and [`check`] judges what
//! was done, from what servers and lists saw alone. Sources: queues with several servers and a bounded waiting room
//! are textbook M/G/c/K; warming up and falling over follow the operators' pages. Nothing here may know how a gateway
//! decides.

pub mod check;
pub mod copies;
pub mod directory;
pub mod links;
pub mod live;
pub mod load;
pub mod machine;
pub mod plan;
pub mod report;
pub mod scenario;
pub mod site;
pub mod stepper;
