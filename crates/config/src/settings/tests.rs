use super::Conf;

fn parse(text: &str) -> Result<(), String> {
    Conf::from_lines(text)?.settings().map(|_| ())
}

#[test]
fn errors_name_the_missing_or_invalid_setting() {
    let err = parse("grades.count=1\n").unwrap_err();
    assert!(err.contains("grades.0.effect"), "{err}");
    let err = parse("grades.count=0\ngrades.0.worth=1\n").unwrap_err();
    assert!(err.contains("grades.count"), "{err}");
    let err = parse("nonsense\n").unwrap_err();
    assert!(err.contains("line 1"), "{err}");
    let err = parse("grades.count=0\ncontracts.count=1\ncontracts.0.quota_rate=inf\n").unwrap_err();
    assert!(err.contains("contracts.0.quota_rate"), "{err}");
}
