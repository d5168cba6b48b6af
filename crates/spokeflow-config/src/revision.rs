//! Overrides of the service flags by a replicated revision: values by flag name, parsed and checked as the flags are.

use std::str::FromStr;

use clap::Parser;
use spokeflow_coordination::Overrides;

use crate::customer::CustomerFlagError;
use crate::duration::DurationError;
use crate::{parse_duration, ConfigErrors, ServiceFlags};

/// Flags that a revision may override. The others can be changed only by a restart of the routers: what was counted
/// under the old values cannot be counted again under the new ones.
pub const REVISABLE: [&str; 14] = [
    "customer",
    "fleet-size",
    "delivery-cap",
    "side-by-side",
    "longest-return",
    "drain-grace",
    "cold-from",
    "fall-multiple",
    "stage-cap",
    "exposure-free",
    "guarded-stages",
    "complaint-share",
    "back-votes",
    "votes-a-second",
];

/// Flags to check a revision with where those of the routers are not known: the defaults and one operation.
#[derive(Parser)]
struct BaseFlags {
    #[command(flatten)]
    service: ServiceFlags,
}

const BASE_ARGUMENTS: [&str; 2] = ["check", "--op=any:redeliverable:target=1s:timeout=60s"];

/// Why the value of a flag cannot be overridden.
#[derive(Debug, thiserror::Error)]
enum OverrideError {
    #[error("cannot be changed while routers run")]
    NotRevisable,
    /// The type of the flag decides which numbers are accepted.
    #[error("'{0}' is not a valid number for this flag")]
    Number(String),
    #[error(transparent)]
    Duration(#[from] DurationError),
    #[error(transparent)]
    Customer(#[from] CustomerFlagError),
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, OverrideError> {
    let number = text.trim().parse();
    number.map_err(|_| OverrideError::Number(text.to_string()))
}

fn parse_list<T, E>(text: &str, parse: impl Fn(&str) -> Result<T, E>) -> Result<Vec<T>, E> {
    text.split(',').map(|part| parse(part.trim())).collect()
}

/// Checks each value by itself and together with the defaults of the flags that are not named. A router checks the
/// revision again, together with its own flags, before it acts on it.
///
/// # Errors
///
/// All faults, one line each that names the flag.
pub fn check_overrides(values: &Overrides) -> Result<(), ConfigErrors> {
    let base = BaseFlags::try_parse_from(BASE_ARGUMENTS)
        .expect("the base flags must parse")
        .service;
    let mut errors = ConfigErrors::default();
    let mut flags = base.with_overrides(values, &mut errors);
    flags.fit_unnamed_flags(values);
    flags.check(&mut errors);
    errors.or_value(())
}

impl ServiceFlags {
    /// Returns these flags with the values of a revision in place of their own, checked.
    ///
    /// # Errors
    ///
    /// All faults, one line each that names the flag.
    pub fn revised(&self, values: &Overrides) -> Result<ServiceFlags, ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let flags = self.with_overrides(values, &mut errors);
        let same_customers = flags.customer_names().eq(self.customer_names());
        errors.add_if(
            !same_customers,
            "customer",
            "must name the customers that this router was started with, in the same order",
        );
        flags.check(&mut errors);
        errors.or_value(flags)
    }

    fn customer_names(&self) -> impl Iterator<Item = &str> {
        self.customers.iter().map(|customer| customer.name.as_str())
    }

    fn with_overrides(&self, values: &Overrides, errors: &mut ConfigErrors) -> ServiceFlags {
        let mut flags = self.clone();
        for (name, text) in values {
            if let Err(error) = flags.apply_override(name, text) {
                errors.add_if(true, name, error);
            }
        }
        flags
    }

    fn apply_override(&mut self, name: &str, text: &str) -> Result<(), OverrideError> {
        match name {
            "customer" => self.customers = parse_list(text, str::parse)?,
            "fleet-size" => self.fleet_size = parse_number(text)?,
            "delivery-cap" => self.delivery_cap = parse_number(text)?,
            "side-by-side" => self.side_by_side = parse_number(text)?,
            "longest-return" => self.longest_return = parse_duration(text)?,
            "drain-grace" => self.drain_grace = parse_duration(text)?,
            "cold-from" => self.cold_from = parse_number(text)?,
            "fall-multiple" => self.fall_multiple = parse_number(text)?,
            "stage-cap" => self.stage_caps = parse_list(text, parse_number)?,
            "exposure-free" => self.exposure_free = parse_number(text)?,
            "guarded-stages" => self.guarded_stages = parse_number(text)?,
            "complaint-share" => self.complaint_share = parse_number(text)?,
            "back-votes" => self.back_votes = parse_number(text)?,
            "votes-a-second" => self.votes_a_second = parse_number(text)?,
            _ => return Err(OverrideError::NotRevisable),
        }
        Ok(())
    }

    /// Sets the flags that `values` does not name so that the named ones fit them: a router may have been started with
    /// other values than the defaults.
    fn fit_unnamed_flags(&mut self, values: &Overrides) {
        if !values.contains_key("fleet-size") {
            self.fleet_size = u32::MAX;
        }
        if values.contains_key("stage-cap") {
            self.stage_shares.clone_from(&self.stage_caps);
        } else if values.contains_key("guarded-stages") {
            self.stage_caps = vec![1.0; usize::from(self.guarded_stages)];
            self.stage_shares.clone_from(&self.stage_caps);
        }
    }
}
