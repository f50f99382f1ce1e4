//! Counts of classes that come and go.

use super::{Gauges, RequestEnd, RequestMetrics};

/// Guards against a class's counts that pass to another one, or go, when classes come, go and come back.
#[test]
fn a_class_keeps_its_counts_whatever_comes_and_goes() {
    let mut metrics = RequestMetrics::new(["quote", "save"]);
    metrics.record(0, RequestEnd::Served);
    metrics.record(1, RequestEnd::Rejected);
    metrics.set_classes(["quote", "", "refer"]);
    metrics.record(1, RequestEnd::Failed); // one that was open when its class was dropped
    metrics.record(2, RequestEnd::Served);
    metrics.set_classes(["quote", "new", "refer", "save"]);
    metrics.record(1, RequestEnd::Served);
    metrics.record(3, RequestEnd::Served);
    metrics.record(200, RequestEnd::Served); // no such index: nobody's
    let text = metrics.telemetry(&Gauges::default());
    for line in [
        "ingress.operations.quote.fulfilled=1",
        "ingress.operations.save.fulfilled=1",
        "ingress.operations.save.throttled=1",
        "ingress.operations.save.faulted=1",
        "ingress.operations.new.fulfilled=1",
        "ingress.operations.refer.fulfilled=1",
    ] {
        assert!(text.lines().any(|l| l == line), "no {line} in\n{text}");
    }
    assert_eq!(
        [RequestEnd::Served, RequestEnd::Rejected, RequestEnd::Failed]
            .map(|end| metrics.total(end)),
        [4, 1, 1]
    );
    assert_eq!(text.lines().count(), 4 * 3 + 6);
}
