//! Durability of the data directory: power loss at any step of a write, and damaged, empty or foreign directories.

use hingestage_config_store::data_dir::{DataDir, DataDirError, Loaded};
use hingestage_replication::{Disk, Record, State};
use hingestage_rpc::messages::{
    Ballot, Change, ConfigDocument, ConfigVersion, Membership, Proposed, StoreMember,
};
use hingestage_rpc::trials::{TrialPosition, TrialRecord};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

const MANIFEST: &str = "store.json";

/// An empty directory, removed at the end of the test.
struct Dir(PathBuf);

impl Dir {
    fn new() -> Dir {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("config-store-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        Dir(dir)
    }

    /// Contents of all files by name.
    fn contents(&self) -> BTreeMap<String, Vec<u8>> {
        let entries = fs::read_dir(&self.0).expect("the directory").map(|entry| entry.expect("a file"));
        let content = |entry: fs::DirEntry| {
            let name = entry.file_name().into_string().expect("a name");
            (name, fs::read(entry.path()).expect("a file"))
        };
        entries.map(content).collect()
    }

    /// Replaces all files.
    fn put(&self, contents: &BTreeMap<String, Vec<u8>>) {
        for name in self.contents().keys() {
            fs::remove_file(self.0.join(name)).expect("a file");
        }
        for (name, bytes) in contents {
            fs::write(self.0.join(name), bytes).expect("a file");
        }
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn member(name: &str) -> StoreMember {
    let addr = "10.0.0.1:7601".parse().expect("an address");
    StoreMember { name: name.into(), zone: "a".into(), addr, disk: 77 }
}

fn config(serial: u64, content: &str) -> Change {
    Change::Config(ConfigDocument::new(serial, content.as_bytes().to_vec()))
}

fn terms(tenant: &str) -> Change {
    let position = TrialPosition { version: 1, digest: 5, step: 0 };
    Change::TrialTerms(TrialRecord { tenant: tenant.into(), position, terms: b"{}".to_vec() })
}

fn changes(serial: u64) -> Vec<Change> {
    let drained = serial.is_multiple_of(2);
    vec![
        config(serial, &format!("content {serial}")),
        Change::Drain { zone: "a".into(), drained },
        Change::Proxies([(format!("p{serial}").as_str().into(), true)].into()),
        terms(&format!("t{serial}")),
    ]
}

fn record(round: u64, changes: &[Change]) -> Record {
    let membership = Membership { epoch: 3, voters: vec![member("s0")], previous: Vec::new() };
    let mut state = State { membership, ..State::default() };
    for change in changes {
        assert_eq!(state.apply(change), Proposed::Durable);
    }
    Record {
        promised: Ballot { round: round + 1, proposer: 9 },
        accepted: Ballot { round, proposer: 8 },
        state,
    }
}

/// Initializes a directory and writes these records in order.
fn initialized(dir: &Path, records: &[Record]) -> DataDir {
    let mut data_dir = DataDir::open(dir).expect("the directory");
    assert_eq!(data_dir.load("s0").expect("the directory"), Loaded::Empty);
    data_dir.initialize(&member("s0"), true).expect("the disk");
    records.iter().for_each(|record| data_dir.write(record).expect("the disk"));
    data_dir
}

fn load(dir: &Path) -> Loaded {
    DataDir::open(dir).expect("the directory").load("s0").expect("a directory of this store")
}

fn intact(record: &Record) -> Loaded {
    Loaded::Intact { me: member("s0"), founder: true, record: Box::new(record.clone()) }
}

fn is_damaged(dir: &Path) -> bool {
    matches!(load(dir), Loaded::Damaged(_))
}

#[test]
fn records_survive_a_restart() {
    let dir = Dir::new();
    drop(initialized(&dir.0, &[]));
    assert_eq!(load(&dir.0), intact(&Record::default()), "an initialized directory is not an empty disk");
    let last = record(2, &changes(4));
    let mut data_dir = DataDir::open(&dir.0).expect("the directory");
    data_dir.load("s0").expect("the directory");
    for record in [record(1, &changes(3)), last.clone()] {
        data_dir.write(&record).expect("the disk");
    }
    assert_eq!(load(&dir.0), intact(&last));
}

#[test]
fn old_parts_are_removed() {
    let dir = Dir::new();
    let records: Vec<Record> = (1..=200).map(|serial| record(serial, &changes(serial))).collect();
    drop(initialized(&dir.0, &records));
    let names: Vec<String> = dir.contents().into_keys().collect();
    assert_eq!(names.len(), 4, "a manifest and three parts: {names:?}");
    assert_eq!(load(&dir.0), intact(&records[199]));
}

/// Parts are synced before the manifest is renamed, so until then each may be absent, torn or complete; old parts
/// are removed after it, in any order.
#[test]
fn power_loss_at_any_step_leaves_the_old_or_the_new_record() {
    let (old, new) = (record(1, &changes(3)), record(2, &changes(4)));
    let dir = Dir::new();
    drop(initialized(&dir.0, std::slice::from_ref(&old)));
    let before = dir.contents();
    let mut data_dir = DataDir::open(&dir.0).expect("the directory");
    data_dir.load("s0").expect("the directory");
    data_dir.write(&new).expect("the disk");
    let after = dir.contents();
    let added: Vec<&String> = after.keys().filter(|name| !before.contains_key(*name)).collect();
    let removed: Vec<&String> = before.keys().filter(|name| !after.contains_key(*name)).collect();
    assert_eq!((added.len(), removed.len()), (3, 3));
    for choice in 0..3u32.pow(4) {
        let mut contents = before.clone();
        let temporary = format!("{MANIFEST}.new");
        let pieces = added.iter().map(|name| (name.to_string(), &after[*name]));
        let pieces = pieces.chain([(temporary, &after[MANIFEST])]);
        for (index, (name, bytes)) in pieces.enumerate() {
            match choice / 3u32.pow(index as u32) % 3 {
                0 => {}
                1 => drop(contents.insert(name, bytes[..bytes.len() / 2].to_vec())),
                _ => drop(contents.insert(name, bytes.clone())),
            }
        }
        dir.put(&contents);
        assert_eq!(load(&dir.0), intact(&old), "{choice}");
        let mut data_dir = DataDir::open(&dir.0).expect("the directory");
        data_dir.load("s0").expect("the directory");
        data_dir.write(&new).expect("the disk");
        assert_eq!(load(&dir.0), intact(&new), "{choice}: leftover files are harmless");
    }
    for choice in 0..2u32.pow(3) {
        let mut contents = after.clone();
        let kept = removed.iter().enumerate().filter(|(index, _)| choice >> index & 1 == 1);
        contents.extend(kept.map(|(_, name)| (name.to_string(), before[*name].clone())));
        dir.put(&contents);
        assert_eq!(load(&dir.0), intact(&new), "{choice}");
    }
}

#[test]
fn every_flipped_or_missing_byte_is_detected_and_the_manifest_is_kept() {
    let dir = Dir::new();
    let last = record(2, &changes(4));
    drop(initialized(&dir.0, std::slice::from_ref(&last)));
    let contents = dir.contents();
    for (name, bytes) in &contents {
        for at in 0..bytes.len() {
            for flipped in [true, false] {
                let mut damaged = bytes.clone();
                damaged[at] ^= 1;
                let damaged = if flipped { damaged } else { bytes[..at].to_vec() };
                let mut all = contents.clone();
                all.insert(name.clone(), damaged);
                dir.put(&all);
                let loaded = load(&dir.0);
                assert!(
                    matches!(loaded, Loaded::Damaged(_)),
                    "{name} at {at}, flipped {flipped}: {loaded:?}"
                );
            }
        }
    }
    assert!(dir.contents().contains_key("store.json.damaged"));
}

#[test]
fn missing_file_is_damage_and_not_an_empty_disk() {
    let dir = Dir::new();
    drop(initialized(&dir.0, &[record(2, &changes(4))]));
    let contents = dir.contents();
    for name in contents.keys() {
        let mut left = contents.clone();
        left.remove(name);
        dir.put(&left);
        assert!(is_damaged(&dir.0), "{name}");
        assert!(name == MANIFEST || load(&dir.0) != Loaded::Empty, "{name}");
    }
}

#[test]
fn damaged_directory_can_be_initialized_for_a_new_store() {
    let dir = Dir::new();
    drop(initialized(&dir.0, &[record(2, &changes(4))]));
    fs::write(dir.0.join(MANIFEST), b"").expect("a file");
    let mut data_dir = DataDir::open(&dir.0).expect("the directory");
    assert!(matches!(data_dir.load("s0"), Ok(Loaded::Damaged(_))));
    let me = StoreMember { disk: 78, ..member("s0") };
    data_dir.initialize(&me, false).expect("the disk");
    let next = record(3, &changes(4));
    data_dir.write(&next).expect("the disk");
    assert_eq!(load(&dir.0), Loaded::Intact { me, founder: false, record: Box::new(next) });
}

#[test]
fn foreign_directory_and_old_format_are_refused() {
    let dir = Dir::new();
    drop(initialized(&dir.0, &[]));
    let mut data_dir = DataDir::open(&dir.0).expect("the directory");
    assert!(matches!(data_dir.load("s1"), Err(DataDirError::Foreign(owner)) if owner == member("s0")));
    let dir = Dir::new();
    fs::write(dir.0.join("members.json"), b"[]").expect("a file");
    let refused = DataDir::open(&dir.0).expect("the directory").load("s0").expect_err("an old format");
    assert!(refused.to_string().contains("members.json"), "{refused}");
}

#[test]
fn unrelated_files_are_ignored() {
    let dir = Dir::new();
    for name in ["notes.txt", "store.json.new", "trial-audit.redb"] {
        fs::write(dir.0.join(name), b"{}").expect("a file");
    }
    assert_eq!(load(&dir.0), Loaded::Empty);
}

#[test]
fn failed_write_leaves_the_old_record() {
    let dir = Dir::new();
    let old = record(1, &changes(3));
    let mut data_dir = initialized(&dir.0, std::slice::from_ref(&old));
    // A directory blocks the name of the next part.
    let version = ConfigVersion { serial: 4, digest: hingestage_replication::digest(b"content 4") };
    let blocking_dir = dir.0.join(format!("config-{:08x}-{:016x}.json", version.serial, version.digest));
    fs::create_dir(&blocking_dir).expect("a directory");
    assert!(data_dir.write(&record(2, &changes(4))).is_err());
    fs::remove_dir(&blocking_dir).expect("a directory");
    assert_eq!(load(&dir.0), intact(&old));
    data_dir.write(&record(2, &changes(4))).expect("the disk");
    assert_eq!(load(&dir.0), intact(&record(2, &changes(4))));
}
