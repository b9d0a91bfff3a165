//! Types and utilities shared by all goldcrestrail processes: identifiers, log positions, settings,
//! logging, metrics and state dumps.

pub mod clock;
pub mod document;
pub mod exit;
pub mod fault;
pub mod files;
pub mod http;
mod http1;
mod http_clients;
pub mod log;
pub mod map;
pub mod meter;
pub mod name;
pub mod net;
pub mod organisation;
pub mod patch;
pub mod position;
pub mod rates;
pub mod request;
pub mod settings;
pub mod signals;

pub use exit::Exit;
pub use map::{Map, Set};
pub use position::Position;

/// Name of a service, which callers give as the database name.
pub type ServiceName = String;
/// Name of a route, which callers give as the database name.
pub type RouteName = String;
/// Name of a database group.
pub type GroupName = String;
/// Name of one database of a group.
pub type MemberName = String;
/// Random id of a member's data directory; a member that lost its disk gets a new one.
pub type StoreId = String;
/// Name of an organisation.
pub type OrgName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Name of a region.
pub type RegionName = String;
/// Name of an entry process.
pub type EntryName = String;
/// Name of a control host.
pub type HostName = String;
/// Term of a database group.
pub type Term = u64;
/// Index in the replicated log of the control hosts; used as the version of group records.
pub type Version = u64;
