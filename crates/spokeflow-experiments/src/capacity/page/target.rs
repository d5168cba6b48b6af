//! The section on the target: its values, and the assumptions for values that it does not state.

use super::super::row::format_number;
use super::sections::join_numbers;
use super::{table, Page};

impl Page<'_> {
    pub(super) fn target_and_assumptions(&self) -> String {
        format!(
            "## The target\n\n{}\nAssumed, since the target does not say it:\n\n{}",
            table(["what", "value"], self.target_rows()),
            table(["assumption", "value"], self.assumption_rows())
        )
    }

    fn target_rows(&self) -> Vec<[String; 2]> {
        let fleet = &self.target.fleet;
        let load = &self.target.load;
        let budget = &self.target.budget;
        let faults = &self.target.faults;
        vec![
            row(
                "routers, hosts, services",
                join_numbers([fleet.routers, fleet.hosts, fleet.services]),
            ),
            row(
                "routes, tenants",
                join_numbers([fleet.routes, fleet.tenants]),
            ),
            row(
                "regions, zones, control machines",
                join_numbers([fleet.regions, fleet.zones, fleet.control_machines]),
            ),
            row(
                "requests a second at the peak",
                format_number(load.peak_requests_per_second),
            ),
            row(
                "changes a day, in force everywhere within",
                format!(
                    "{}, {} s",
                    format_number(load.changes_per_day),
                    format_number(load.change_bound_seconds)
                ),
            ),
            row(
                "time added to 99 of 100 requests",
                format!("{} ms", format_number(budget.added_milliseconds)),
            ),
            row(
                "control of one router: core, memory, bytes",
                format!(
                    "{}%, {} MB, {} KB/s",
                    format_number(budget.control_core_share * 100.0),
                    format_number(budget.control_memory_mb),
                    format_number(budget.control_kb_per_second)
                ),
            ),
            row(
                "machines that fail, are restarted or replaced a day",
                join_numbers([
                    faults.machines_failed_per_day,
                    faults.machines_restarted_per_day,
                ]),
            ),
            row(
                "racks, zones lost a year",
                join_numbers([faults.racks_lost_per_year, faults.zones_lost_per_year]),
            ),
            row(
                "hours for which regions lose each other",
                format_number(faults.region_apart_hours),
            ),
        ]
    }

    fn assumption_rows(&self) -> Vec<[String; 2]> {
        let assumed = &self.target.assumptions;
        vec![
            row("mean requests over those at the peak", format_number(assumed.mean_share_of_peak)),
            row("changes in the busiest minute; each changes one tenant's share", format_number(assumed.changes_in_busiest_minute)),
            row("hours of a day in which machines are restarted", format_number(assumed.restart_hours)),
            row("machines in a rack", format_number(assumed.machines_per_rack)),
            row("releases of each host a day", format_number(assumed.releases_per_host_per_day)),
            row("host restarts in the busiest minute", format_number(assumed.host_restarts_in_busiest_minute)),
            row("list lines of a planned restart, of a failure", join_numbers([assumed.list_lines_per_restart, assumed.list_lines_per_failure])),
            row("time of a host's answer", format!("{} ms", format_number(assumed.answer_milliseconds))),
            row("hosts of the largest service", format_number(assumed.largest_service_hosts)),
            row("cores for a router's deciding task, for a voter's thread", join_numbers([assumed.router_cores, assumed.voter_cores])),
            row("memory and network of a control machine", format!("{} MB, {} MB/s", format_number(assumed.control_machine_mb), format_number(assumed.control_machine_mb_per_second))),
            row("machines that fail are routers and hosts by their numbers; a zone and a rack hold their part of both", "-".into()),
        ]
    }
}

fn row(name: &str, value: String) -> [String; 2] {
    [name.to_string(), value]
}
