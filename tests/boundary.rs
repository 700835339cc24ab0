//! The platform's wire names stay in `platform/`; the library must not use them.

use std::{fs, path};

/// Names that only the platform uses. Names that the library uses as well (`address`, `status`,
/// `slots`) cannot be told apart and are left out.
const WIRE_NAMES: &[&str] = &[
    "\"request-id\"",
    "request-deadline",
    "affinity-key",
    "response-signature",
    "target-instance",
    "server-load",
    "server-limit",
    "server-leaving",
    "store-era",
    "not-executed",
    "instance-id",
    "cold-ms",
    "/-/ready",
    "/-/resolve",
    "/-/objects",
    "path_prefix",
    "home_regions",
    "max_conns",
    "warmup",
    "header_timeout",
    "has_more",
    "store_revision",
    "is_stale",
    "addrs",
    "finalizers",
    "idempotent",
    "mutating",
    "boot.conf",
    "ledgespool_node_file",
    "entry-hosts",
    "entry-quarantine",
    "value_bytes",
    "base_version",
];

fn collect_sources(folder: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let entry = entry.expect("a readable entry").path();
        if entry.is_dir() {
            collect_sources(&entry, found);
        } else if entry.extension().is_some_and(|kind| kind == "rs") {
            found.push(entry);
        }
    }
}

#[test]
fn library_contains_no_wire_names_of_the_platform() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&root.join("src"), &mut files);
    assert!(files.len() > 50, "the sources were found");
    let mut faults = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file)
            .expect("a readable source")
            .to_lowercase();
        for (number, line) in text.lines().enumerate() {
            for name in WIRE_NAMES.iter().filter(|name| line.contains(**name)) {
                faults.push(format!("{}:{}: {name}", file.display(), number + 1));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn library_does_not_depend_on_the_platform_crate() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let manifest = fs::read_to_string(root.join("Cargo.toml")).expect("the manifest");
    let dependencies = manifest
        .split("[dependencies]")
        .nth(1)
        .expect("dependencies");
    let dependencies = dependencies.split("\n[").next().expect("the section");
    assert!(!dependencies.contains("ledgespool-platform"));
}

#[test]
fn only_the_send_gate_writes_requests_to_servers() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&root.join("src/entry"), &mut files);
    let writers = files.iter().filter(|file| {
        let text = fs::read_to_string(file).expect("a readable source");
        text.contains("send_request(")
    });
    let names: Vec<_> = writers.filter_map(|file| file.file_name()).collect();
    assert_eq!(names, ["send_gate.rs"]);
}
