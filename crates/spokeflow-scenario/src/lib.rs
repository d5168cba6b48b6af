//! What a day is made of, the same whether it is played on sockets or in simulated time: sizes, traffic, builds
//! and troubles; the models of hosts, list and desk; what is seen of a day, the checker that decides the five
//! rules from that alone, and the report. No I/O; time is handed in; chance comes from handed seeds.

pub mod board;
pub mod check;
pub mod desk;
pub mod faults;
pub mod flags;
pub mod front;
pub mod host;
pub mod report;
pub mod scenario;
pub mod seen;
pub mod traffic;

/// Microseconds since the start of the day.
pub type Micros = i64;
pub const MS: Micros = 1000;
pub const SECOND: Micros = 1_000_000;
