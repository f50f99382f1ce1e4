//! Request counts while classes are added and removed.

use super::{Gauges, RequestEnd, RequestMetrics};

/// Guards against counts that are lost or assigned to another class when classes are removed, added and restored.
#[test]
fn class_keeps_counts_when_classes_change() {
    let mut metrics = RequestMetrics::new(["quote", "save"]);
    metrics.record(0, RequestEnd::Served);
    metrics.record(1, RequestEnd::Rejected);
    metrics.set_classes(["quote", "", "refer"]);
    metrics.record(1, RequestEnd::Failed); // a request that was open when its class was removed
    metrics.record(2, RequestEnd::Served);
    metrics.set_classes(["quote", "new", "refer", "save"]);
    metrics.record(1, RequestEnd::Served);
    metrics.record(3, RequestEnd::Served);
    metrics.record(200, RequestEnd::Served); // unknown class index: not counted
    let text = metrics.telemetry(&Gauges::default());
    for line in [
        "ingress.operations.quote.fulfilled=1",
        "ingress.operations.save.fulfilled=1",
        "ingress.operations.save.throttled=1",
        "ingress.operations.save.faulted=1",
        "ingress.operations.new.fulfilled=1",
        "ingress.operations.refer.fulfilled=1",
    ] {
        assert!(
            text.lines().any(|l| l == line),
            "{line} is missing from the telemetry:\n{text}"
        );
    }
    assert_eq!(
        [RequestEnd::Served, RequestEnd::Rejected, RequestEnd::Failed]
            .map(|end| metrics.total(end)),
        [4, 1, 1]
    );
    assert_eq!(text.lines().count(), 4 * 3 + 6);
}
