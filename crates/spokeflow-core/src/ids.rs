//! Identifiers, each with a type of its own so that they cannot be confused, and the time unit.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The numeric value.
            pub $inner,
        );
    };
}

id!(
    /// A command as a client sent it; a client that sends it again uses a new id.
    CommandId(u32)
);
id!(
    /// A host, independent of the process that runs there.
    HostId(u32)
);
id!(
    /// A build of the service; later builds have higher numbers.
    BuildId(u16)
);
id!(
    /// Index of an operation in [`crate::ServiceConfig::ops`].
    OpType(u16)
);
id!(
    /// The sticky key of a command; 0 means that the command has none.
    Key(u64)
);
id!(
    /// A zone; its hosts and routers share network links.
    ZoneId(u16)
);
id!(
    /// Index of a tenant in [`crate::ServiceConfig::tenant_quotas`].
    TenantId(u32)
);

/// A point in time or a duration, in whole microseconds.
pub type Micros = i64;
