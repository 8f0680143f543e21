//! What pipittack meets, in miniature and on loopback: stand-ins for data servers and discovery, used by tests,
//! examples and trials alike. Plain threads and blocking sockets; the program never depends on any of it.
#![forbid(unsafe_code)]

pub mod check;
pub mod client;
pub mod fleet;
pub mod list;
pub mod program;
pub mod script;
pub mod set;
pub mod trial;
