//! Committed files must match the code: tables, schema, example deployments.

use std::collections::HashSet;
use std::fs;
use std::path::Path;

use ledgespool::event::EventCode;
use ledgespool::result_code::ResultCode;
use ledgespool::{catalogue, declaration, openrpc, settings};

#[test]
fn result_code_table_matches_the_code() {
    let text = fs::read_to_string("docs/RESULT-CODES.md").expect("the page");
    assert!(
        text.contains(&catalogue::result_code_table()),
        "run `ledgespool explain --markdown` and copy the table"
    );
}

#[test]
fn event_table_matches_the_code() {
    let text = fs::read_to_string("docs/EVENTS.md").expect("the page");
    assert!(
        text.contains(&catalogue::event_table()),
        "run `ledgespool explain --markdown` and copy the table"
    );
}

#[test]
fn numbers_are_unique() {
    let codes: HashSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(codes.len(), ResultCode::ALL.len());
    let events: HashSet<u16> = EventCode::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(events.len(), EventCode::ALL.len());
}

#[test]
fn schema_matches_the_code() {
    let text = fs::read_to_string("schema/openrpc.json").expect("the schema");
    assert_eq!(
        text.trim(),
        openrpc::document_text(),
        "run `ledgespool schema > schema/openrpc.json`"
    );
}

#[test]
fn example_deployments_have_the_expected_sizes() {
    for (dir, services) in [
        ("firm", [(24, 9), (12, 3)]),
        ("registry", [(24, 3), (12, 3)]),
    ] {
        let declaration =
            declaration::from_dir(&Path::new("examples").join(dir)).expect("a valid declaration");
        assert_eq!(declaration.regions.len(), 3, "{dir}");
        assert_eq!(declaration.halls.len(), 6, "{dir}");
        for (service, (servers, slots)) in declaration.services.iter().zip(services) {
            let of_service: Vec<_> = declaration
                .servers
                .iter()
                .filter(|server| server.service == service.name)
                .collect();
            assert_eq!(of_service.len(), servers, "{dir} {}", service.name);
            assert!(
                of_service
                    .iter()
                    .all(|server| server.slots == slots && server.connections == 330)
            );
        }
    }
}

#[test]
fn example_settings_are_valid() {
    let settings =
        settings::from_file(Path::new("examples/settings.jsonc")).expect("valid settings");
    assert_eq!(settings.name, "entry-1");
}
