//! Ids and times, each kind a type of its own so that none can be taken for another.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The bare number.
            pub $inner,
        );
    };
}

id!(
    /// One try of a client; a later try of the same client has another.
    CommandId(u32)
);
id!(
    /// A host, whatever process runs there.
    HostId(u32)
);
id!(
    /// A build of the service; a later one has a higher number.
    BuildId(u16)
);
id!(
    /// Index of an operation in [`crate::ServiceConfig::ops`].
    OpType(u16)
);
id!(
    /// What a command is about; 0 says that it carries none.
    Key(u64)
);
id!(
    /// A zone, where hosts and routers share links.
    ZoneId(u16)
);
id!(
    /// Index of a tenant in [`crate::ServiceConfig::tenant_quotas`].
    TenantId(u32)
);

/// A time or a span in whole microseconds.
pub type Micros = i64;
