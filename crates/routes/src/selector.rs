//! Selects the nodes of a pool.

/// The labels of a node. Pools select nodes by them.
#[derive(Clone, Copy, Debug)]
pub struct NodeLabels<'a> {
    /// Name of the node in discovery.
    pub name: &'a str,
    /// Zone group of the node.
    pub zone_group: &'a str,
    /// Machine type of the node.
    pub machine_type: &'a str,
    /// Cell of the node. Nodes of the same cell share their idempotency keys.
    pub cell: u64,
}

/// Selects the nodes whose zone group, machine type, cell and name are each in the corresponding list. An empty list matches every
/// node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    /// Allowed zone groups.
    pub zone_groups: Vec<String>,
    /// Allowed machine types.
    pub machine_types: Vec<String>,
    /// Allowed cells.
    pub cells: Vec<u64>,
    /// Allowed node names.
    pub nodes: Vec<String>,
}

impl Selector {
    /// Whether the selector selects a node.
    pub fn matches(&self, node: &NodeLabels) -> bool {
        let allows = |list: &[String], label: &str| {
            list.is_empty() || list.iter().any(|entry| entry == label)
        };
        allows(&self.zone_groups, node.zone_group)
            && allows(&self.machine_types, node.machine_type)
            && (self.cells.is_empty() || self.cells.contains(&node.cell))
            && allows(&self.nodes, node.name)
    }
}
