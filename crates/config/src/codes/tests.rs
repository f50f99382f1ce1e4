use super::Code;

#[test]
fn code_ids_are_unique_and_sorted() {
    let ids: Vec<&str> = Code::ALL.iter().map(|c| c.id()).collect();
    let mut sorted = ids.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(ids, sorted);
    assert_eq!(Code::by_id("c101"), Some(Code::UnknownKey));
    assert_eq!(Code::by_id("C999"), None);
}
