//! Discovery: the endpoint list, and the long poll over HTTP/1.1 that keeps it fresh.

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
