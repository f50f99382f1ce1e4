//! Who belongs to which stage.

use std::collections::BTreeMap;
use wrenfork_commit::state::Digest;

/// The most stages of a rollout.
pub const MOST_STAGES: usize = 32;

/// Up to where a stage goes, with all before it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reach {
    /// So many members.
    Count(usize),
    /// Such a share of them, rounded up.
    Share(f64),
    /// All of a hall besides those before.
    Hall(String),
    /// All.
    All,
}

impl Reach {
    /// Reads `1`, `10%`, `hall:NAME` or `all`.
    ///
    /// # Errors
    ///
    /// With what is wrong, in words.
    pub fn read(text: &str) -> Result<Reach, String> {
        let odd = || {
            format!("a stage is written \"3\", \"10%\", \"hall:hall-a\" or \"all\", not \"{text}\"")
        };
        if text == "all" {
            return Ok(Reach::All);
        }
        if let Some(hall) = text.strip_prefix("hall:").filter(|h| !h.is_empty()) {
            return Ok(Reach::Hall(hall.into()));
        }
        if let Some(share) = text.strip_suffix('%') {
            let share = share
                .parse::<f64>()
                .ok()
                .filter(|s| *s > 0.0 && *s <= 100.0)
                .ok_or_else(odd)?;
            return Ok(Reach::Share(share / 100.0));
        }
        let count = text
            .parse::<usize>()
            .ok()
            .filter(|n| *n > 0)
            .ok_or_else(odd)?;
        Ok(Reach::Count(count))
    }
}

/// The order in which members get the new one: drawn by the rollout's identity, one hall after the other in turn, so that
/// each hall has both for as long as it can. One whose hall is not known is away, and comes last: from nobody there is nothing to
/// learn.
fn order(id: &Digest, halls: &BTreeMap<String, String>) -> Vec<String> {
    let mut by_hall: BTreeMap<&str, Vec<(Digest, &String)>> = BTreeMap::new();
    for (name, hall) in halls {
        let lot = Digest::of(format!("{id:?} {name}").as_bytes());
        by_hall.entry(hall).or_default().push((lot, name));
    }
    let mut lists: Vec<Vec<(Digest, &String)>> = by_hall.into_values().collect();
    lists.iter_mut().for_each(|l| l.sort());
    lists.sort();
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    let turns = (0..longest).flat_map(|turn| lists.iter().filter_map(move |l| l.get(turn)));
    let (away, here): (Vec<&String>, Vec<&String>) =
        turns.map(|t| t.1).partition(|name| halls[*name].is_empty());
    here.into_iter().chain(away).cloned().collect()
}

/// The members of each stage, by their names with their halls.
///
/// # Errors
///
/// Where a stage reaches nobody new, names a hall that nobody stands in, or the last one leaves somebody out.
pub fn stages(
    id: &Digest,
    reach: &[Reach],
    halls: &BTreeMap<String, String>,
) -> Result<Vec<Vec<String>>, String> {
    if reach.is_empty() || reach.len() > MOST_STAGES {
        return Err(format!(
            "a rollout has 1 to {MOST_STAGES} stages, not {}",
            reach.len()
        ));
    }
    let mut left = order(id, halls);
    let all = left.len();
    let mut stages: Vec<Vec<String>> = Vec::new();
    for (n, reach) in reach.iter().enumerate() {
        let done = all - left.len();
        let some: Vec<String> = match reach {
            Reach::Hall(hall) if halls.values().all(|h| h != hall) => {
                return Err(format!("stage {}: nobody stands in hall {hall}", n + 1))
            }
            Reach::Hall(hall) => left
                .iter()
                .filter(|name| halls.get(*name) == Some(hall))
                .cloned()
                .collect(),
            Reach::All => left.clone(),
            Reach::Count(count) => left
                .iter()
                .take(count.saturating_sub(done))
                .cloned()
                .collect(),
            Reach::Share(share) => {
                let count = (all as f64 * share).ceil() as usize;
                left.iter()
                    .take(count.saturating_sub(done))
                    .cloned()
                    .collect()
            }
        };
        left.retain(|name| !some.contains(name));
        // Of few members several stages may come to the same: `10%` of three is the one that `1` was.
        if !some.is_empty() {
            stages.push(some);
        }
    }
    match left.len() {
        0 => Ok(stages),
        left => Err(format!(
            "the last stage leaves {left} of {all} members out: it must be \"all\""
        )),
    }
}

#[cfg(test)]
mod tests {
    use super::{stages, BTreeMap, Digest, Reach};

    fn halls(count: usize) -> BTreeMap<String, String> {
        (0..count)
            .map(|n| (format!("n{n}"), format!("hall-{}", n % 4)))
            .collect()
    }

    #[test]
    fn what_is_no_stage_is_told() {
        for good in ["1", "10%", "hall:hall-a", "all", "0.5%"] {
            assert!(Reach::read(good).is_ok(), "{good}");
        }
        for bad in ["0", "-1", "0%", "101%", "hall:", "", "some", "nan%"] {
            assert!(
                Reach::read(bad).unwrap_err().contains("a stage is written"),
                "{bad}"
            );
        }
        let id = Digest::of(b"x");
        assert!(stages(&id, &[], &halls(4)).unwrap_err().contains("1 to 32"));
        assert!(stages(&id, &[Reach::Count(1)], &halls(4))
            .unwrap_err()
            .contains("leaves 3 of 4"));
        assert!(stages(&id, &[Reach::Hall("x".into())], &halls(4))
            .unwrap_err()
            .contains("nobody stands"));
    }

    #[test]
    fn each_member_has_one_stage_and_halls_take_turns() {
        let reach: Vec<Reach> = ["1", "10%", "50%", "all"]
            .iter()
            .map(|t| Reach::read(t).unwrap())
            .collect();
        let stages = stages(&Digest::of(b"x"), &reach, &halls(40)).unwrap();
        assert_eq!(
            stages.iter().map(Vec::len).collect::<Vec<_>>(),
            [1, 3, 16, 20]
        );
        let mut all: Vec<&String> = stages.iter().flatten().collect();
        all.sort();
        all.dedup();
        assert_eq!(all.len(), 40);
        // Half of each hall has the new one at 50%.
        let of = halls(40);
        for hall in ["hall-0", "hall-1", "hall-2", "hall-3"] {
            let new = stages[..3]
                .iter()
                .flatten()
                .filter(|n| of[*n] == hall)
                .count();
            assert_eq!(new, 5, "{hall}");
        }
    }

    #[test]
    fn whoever_is_away_comes_last() {
        let mut of = halls(4);
        for away in 0..4 {
            of.insert(format!("n{away}"), String::new());
            let reach = [Reach::Count(1), Reach::Count(3), Reach::All];
            let stages = stages(&Digest::of(b"x"), &reach, &of).unwrap();
            assert_eq!(stages[2], [format!("n{away}")]);
            of = halls(4);
        }
    }

    #[test]
    fn stages_that_reach_nobody_new_fall_together() {
        let reach = [
            Reach::Count(1),
            Reach::Share(0.1),
            Reach::Share(0.5),
            Reach::All,
        ];
        let few = stages(&Digest::of(b"x"), &reach, &halls(3)).unwrap();
        assert_eq!(few.iter().map(Vec::len).collect::<Vec<_>>(), [1, 1, 1]);
        let by_hall = [Reach::Count(1), Reach::Hall("hall-1".into()), Reach::All];
        let of = halls(8);
        let stages = stages(&Digest::of(b"y"), &by_hall, &of).unwrap();
        assert!(stages[1].iter().all(|n| of[n] == "hall-1"));
    }
}
