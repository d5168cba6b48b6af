//! How services meet routers: the two ends of an assumption, and the largest service.

use super::target::Target;

/// One way to give services to routers.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    pub name: &'static str,
    pub services_per_router: f64,
    pub routers_per_service: f64,
    /// Hosts in the tables of one router.
    pub hosts_per_router: f64,
    /// Requests a second of the service over those of the whole fleet.
    pub traffic_share: f64,
}

impl End {
    /// Every router serves all services.
    pub fn all_services(target: &Target) -> End {
        let fleet = &target.fleet;
        End {
            name: "every router serves all services",
            services_per_router: fleet.services,
            routers_per_service: fleet.routers,
            hosts_per_router: fleet.hosts,
            traffic_share: 1.0 / fleet.services,
        }
    }

    /// Each service has routers of its own.
    pub fn own_routers(target: &Target) -> End {
        let fleet = &target.fleet;
        End {
            name: "each service has routers of its own",
            services_per_router: 1.0,
            routers_per_service: (fleet.routers / fleet.services).floor().max(1.0),
            hosts_per_router: (fleet.hosts / fleet.services).ceil(),
            traffic_share: 1.0 / fleet.services,
        }
    }

    /// The same for the largest service: it has as large a part of the routers and the traffic as of the hosts.
    pub fn largest_service(target: &Target) -> End {
        let fleet = &target.fleet;
        let hosts = target.assumptions.largest_service_hosts;
        let fraction = hosts / fleet.hosts;
        End {
            name: "routers of its own, the largest service",
            services_per_router: 1.0,
            routers_per_service: (fleet.routers * fraction).floor().max(1.0),
            hosts_per_router: hosts,
            traffic_share: fraction,
        }
    }

    pub fn all(target: &Target) -> [End; 3] {
        [
            End::all_services(target),
            End::own_routers(target),
            End::largest_service(target),
        ]
    }

    /// Requests a second of one service at one router, of so many in the whole fleet.
    pub fn service_requests(&self, fleet_requests: f64) -> f64 {
        fleet_requests * self.traffic_share / self.routers_per_service
    }

    /// Requests a second at one router.
    pub fn router_requests(&self, fleet_requests: f64) -> f64 {
        self.service_requests(fleet_requests) * self.services_per_router
    }
}
