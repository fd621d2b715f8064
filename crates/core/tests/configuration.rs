//! Versions never decrease, and stores that exchange their differences converge.

use quickcheck::{Gen, QuickCheck};
use yokefall_core::configuration::ConfigurationStore;
use yokefall_peer::VersionedObject;
use yokefall_types::{Declaration, Kind, MachineSpec, ObjectKey, PartnerName};

const SEED: u64 = 11;
const STORES: usize = 3;

fn object(name: u8, version: u64, value: Option<bool>) -> VersionedObject {
    let key = ObjectKey {
        partner: PartnerName::new("board"),
        kind: Kind::Machine,
        name: format!("machine-{}", name % 5),
    };
    let value = value.map(|leaving| Declaration::Machine(MachineSpec { leaving }));
    VersionedObject { key, version, value }
}

/// One random step: a store applies an object or a listing, or exchanges differences.
type Step = (u8, u8, u8, u8, bool);

fn versions_never_decrease_and_stores_converge(steps: Vec<Step>) -> bool {
    let mut stores = vec![ConfigurationStore::default(); STORES];
    for (kind, store, name, version, leaving) in steps {
        let store = store as usize % STORES;
        let before = stores[store].versions();
        match kind % 3 {
            0 => {
                let value = (!leaving).then_some(version % 2 == 0);
                stores[store].apply(object(name, u64::from(version) + 1, value));
            }
            1 => {
                let listed = vec![object(name, u64::from(version), Some(leaving))];
                stores[store].apply_listing(Kind::Machine, u64::from(version) + 3, listed);
            }
            _ => exchange(&mut stores, store, name as usize % STORES),
        }
        for held in before {
            let after = stores[store].get(&held.key).map_or(0, |object| object.version);
            if after < held.version {
                return false;
            }
        }
    }
    for _ in 0..STORES {
        for left in 0..STORES {
            for right in 0..STORES {
                exchange(&mut stores, left, right);
            }
        }
    }
    stores.windows(2).all(|pair| pair[0].digest() == pair[1].digest())
}

fn exchange(stores: &mut [ConfigurationStore], left: usize, right: usize) {
    let repair = stores[left].compare(&stores[right].versions());
    let wanted: Vec<VersionedObject> =
        repair.wanted.iter().filter_map(|key| stores[right].get(key)).collect();
    for object in repair.objects {
        stores[right].apply(object);
    }
    for object in wanted {
        stores[left].apply(object);
    }
}

#[test]
fn stores_never_revert_and_converge() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(500)
        .quickcheck(versions_never_decrease_and_stores_converge as fn(Vec<Step>) -> bool);
}

#[test]
fn a_listing_deletes_missing_objects_but_not_newer_ones() {
    let mut store = ConfigurationStore::default();
    store.apply(object(0, 3, Some(false)));
    store.apply(object(1, 9, Some(false)));
    store.apply_listing(Kind::Machine, 5, Vec::new());
    assert_eq!(store.get(&object(0, 0, None).key).and_then(|o| o.value), None);
    assert!(store.get(&object(1, 0, None).key).is_some_and(|o| o.value.is_some()));
}
