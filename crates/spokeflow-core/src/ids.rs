//! Ids and times, each kind a type of its own so that none can be taken for another.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// One try of a client; a later try of the same client has another.
    CommandId(u32)
);
id!(HostId(u32));
id!(BuildId(u16));
id!(
    /// Index of an op type in [`crate::ServiceConfig::ops`].
    OpType(u16)
);
id!(
    /// What a command is about; 0 says that it carries none.
    Key(u64)
);
id!(ZoneId(u16));
id!(
    /// Index of a customer in [`crate::ServiceConfig::shares`].
    TenantId(u32)
);

/// A time or a span in whole microseconds.
pub type Micros = i64;
