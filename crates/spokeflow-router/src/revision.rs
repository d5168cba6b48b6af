//! Revisions of settings that the fleet has agreed on: values by flag name, read and checked as the flags are.

use spokeflow_coordination::{AgreedTerms, Revision, Values};

use crate::terms::{customer, span, Faults, RouterTerms, ServiceFlags};

/// Flags that a revision may name. The others need new processes: what was counted under them cannot be counted anew.
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

fn number<T: std::str::FromStr>(text: &str) -> Result<T, String> {
    text.trim()
        .parse()
        .map_err(|_| format!("'{text}' is not such a number"))
}

fn list<T>(text: &str, one: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    text.split(',').map(|part| one(part.trim())).collect()
}

impl ServiceFlags {
    /// These flags with a revision's values in place of their own, checked. `alone`: nothing is known of the flags
    /// that the revision does not name, so that only what it says by itself is checked.
    ///
    /// Errors: every fault, one a line, naming the flag.
    pub fn revised(&self, values: &Values, alone: bool) -> Result<ServiceFlags, String> {
        let mut f = self.clone();
        let mut faults = Faults::default();
        for (name, text) in values {
            let read = match name.as_str() {
                "customer" => list(text, customer).map(|v| f.customers = v),
                "fleet-size" => number(text).map(|v| f.fleet_size = v),
                "delivery-cap" => number(text).map(|v| f.delivery_cap = v),
                "side-by-side" => number(text).map(|v| f.side_by_side = v),
                "longest-return" => span(text).map(|v| f.longest_return = v),
                "drain-grace" => span(text).map(|v| f.drain_grace = v),
                "cold-from" => number(text).map(|v| f.cold_from = v),
                "fall-multiple" => number(text).map(|v| f.fall_multiple = v),
                "stage-cap" => list(text, number).map(|v| f.stage_caps = v),
                "exposure-free" => number(text).map(|v| f.exposure_free = v),
                "guarded-stages" => number(text).map(|v| f.guarded_stages = v),
                "complaint-share" => number(text).map(|v| f.complaint_share = v),
                "back-votes" => number(text).map(|v| f.back_votes = v),
                "votes-a-second" => number(text).map(|v| f.votes_a_second = v),
                _ => Err("cannot be changed while routers run".into()),
            };
            faults.when(read.is_err(), name, read.err().unwrap_or_default());
        }
        let names = |f: &ServiceFlags| f.customers.iter().map(|c| c.0.clone()).collect::<Vec<_>>();
        if alone {
            // What is not named is taken to fit.
            let named = |name: &str| values.contains_key(name);
            f.fleet_size = if named("fleet-size") {
                f.fleet_size
            } else {
                u32::MAX
            };
            if named("stage-cap") {
                f.stage_shares.clone_from(&f.stage_caps);
            } else if named("guarded-stages") {
                f.stage_caps = vec![1.0; usize::from(f.guarded_stages)];
                f.stage_shares.clone_from(&f.stage_caps);
            }
        } else {
            let same = names(&f) == names(self);
            faults.when(
                !same,
                "customer",
                "not the customers that this router was started with, in their order",
            );
        }
        f.check(&mut faults);
        match faults.0.is_empty() {
            true => Ok(f),
            false => Err(faults.to_string()),
        }
    }
}

impl RouterTerms {
    /// What this router may act on while `in_force` is in force and `announced` may be acted on by others.
    ///
    /// Errors: one of both does not fit this router, with every fault.
    pub fn agreed(
        &self,
        in_force: &Revision,
        announced: Option<&Revision>,
    ) -> Result<AgreedTerms, String> {
        let terms = |revision: &Revision| {
            let service = self.service.revised(&revision.values, false)?;
            let revised = RouterTerms {
                service,
                ..self.clone()
            };
            revised.check().map_err(|f| f.to_string())?;
            Ok::<_, String>(AgreedTerms::of(&revised.engine().service))
        };
        let now = terms(in_force)?;
        Ok(match announced {
            Some(announced) => now.stricter(&terms(announced)?),
            None => now,
        })
    }
}
