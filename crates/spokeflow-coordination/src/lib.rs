//! What routers agree on, without I/O. The [`Ledger`] is the state that the keepers' log makes: the revision in force
//! and the one that is announced. The [`Granter`] is the leading keeper's: it gives routers leases and finds when an
//! announced revision may come into force. A [`Keeper`] puts both beside its member of the log. The [`LeaseHolder`] is a
//! router's: what it may act on, and until when.
//!
//! `docs/agreement.md` has the argument for why no two routers act on revisions that contradict each other for longer
//! than one lease.

mod granter;
mod hosts;
mod keeper;
mod lease_holder;
mod leases;
mod ledger;
mod terms;
pub mod wire;

pub use granter::{Grant, Granter, Known, Seats};
pub use hosts::{AgreedList, HostState, ListNo, ListPart, ListedHost, Rejection, SourceNews};
pub use keeper::{Asker, Keeper, KeeperTerms, Step};
pub use lease_holder::{Asked, LeaseHolder};
pub use ledger::{Act, Ledger, Offer, Record, Revision, RevisionNo, Values, Verdict};
pub use terms::{AgreedTerms, LeaseTerms};
