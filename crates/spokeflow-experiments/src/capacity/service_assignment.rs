//! Assignment of services to routers. The target does not state it, so the page is computed for the two extremes and
//! for the largest service.

use super::target::Target;

/// One way to assign services to routers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceAssignment {
    /// Name of the assignment on the page.
    pub name: &'static str,
    pub services_per_router: f64,
    pub routers_per_service: f64,
    /// Hosts that one router has in its tables.
    pub hosts_per_router: f64,
    /// Share of the fleet's requests that one service receives, 0 to 1.
    pub traffic_share: f64,
}

impl ServiceAssignment {
    /// Returns the assignment in which every router serves all services.
    pub fn all_services(target: &Target) -> ServiceAssignment {
        let fleet = &target.fleet;
        ServiceAssignment {
            name: "every router serves all services",
            services_per_router: fleet.services,
            routers_per_service: fleet.routers,
            hosts_per_router: fleet.hosts,
            traffic_share: 1.0 / fleet.services,
        }
    }

    /// Returns the assignment in which each service has dedicated routers and all services are equal in size.
    pub fn dedicated_routers(target: &Target) -> ServiceAssignment {
        let fleet = &target.fleet;
        ServiceAssignment {
            name: "each service has routers of its own",
            services_per_router: 1.0,
            routers_per_service: (fleet.routers / fleet.services).floor().max(1.0),
            hosts_per_router: (fleet.hosts / fleet.services).ceil(),
            traffic_share: 1.0 / fleet.services,
        }
    }

    /// Returns the assignment of the largest service to dedicated routers. Its share of the routers and of the traffic
    /// is its share of the hosts.
    pub fn largest_service(target: &Target) -> ServiceAssignment {
        let fleet = &target.fleet;
        let hosts = target.assumptions.largest_service_hosts;
        let fraction = hosts / fleet.hosts;
        ServiceAssignment {
            name: "routers of its own, the largest service",
            services_per_router: 1.0,
            routers_per_service: (fleet.routers * fraction).floor().max(1.0),
            hosts_per_router: hosts,
            traffic_share: fraction,
        }
    }

    pub fn all(target: &Target) -> [ServiceAssignment; 3] {
        [
            ServiceAssignment::all_services(target),
            ServiceAssignment::dedicated_routers(target),
            ServiceAssignment::largest_service(target),
        ]
    }

    /// Returns the requests per second of one service at one router when the whole fleet receives `fleet_requests`.
    pub fn service_requests_per_second(&self, fleet_requests: f64) -> f64 {
        fleet_requests * self.traffic_share / self.routers_per_service
    }

    /// Returns the requests per second of all services at one router.
    pub fn router_requests_per_second(&self, fleet_requests: f64) -> f64 {
        self.service_requests_per_second(fleet_requests) * self.services_per_router
    }
}
