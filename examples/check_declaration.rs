//! Reads and checks a declaration directory, as `ledgespool check` does.
//!
//! `cargo run --example check_declaration examples/firm`

use std::path;

use ledgespool::{declaration, error};

fn main() -> error::Result<()> {
    let dir = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "examples/firm".to_owned());
    let declaration = declaration::from_dir(path::Path::new(&dir))?;
    for service in &declaration.services {
        println!("{}: {} classes", service.name, service.classes.len());
    }
    Ok(())
}
