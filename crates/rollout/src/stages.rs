//! Assignment of members to stages.

use crate::error::{InvalidScope, StageAssignmentError};
use crate::limits::MAX_STAGES;
use std::collections::BTreeMap;
use std::str::FromStr;
use wrenfork_commit::state::Digest;

/// Which members a stage includes, together with all earlier stages.
#[derive(Clone, Debug, PartialEq)]
pub enum StageScope {
    /// This number of members in total.
    Count(usize),
    /// This fraction of all members in total, rounded up to a whole member.
    Fraction(f64),
    /// All members of a zone group, in addition to those of earlier stages.
    ZoneGroup(String),
    /// All members.
    All,
}

impl FromStr for StageScope {
    type Err = InvalidScope;

    /// Parses `1`, `10%`, `hall:NAME` or `all`.
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

/// Returns the order in which members are updated: pseudo-random by the rollout's identity, taking one member of each zone group
/// in turn, so that each zone group has both versions for as long as possible. A member whose zone group is unknown is
/// unavailable and comes last, as it gives no metrics to compare.
fn update_order(id: &Digest, zone_groups: &BTreeMap<String, String>) -> Vec<String> {
    let mut by_zone_group: BTreeMap<&str, Vec<(Digest, &String)>> = BTreeMap::new();
    for (name, zone_group) in zone_groups {
        let sort_key = Digest::of(format!("{id:?} {name}").as_bytes());
        by_zone_group
            .entry(zone_group)
            .or_default()
            .push((sort_key, name));
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

/// Assigns members to stages. `zone_groups` has the zone group of each member by member name; it is empty if unknown.
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
    for (index, scope) in scopes.iter().enumerate() {
        let stage = match scope {
            StageScope::ZoneGroup(name) => members_of_zone_group(&remaining, name, zone_groups)
                .ok_or_else(|| StageAssignmentError::EmptyZoneGroup {
                    stage: index + 1,
                    zone_group: name.clone(),
                })?,
            StageScope::All => remaining.clone(),
            StageScope::Count(count) => fill_up_to(&remaining, members, *count),
            StageScope::Fraction(fraction) => {
                let count = (members as f64 * fraction).ceil() as usize;
                fill_up_to(&remaining, members, count)
            }
        };
        remaining.retain(|name| !stage.contains(name));
        // With few members a stage may add nobody and is dropped: `10%` of three members is one, the same as `1`.
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

/// Returns the first remaining members that bring the number of assigned members to `count`.
fn fill_up_to(remaining: &[String], members: usize, count: usize) -> Vec<String> {
    let assigned = members - remaining.len();
    let additional = count.saturating_sub(assigned).min(remaining.len());
    remaining[..additional].to_vec()
}

/// Returns the remaining members of a zone group; none if the zone group has no members at all.
fn members_of_zone_group(
    remaining: &[String],
    zone_group: &String,
    zone_groups: &BTreeMap<String, String>,
) -> Option<Vec<String>> {
    if !zone_groups.values().any(|name| name == zone_group) {
        return None;
    }
    let is_in_zone_group = |name: &&String| zone_groups.get(*name) == Some(zone_group);
    Some(remaining.iter().filter(is_in_zone_group).cloned().collect())
}
