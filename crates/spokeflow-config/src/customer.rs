//! A customer of the service, parsed from the text of a flag.

use std::num::ParseFloatError;
use std::str::FromStr;

/// A customer (tenant) and its quota: `NAME=COMMANDS_A_SECOND`.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerFlag {
    /// Name of the customer.
    pub name: String,
    /// Commands per second over all routers, above 0.
    pub quota: f64,
}

/// The text of a customer's flag cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CustomerFlagError {
    /// There is no `=`.
    #[error("not NAME=COMMANDS_A_SECOND")]
    Form,
    /// The text after the `=` is not a number.
    #[error("'{text}' is not a number")]
    Quota {
        /// The text after the `=`.
        text: String,
        /// Why it is not a number.
        source: ParseFloatError,
    },
}

impl FromStr for CustomerFlag {
    type Err = CustomerFlagError;

    fn from_str(text: &str) -> Result<Self, CustomerFlagError> {
        let (name, quota) = text.split_once('=').ok_or(CustomerFlagError::Form)?;
        let parsed = quota.parse().map_err(|source| CustomerFlagError::Quota {
            text: quota.to_string(),
            source,
        })?;
        Ok(CustomerFlag {
            name: name.to_string(),
            quota: parsed,
        })
    }
}
