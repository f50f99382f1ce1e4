//! The judge by what it is told: the excuses, and the edges of the rules.

use super::{Answer, Judge, Micros, Rule, Scenario, Seen, Try, ANSWER_SLACK, ON_SOCKETS, SECOND};

fn judge() -> Judge {
    let text = include_str!("../../scenarios/calm.toml");
    Judge::new(
        &Scenario::parse("calm.toml", text).unwrap_or_else(|e| panic!("{}", e[0])),
        0,
    )
}

/// Classes of the calm scenario: quote is safe, save-scenario keyed for 3 s within a pod, lender-referral unsafe.
fn asked(j: &mut Judge, at: Micros, id: u64, class: usize) {
    let try_ = Try {
        id,
        first: id,
        account: id as u32,
        class,
        plan: 0,
        deadline: at + SECOND,
    };
    j.note(at, Seen::Asked(try_, 0));
}

fn reached(j: &mut Judge, at: Micros, id: u64, backend: usize, pod: usize) {
    let (ingress, first_byte, work, capacity, started) = (0, at, 10_000, 3e6, 0);
    j.note(
        at,
        Seen::Reached {
            id,
            ingress,
            backend,
            pod,
            first_byte,
            work,
            capacity,
            started,
        },
    );
}

fn rules(j: &Judge) -> Vec<Rule> {
    j.violations().iter().map(|v| v.rule).collect()
}

#[test]
fn an_answer_in_time_is_well_and_one_past_the_slack_is_not() {
    let slack = ANSWER_SLACK + ON_SOCKETS;
    for (after, broken) in [(SECOND + slack, 0), (SECOND + slack + 1, 1)] {
        let mut j = judge();
        asked(&mut j, 0, 1, 0);
        j.note(after, Seen::Answered(1, Answer::Failed));
        assert_eq!(rules(&j).len(), broken, "{after}");
    }
}

/// Guards against blaming an ingress for what it lost by being killed, also between the signal and its end.
#[test]
fn what_a_killed_ingress_held_or_was_sent_until_it_was_gone_is_excused() {
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    j.note(10, Seen::Killed(0));
    j.note(20, Seen::Broken(1));
    asked(&mut j, 30, 2, 0);
    j.note(40, Seen::Broken(2));
    assert_eq!(rules(&j), []);
    j.note(SECOND, Seen::Started(0));
    asked(&mut j, 2 * SECOND, 3, 0);
    j.note(2 * SECOND + 10, Seen::Broken(3));
    assert_eq!(rules(&j), [Rule::Answer], "the next one is its own fault");
}

#[test]
fn what_an_ingress_owed_while_it_stood_still_is_excused() {
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    j.note(10, Seen::Frozen(0));
    j.note(2 * SECOND, Seen::Overdue(1));
    j.note(4 * SECOND, Seen::Resumed(0));
    assert_eq!(rules(&j), []);
}

#[test]
fn a_request_that_crosses_the_end_of_a_connection_is_asked_once_more_and_not_lost() {
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    j.note(10, Seen::Crossed(1));
    asked(&mut j, 20, 1, 0);
    j.note(30, Seen::Answered(1, Answer::Served));
    // One that a backend had seen was taken: ending its connection lost it.
    asked(&mut j, 40, 2, 0);
    reached(&mut j, 50, 2, 0, 0);
    j.note(60, Seen::Crossed(2));
    assert_eq!(rules(&j), [Rule::Answer]);
    assert_eq!(j.violations()[0].request, 2);
}

/// Guards against blaming an ingress for what was under way when it gave its final answer.
#[test]
fn what_a_slow_way_holds_back_was_sent_before_the_answer() {
    for (slow, broken) in [(0, true), (80_000, false)] {
        let mut j = judge();
        j.note(0, Seen::Slow(0, slow));
        asked(&mut j, 0, 1, 0);
        reached(&mut j, 10, 1, 0, 0);
        j.note(20, Seen::Answered(1, Answer::Served));
        reached(&mut j, 20 + ON_SOCKETS + 30_000, 1, 1, 0);
        assert_eq!(rules(&j) == [Rule::Answer], broken);
    }
}

#[test]
fn a_keyed_request_may_be_repeated_in_its_pod_and_time_alone() {
    for (at, pod, broken) in [
        (SECOND, 1, false),
        (SECOND, 2, true),
        (3 * SECOND + ON_SOCKETS + 1, 1, true),
    ] {
        let mut j = judge();
        asked(&mut j, 0, 1, 1);
        reached(&mut j, 0, 1, 0, 1);
        reached(&mut j, at, 1, 3, pod);
        assert_eq!(rules(&j) == [Rule::Effects], broken, "pod {pod} at {at}");
    }
}

