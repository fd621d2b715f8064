//! Persisted addresses of job stores.

use yokefall_jobstore::addresses::{load, save, Addresses};

fn addresses() -> Addresses {
    let address = |text: &str| text.parse().expect("an address");
    let stores = [("store-1", "10.1.0.1:7000"), ("store-2", "10.2.0.1:7000")];
    stores.map(|(name, text)| (name.to_owned(), address(text))).into()
}

#[test]
fn saved_addresses_are_loaded() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(load(folder.path()).is_empty());
    save(folder.path(), &addresses()).expect("saved");
    assert_eq!(load(folder.path()), addresses());
    let fewer: Addresses = addresses().into_iter().take(1).collect();
    save(folder.path(), &fewer).expect("saved");
    assert_eq!(load(folder.path()), fewer);
}

#[test]
fn a_truncated_or_corrupt_file_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    save(folder.path(), &addresses()).expect("saved");
    let file = folder.path().join("addresses");
    let whole = std::fs::read(&file).expect("bytes");
    for length in 0..whole.len() {
        std::fs::write(&file, &whole[..length]).expect("written");
        assert!(load(folder.path()).is_empty(), "cut after {length} bytes");
    }
    for position in 0..whole.len() {
        let mut corrupt = whole.clone();
        corrupt[position] ^= 1;
        std::fs::write(&file, &corrupt).expect("written");
        assert!(load(folder.path()).is_empty(), "corrupt at {position}");
    }
}
