//! The proxy around the decision module: real sockets, one thread.
//!
//! Clients ([`clients`]) and data servers ([`servers`]) meet only in the [`exchange`], which asks the
//! decision module what to do; [`inbound`] is what a client sends; [`discovery`] keeps the server list, [`ops`] answers the operators, and [`handover`]
//! replaces the process, by means of [`parcel`] and, while there are two, [`twin`]. Nothing in here decides where a request goes, whether it goes
//! again, or when it is refused.

pub mod buffers;
pub mod clients;
pub mod discovery;
pub mod exchange;
pub mod handover;
pub mod inbound;
pub mod ops;
pub mod parcel;
pub mod pg;
pub mod servers;
pub mod twin;
