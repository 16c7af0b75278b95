//! Type aliases for identifiers and numbers that are used across the fleet.

/// Name of an entry or control host, unique in the fleet.
pub type HostId = String;

/// Name of a service, unique in the fleet.
pub type ServiceId = String;

/// Name of a route, unique in its service.
pub type RouteId = String;

/// Name of a tenant (a customer).
pub type TenantId = String;

/// Name of one upstream, unique in the fleet.
pub type UpstreamId = String;

/// Name of an availability zone.
pub type Zone = String;

/// Client-chosen identifier of a configuration change; a resend with it has no further effect.
pub type ChangeId = String;

/// Number of a configuration; rises by one with each accepted change.
pub type Revision = u64;

/// Number that a host or upstream raises at each start.
pub type Incarnation = u64;

/// Number of a period with one leader; rises with each leader.
pub type Term = u64;

/// Number of a message in an exchange; rises by one.
pub type Sequence = u64;

/// Randomly chosen identifier of one execution of a request.
pub type Attempt = u64;
