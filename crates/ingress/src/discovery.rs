//! Client of the discovery service: reads the endpoint list and keeps it up to date with long polls over HTTP/1.1.

mod backoff;
mod client;
mod endpoint_list;
mod http;

#[cfg(test)]
mod tests;

pub use client::{DiscoveryClient, DiscoveryPosition};
pub use endpoint_list::{
    DiscoveredEndpoint, EndpointLabels, EndpointList, EndpointListError, LocationNames,
};