#[test]
fn an_unsafe_request_may_go_on_only_where_the_first_backend_turned_it_away() {
    for turned_away in [true, false] {
        let mut j = judge();
        asked(&mut j, 0, 1, 2);
        reached(&mut j, 0, 1, 0, 0);
        if turned_away {
            j.note(1, Seen::TurnedAway { id: 1, backend: 0 });
        }
        reached(&mut j, 2, 1, 1, 0);
        assert_eq!(rules(&j).is_empty(), turned_away);
    }
}

#[test]
fn a_drain_counts_from_when_this_ingress_was_told() {
    let told = |j: &mut Judge, at, up| {
        j.note(
            at,
            Seen::Told {
                ingress: 0,
                backend: 5,
                up,
                started: 0,
            },
        )
    };
    let mut j = judge();
    told(&mut j, 0, true);
    told(&mut j, SECOND, false);
    asked(&mut j, SECOND, 1, 0);
    reached(&mut j, 2 * SECOND, 1, 5, 0);
    assert_eq!(rules(&j), [], "within the grace");
    told(&mut j, 2 * SECOND, false); // told again: it counts from the first time
    asked(&mut j, 2 * SECOND, 2, 0);
    reached(&mut j, 2 * SECOND + 60_000, 2, 5, 0);
    assert_eq!(rules(&j), [Rule::Drains]);
    told(&mut j, 3 * SECOND, true);
    asked(&mut j, 5 * SECOND, 3, 0);
    reached(&mut j, 5 * SECOND, 3, 5, 0);
    assert_eq!(rules(&j), [Rule::Drains], "listed as up again");
}

/// A judge of a site where no request may have two attempts out, and where an account may have two out.
fn strict() -> Judge {
    let text = include_str!("../../scenarios/calm.toml");
    let text = text.replacen(
        "[ingresses]",
        "[network]\nsecond_copies = false\n[ingresses]",
        1,
    );
    let text = text.replacen("rate = 1.6", "open = 2\nrate = 1.6", 1);
    Judge::new(
        &Scenario::parse("strict.toml", &text).unwrap_or_else(|e| panic!("{}", e[0])),
        0,
    )
}

#[test]
fn two_attempts_at_once_are_found_where_they_are_not_allowed() {
    for (ends, broken) in [
        (100 + ON_SOCKETS, false),
        (101 + ON_SOCKETS, true),
        (SECOND, true),
    ] {
        let mut j = strict();
        asked(&mut j, 0, 1, 0);
        reached(&mut j, 10, 1, 0, 0);
        reached(&mut j, 100, 1, 1, 0);
        j.note(ends, Seen::Over { id: 1, backend: 0 });
        assert_eq!(
            rules(&j).contains(&Rule::Effects),
            broken,
            "the first ends at {ends}"
        );
    }
    // One after the other is well, and so are copies where the site allows them.
    let mut j = strict();
    asked(&mut j, 0, 1, 0);
    reached(&mut j, 10, 1, 0, 0);
    j.note(20, Seen::Over { id: 1, backend: 0 });
    reached(&mut j, 30, 1, 1, 0);
    j.note(SECOND, Seen::Over { id: 1, backend: 1 });
    assert_eq!(rules(&j), []);
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    reached(&mut j, 10, 1, 0, 0);
    reached(&mut j, 20, 1, 1, 0);
    j.note(SECOND, Seen::Over { id: 1, backend: 0 });
    assert_eq!(rules(&j), []);
}

/// Guards against a judge that overlooks the copy whose first attempt never ends.
#[test]
fn two_attempts_that_are_both_out_at_the_end_are_found() {
    let mut j = strict();
    asked(&mut j, 0, 1, 0);
    reached(&mut j, 10, 1, 0, 0);
    reached(&mut j, 20, 1, 1, 0);
    j.note(30, Seen::Answered(1, Answer::Failed));
    j.finish(SECOND);
    assert_eq!(rules(&j), [Rule::Effects]);
}

#[test]
fn what_is_sent_on_over_a_cap_is_beyond_the_quota() {
    let mut j = strict();
    for id in 1..=4 {
        let try_ = Try {
            id,
            first: id,
            account: 9,
            class: 0,
            plan: 0,
            deadline: SECOND,
        };
        j.note(0, Seen::Asked(try_, 0));
        if id == 4 {
            j.note(35, Seen::Over { id: 1, backend: 0 });
            j.note(35, Seen::Over { id: 2, backend: 0 });
        }
        reached(&mut j, 10 * id, id, 0, 0);
    }
    assert_eq!(
        j.worth().sent_beyond,
        1,
        "the third; the fourth came after two were over"
    );
}
