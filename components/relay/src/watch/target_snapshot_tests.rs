use super::*;
use crate::watch::listing::tests::{at, entry};

fn part(revision: u64, parts: u16, names: &[&str]) -> Part {
    let entries: Vec<TargetEntry> = names.iter().map(|name| entry(name, 1, false, 1)).collect();
    Part {
        version: at(revision),
        parts,
        listed: TargetList::new(&entries),
    }
}

fn names(parts: Vec<Part>) -> Option<(Version, Vec<Box<str>>)> {
    let snapshot = newest_complete(parts.into_iter())?;
    let names = snapshot.entries.into_iter().map(|entry| entry.instance);
    Some((snapshot.version, names.collect()))
}

#[test]
fn the_newest_complete_snapshot_is_used() {
    let parts = vec![
        part(5, 2, &["a"]),
        part(5, 2, &["b"]),
        part(7, 3, &["c"]),
        part(7, 3, &["d"]),
    ];
    assert_eq!(names(parts), Some((at(5), vec!["a".into(), "b".into()])));
}

#[test]
fn a_part_left_by_a_longer_snapshot_is_ignored() {
    let parts = vec![part(7, 1, &["a"]), part(5, 2, &["b"])];
    assert_eq!(names(parts), Some((at(7), vec!["a".into()])));
    assert_eq!(names(vec![part(5, 2, &["b"])]), None);
    assert_eq!(names(Vec::new()), None);
}

#[test]
fn a_list_of_any_length_fits_into_one_transaction() {
    for listed in [1_000, 10_001, 20_000, 500_000_usize] {
        assert!(listed.div_ceil(part_targets(listed)) <= PARTS_MAX);
    }
}

#[test]
fn a_part_takes_a_few_dozen_bytes_a_target() {
    let entries: Vec<TargetEntry> = (0..PART_TARGETS as u64)
        .map(|serial| {
            let name = format!("i-{:08x}", serial.wrapping_mul(2_654_435_761) as u32);
            entry(&name, 1_700_000_000_000 + serial * 977, false, serial * 3)
        })
        .collect();
    let part = Part {
        version: at(9_000),
        parts: 1,
        listed: TargetList::new(&entries),
    };
    let packed = compress(&postcard::to_stdvec(&part).unwrap());
    assert!(packed.len() < 32 * PART_TARGETS, "{}", packed.len());
    let read: Part = postcard::from_bytes(&decompress(&packed).unwrap()).unwrap();
    assert_eq!(read.listed.entries(), entries);
}
