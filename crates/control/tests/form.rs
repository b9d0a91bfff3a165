//! The console's service form.

use base::document::Document;
use control::form::ServiceForm;

const DOCUMENT: &str = r#"
[[service]]
name = "s"
group = "g"

[[route]]
name = "orders"
service = "s"
reads = "latest"
age_ms = 0
deadline_ms = 800
objective_ms = 500

[[route]]
name = "lookup"
service = "s"
reads = "latest"
age_ms = 0
deadline_ms = 800
objective_ms = 500
public = true

[[organisation]]
name = "acme"
keys = ["00112233445566778899aabbccddeeff"]
priority = 1
rate = { per_second = 200, burst = 40 }
"#;

/// Guards against a form that drops what it doesn't show: organisations and their keys, without which
/// callers would need none, and public routes.
#[test]
fn saved_form_keeps_organisations() {
    let document = Document::parse(DOCUMENT).unwrap();
    let mut form = ServiceForm::from_service(&document.services[0]);
    form.connections = "30".to_owned();

    let text = form.apply_to(&document).unwrap();

    let saved = Document::parse(&text).unwrap();
    assert_eq!(saved.services[0].connections, 30);
    assert_eq!(document.organisations.as_ref().map(Vec::len), Some(1));
    assert_eq!(saved.organisations, document.organisations);
    assert_eq!(saved.routes, document.routes);
}

/// Guards against an empty list of organisations that gets lost, which would let every caller in.
#[test]
fn saved_form_keeps_an_empty_list() {
    let text = format!(
        "organisation = []\n{}",
        "[[service]]\nname = \"s\"\ngroup = \"g\"\n"
    );
    let document = Document::parse(&text).unwrap();
    let form = ServiceForm::from_service(&document.services[0]);

    let saved = Document::parse(&form.apply_to(&document).unwrap()).unwrap();

    assert_eq!(saved.organisations, Some(Vec::new()));
}
