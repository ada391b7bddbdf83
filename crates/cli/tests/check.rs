//! `pitchstall check` reports errors with their location, and by its exit code.
#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::process::Command;
use test_case::test_case;

const EXIT_USAGE: i32 = 2;

fn check(file: &Path) -> (Option<i32>, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_pitchstall")).arg("check").arg(file).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

fn check_contents(name: &str, text: &str) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("pitchstall-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let checked = check(&file);
    std::fs::remove_file(&file).unwrap();
    checked
}

#[test_case("examples/serve.toml", "valid settings")]
#[test_case("examples/stay-in-zone.rhai", "valid policy program")]
fn examples_are_valid(file: &str, expected: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (code, text) = check(&root.join(file));
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains(expected), "{text}");
}

#[test]
fn effective_regions_are_printed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let example = std::fs::read_to_string(root.join("examples/serve.toml")).unwrap();
    let (code, text) = check_contents("regions.toml", &example);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("zone brest-hall (this node): region finistere"), "{text}");
    assert!(text.contains("zone quimper-hall: region finistere"), "{text}");
    let unnamed = example.replace("brest-hall = \"finistere\"", "");
    let (_, text) = check_contents("unnamed.toml", &unnamed);
    assert!(text.contains("brest-hall (this node): not named, a region of its own"), "{text}");
}

#[test_case("a.toml", "[node]\nname = 7\n", "line 2"; "a value of the wrong type")]
#[test_case("b.toml", "[node]\nname = \"n\"\nzone = \"z\"\n", "listen"; "a missing section")]
#[test_case("c.toml", "[nodes]\n", "nodes"; "an unknown section")]
#[test_case("d.rhai", "#{ zone", "parse"; "a program with a syntax error")]
#[test_case("e.rhai", "loop { }", "operations"; "a program that does not terminate")]
fn errors_are_reported_with_their_location(name: &str, text: &str, expected: &str) {
    let (code, output) = check_contents(name, text);
    assert_eq!(code, Some(EXIT_USAGE), "{output}");
    assert!(output.contains(expected), "{output}");
}
