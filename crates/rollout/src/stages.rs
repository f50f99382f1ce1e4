//! Which member belongs to which stage.

use crate::error::{InvalidScope, StageAssignmentError};
use crate::limits::MAX_STAGES;
use std::collections::BTreeMap;
use std::str::FromStr;
use wrenfork_commit::state::Digest;

/// Up to where a stage goes, with all stages before it.
#[derive(Clone, Debug, PartialEq)]
pub enum StageScope {
    /// So many members.
    Count(usize),
    /// Such a fraction of them, rounded up.
    Fraction(f64),
    /// All of a zone group besides those before.
    ZoneGroup(String),
    /// All.
    All,
}

impl FromStr for StageScope {
    type Err = InvalidScope;

    /// Reads `1`, `10%`, `hall:NAME` or `all`.
    fn from_str(text: &str) -> Result<StageScope, InvalidScope> {
        let scope = if text == "all" {
            Some(StageScope::All)
        } else if let Some(name) = text.strip_prefix("hall:").filter(|name| !name.is_empty()) {
            Some(StageScope::ZoneGroup(name.into()))
        } else if let Some(percent) = text.strip_suffix('%') {
            let percent = percent.parse::<f64>().ok();
            let valid = percent.filter(|percent| *percent > 0.0 && *percent <= 100.0);
            valid.map(|percent| StageScope::Fraction(percent / 100.0))
        } else {
            let count = text.parse::<usize>().ok();
            count.filter(|count| *count > 0).map(StageScope::Count)
        };
        scope.ok_or_else(|| InvalidScope(text.into()))
    }
}

/// The order in which members are updated: drawn by the rollout's identity, one zone group after the other in turn, so that each
/// has both versions for as long as it can. A member whose zone group is not known is unavailable, and comes last: there is
/// nothing to learn from it.
fn update_order(id: &Digest, zone_groups: &BTreeMap<String, String>) -> Vec<String> {
    let mut by_zone_group: BTreeMap<&str, Vec<(Digest, &String)>> = BTreeMap::new();
    for (name, zone_group) in zone_groups {
        let lot = Digest::of(format!("{id:?} {name}").as_bytes());
        by_zone_group
            .entry(zone_group)
            .or_default()
            .push((lot, name));
    }
    let mut lists: Vec<Vec<(Digest, &String)>> = by_zone_group.into_values().collect();
    lists.iter_mut().for_each(|list| list.sort());
    lists.sort();
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    let in_turns = (0..longest).flat_map(|turn| lists.iter().filter_map(move |l| l.get(turn)));
    let (unavailable, available): (Vec<&String>, Vec<&String>) = in_turns
        .map(|(_, name)| *name)
        .partition(|name| zone_groups[*name].is_empty());
    available.into_iter().chain(unavailable).cloned().collect()
}

/// Assigns the members, by their names with their zone groups, to stages.
///
/// # Errors
///
/// See [`StageAssignmentError`].
pub fn assign_stages(
    id: &Digest,
    scopes: &[StageScope],
    zone_groups: &BTreeMap<String, String>,
) -> Result<Vec<Vec<String>>, StageAssignmentError> {
    if scopes.is_empty() || scopes.len() > MAX_STAGES {
        return Err(StageAssignmentError::StageCount(scopes.len()));
    }
    let mut remaining = update_order(id, zone_groups);
    let members = remaining.len();
    let mut stages: Vec<Vec<String>> = Vec::new();
    for (n, scope) in scopes.iter().enumerate() {
        let stage =
            match scope {
                StageScope::ZoneGroup(name) => members_of(&remaining, name, zone_groups)
                    .ok_or_else(|| StageAssignmentError::EmptyZoneGroup {
                        stage: n + 1,
                        zone_group: name.clone(),
                    })?,
                StageScope::All => remaining.clone(),
                StageScope::Count(count) => up_to(&remaining, members, *count),
                StageScope::Fraction(fraction) => {
                    let count = (members as f64 * fraction).ceil() as usize;
                    up_to(&remaining, members, count)
                }
            };
        remaining.retain(|name| !stage.contains(name));
        // Of few members several stages may come to the same: `10%` of three is the one that `1` was.
        if !stage.is_empty() {
            stages.push(stage);
        }
    }
    if remaining.is_empty() {
        return Ok(stages);
    }
    Err(StageAssignmentError::MembersLeftOut {
        left_out: remaining.len(),
        members,
    })
}

/// Those of the remaining members with which so many of all are updated.
fn up_to(remaining: &[String], members: usize, count: usize) -> Vec<String> {
    let updated = members - remaining.len();
    let more = count.saturating_sub(updated).min(remaining.len());
    remaining[..more].to_vec()
}

/// Those of the remaining members that are of a zone group; none where that has no member at all.
fn members_of(
    remaining: &[String],
    zone_group: &String,
    zone_groups: &BTreeMap<String, String>,
) -> Option<Vec<String>> {
    if !zone_groups.values().any(|of| of == zone_group) {
        return None;
    }
    let is_of = |name: &&String| zone_groups.get(*name) == Some(zone_group);
    Some(remaining.iter().filter(is_of).cloned().collect())
}
