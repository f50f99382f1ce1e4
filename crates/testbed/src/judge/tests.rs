//! Tests of the judge on single observations: excuses and limits of the rules.

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
fn answer_past_the_slack_breaks_the_answer_rule() {
    let slack = ANSWER_SLACK + ON_SOCKETS;
    for (after, broken) in [(SECOND + slack, 0), (SECOND + slack + 1, 1)] {
        let mut j = judge();
        asked(&mut j, 0, 1, 0);
        j.note(after, Seen::Answered(1, Answer::Failed));
        assert_eq!(rules(&j).len(), broken, "{after}");
    }
}

/// Guards against blaming an ingress for requests lost by a kill, also between the signal and the end of the process.
#[test]
fn killed_ingress_is_excused_for_open_requests_until_it_is_started_again() {
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
    assert_eq!(
        rules(&j),
        [Rule::Answer],
        "a request after the restart is not excused"
    );
}

#[test]
fn paused_ingress_is_excused_for_overdue_answers() {
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    j.note(10, Seen::Frozen(0));
    j.note(2 * SECOND, Seen::Overdue(1));
    j.note(4 * SECOND, Seen::Resumed(0));
    assert_eq!(rules(&j), []);
}

#[test]
fn request_that_crosses_a_connection_close_is_sent_again_and_not_lost() {
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    j.note(10, Seen::Crossed(1));
    asked(&mut j, 20, 1, 0);
    j.note(30, Seen::Answered(1, Answer::Served));
    // A request that a backend received was accepted, so closing its connection lost the answer.
    asked(&mut j, 40, 2, 0);
    reached(&mut j, 50, 2, 0, 0);
    j.note(60, Seen::Crossed(2));
    assert_eq!(rules(&j), [Rule::Answer]);
    assert_eq!(j.violations()[0].request, 2);
}

/// Guards against blaming an ingress for attempts that it sent before its final answer over a slow network.
#[test]
fn delayed_attempt_does_not_count_as_sent_after_the_answer() {
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
fn keyed_request_may_be_repeated_only_in_its_pod_and_window() {
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
fn unsafe_request_may_be_retried_only_after_a_rejection() {
    for turned_away in [true, false] {
        let mut j = judge();
        asked(&mut j, 0, 1, 2);
        reached(&mut j, 0, 1, 0, 0);
        if turned_away {
            j.note(1, Seen::Rejected { id: 1, backend: 0 });
        }
        reached(&mut j, 2, 1, 1, 0);
        assert_eq!(rules(&j).is_empty(), turned_away);
    }
}

#[test]
fn drain_grace_starts_when_discovery_first_reports_the_drain() {
    let told = |j: &mut Judge, at, up| {
        j.note(
            at,
            Seen::BackendReported {
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
    told(&mut j, 2 * SECOND, false); // reported again: the grace still starts at the first report
    asked(&mut j, 2 * SECOND, 2, 0);
    reached(&mut j, 2 * SECOND + 60_000, 2, 5, 0);
    assert_eq!(rules(&j), [Rule::Drains]);
    told(&mut j, 3 * SECOND, true);
    asked(&mut j, 5 * SECOND, 3, 0);
    reached(&mut j, 5 * SECOND, 3, 5, 0);
    assert_eq!(
        rules(&j),
        [Rule::Drains],
        "a backend that is up again takes new work"
    );
}

/// A judge for a site without hedged requests, with a plan that allows two outstanding attempts inside the quota.
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
fn simultaneous_attempts_break_the_effects_rule_without_hedging() {
    for (ends, broken) in [
        (100 + ON_SOCKETS, false),
        (101 + ON_SOCKETS, true),
        (SECOND, true),
    ] {
        let mut j = strict();
        asked(&mut j, 0, 1, 0);
        reached(&mut j, 10, 1, 0, 0);
        reached(&mut j, 100, 1, 1, 0);
        j.note(ends, Seen::AttemptEnded { id: 1, backend: 0 });
        assert_eq!(
            rules(&j).contains(&Rule::Effects),
            broken,
            "the first ends at {ends}"
        );
    }
    // Sequential attempts are allowed, and simultaneous ones where hedged requests are on.
    let mut j = strict();
    asked(&mut j, 0, 1, 0);
    reached(&mut j, 10, 1, 0, 0);
    j.note(20, Seen::AttemptEnded { id: 1, backend: 0 });
    reached(&mut j, 30, 1, 1, 0);
    j.note(SECOND, Seen::AttemptEnded { id: 1, backend: 1 });
    assert_eq!(rules(&j), []);
    let mut j = judge();
    asked(&mut j, 0, 1, 0);
    reached(&mut j, 10, 1, 0, 0);
    reached(&mut j, 20, 1, 1, 0);
    j.note(SECOND, Seen::AttemptEnded { id: 1, backend: 0 });
    assert_eq!(rules(&j), []);
}

/// Guards against missing a second attempt when the first never ends.
#[test]
fn simultaneous_attempts_still_open_at_the_end_are_found() {
    let mut j = strict();
    asked(&mut j, 0, 1, 0);
    reached(&mut j, 10, 1, 0, 0);
    reached(&mut j, 20, 1, 1, 0);
    j.note(30, Seen::Answered(1, Answer::Failed));
    j.finish(SECOND);
    assert_eq!(rules(&j), [Rule::Effects]);
}

#[test]
fn attempt_over_the_limit_of_outstanding_ones_is_beyond_the_quota() {
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
            j.note(35, Seen::AttemptEnded { id: 1, backend: 0 });
            j.note(35, Seen::AttemptEnded { id: 2, backend: 0 });
        }
        reached(&mut j, 10 * id, id, 0, 0);
    }
    assert_eq!(
        j.worth().sent_beyond,
        1,
        "only the third request: the fourth was sent after two attempts had ended"
    );
}
