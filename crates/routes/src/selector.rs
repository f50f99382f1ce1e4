//! Which nodes are of a pool.

/// The labels of a node, by which a pool selects it.
#[derive(Clone, Copy, Debug)]
pub struct NodeLabels<'a> {
    /// The name that discovery knows it by.
    pub name: &'a str,
    /// The zone group that it stands in.
    pub zone_group: &'a str,
    /// The type of its machine.
    pub machine_type: &'a str,
    /// The cell: nodes that know each other's idempotency keys.
    pub cell: u64,
}

/// Selects the nodes that have one of the zone groups, one of the machine types, one of the cells and one of the names; a list
/// that is empty leaves the choice open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    /// Zone groups.
    pub zone_groups: Vec<String>,
    /// Types of machines.
    pub machine_types: Vec<String>,
    /// Cells.
    pub cells: Vec<u64>,
    /// Nodes by name.
    pub nodes: Vec<String>,
}

impl Selector {
    /// Whether a node is selected.
    pub fn matches(&self, node: &NodeLabels) -> bool {
        let has = |list: &[String], label: &str| list.is_empty() || list.iter().any(|l| l == label);
        has(&self.zone_groups, node.zone_group)
            && has(&self.machine_types, node.machine_type)
            && (self.cells.is_empty() || self.cells.contains(&node.cell))
            && has(&self.nodes, node.name)
    }
}
