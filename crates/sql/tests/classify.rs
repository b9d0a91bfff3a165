//! Classification of SQL statements.

use base::document::{KeyRule, Rule, Verb};
use proptest::prelude::*;
use rstest::rstest;
use sql::{Cache, Kind, Script, rules};

fn kind(text: &str) -> Kind {
    let script = Script::parse(text);
    assert_eq!(script.statements.len(), 1, "{script:?}");
    script.statements[0].kind.clone()
}

fn set(name: &str, value: Option<&str>) -> Kind {
    Kind::Set {
        name: name.into(),
        value: value.map(Into::into),
        local: false,
    }
}

/// Guards against a write that is classified as a read and sent to a replica, and against a read
/// that is never sent to one.
#[rstest]
#[case::select("SELECT v FROM t WHERE k = $1", Kind::Read)]
#[case::join(
    "select count(*) from a join b using (id) where lower(a.x) = 'y'",
    Kind::Read
)]
#[case::cte("WITH a AS (SELECT 1) SELECT * FROM a", Kind::Read)]
#[case::values("VALUES (1), (2)", Kind::Read)]
#[case::explain("EXPLAIN SELECT 1", Kind::Read)]
#[case::now("SELECT now()", Kind::Read)]
#[case::catalog("SELECT pg_catalog.format_type(1, 2)", Kind::Read)]
#[case::explain_analyze("EXPLAIN ANALYZE DELETE FROM t", Kind::Unknown)]
#[case::for_update("SELECT v FROM t FOR UPDATE", Kind::Unknown)]
#[case::inner_lock("SELECT * FROM (SELECT v FROM t FOR SHARE) x", Kind::Unknown)]
#[case::nextval("SELECT nextval('s')", Kind::Unknown)]
#[case::own_function("SELECT book(1)", Kind::Unknown)]
#[case::foreign_schema("SELECT app.count(1)", Kind::Unknown)]
#[case::table_function("SELECT * FROM book(1)", Kind::Unknown)]
#[case::hidden_function("SELECT 1 WHERE EXISTS (SELECT setval('s', 1))", Kind::Unknown)]
#[case::writing_cte("WITH a AS (DELETE FROM t RETURNING k) SELECT * FROM a", Kind::Unknown)]
#[case::select_into("SELECT 1 INTO t", Kind::Unknown)]
#[case::garbage("SELEKT 1", Kind::Unknown)]
#[case::open_quote("SELECT 'x", Kind::Unknown)]
#[case::insert("INSERT INTO t VALUES (1)", Kind::Write)]
#[case::update("UPDATE t SET v = 1", Kind::Write)]
#[case::delete("DELETE FROM t", Kind::Write)]
#[case::create("CREATE TABLE t (k int)", Kind::Write)]
#[case::begin("BEGIN", Kind::Begin { read_only: false })]
#[case::start("START TRANSACTION ISOLATION LEVEL SERIALIZABLE READ ONLY", Kind::Begin { read_only: true })]
#[case::read_write("BEGIN READ WRITE", Kind::Begin { read_only: false })]
#[case::commit("COMMIT", Kind::Commit)]
#[case::end("END", Kind::Commit)]
#[case::rollback("ROLLBACK", Kind::Rollback)]
#[case::abort("ABORT", Kind::Rollback)]
#[case::savepoint("ROLLBACK TO SAVEPOINT a", Kind::Unknown)]
#[case::copy("COPY t FROM STDIN", Kind::Copy)]
#[case::copy_out("copy (select 1) to stdout", Kind::Copy)]
#[case::listen("LISTEN a", Kind::SessionBound("LISTEN"))]
#[case::temporary("CREATE TEMP TABLE x (k int)", Kind::SessionBound("CREATE TEMPORARY"))]
#[case::set_config("SELECT set_config('a', 'b', false)", Kind::SessionBound("set_config"))]
#[case::session_lock("SELECT pg_advisory_lock(1)", Kind::SessionBound("pg_advisory_lock"))]
#[case::transaction_lock("SELECT pg_advisory_xact_lock(1)", Kind::Unknown)]
#[case::held_cursor(
    "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
    Kind::SessionBound("DECLARE … WITH HOLD")
)]
#[case::unlisten("UNLISTEN *", Kind::Release("UNLISTEN"))]
#[case::unlock("SELECT pg_advisory_unlock_all()", Kind::Release("SELECT 1"))]
#[case::do_block("DO $$ BEGIN DELETE FROM t; END $$", Kind::Unknown)]
fn classifies_statements(#[case] text: &str, #[case] expected: Kind) {
    assert_eq!(kind(text), expected);
}

/// Guards against a session parameter that is lost or parsed as another one.
#[rstest]
#[case::token(
    "SET goldcrestrail.token = '3/10'",
    set("goldcrestrail.token", Some("3/10"))
)]
#[case::to(
    "set session goldcrestrail.MAX_AGE to 500",
    set("goldcrestrail.max_age", Some("500"))
)]
#[case::negative("SET x = -1", set("x", Some("-1")))]
#[case::list("SET search_path TO a, b", set("search_path", Some("a, b")))]
#[case::default("SET x TO DEFAULT", set("x", None))]
#[case::reset("RESET goldcrestrail.key", set("goldcrestrail.key", None))]
#[case::zone("SET TIME ZONE 'UTC'", set("timezone", Some("UTC")))]
#[case::show("SHOW goldcrestrail.token", Kind::Show("goldcrestrail.token".into()))]
fn reads_parameters(#[case] text: &str, #[case] expected: Kind) {
    assert_eq!(kind(text), expected);
}

/// Guards against a semicolon in a string, comment or dollar quote that splits a statement.
#[test]
fn splits_only_at_statement_ends() {
    let text = "SELECT 'é;' ; /* ; */ INSERT INTO t VALUES ($$;$$);\n-- ;\n;COMMIT";

    let script = Script::parse(text);

    let parts: Vec<_> = script
        .statements
        .iter()
        .map(|statement| text[statement.range.clone()].trim())
        .collect();
    assert_eq!(
        parts,
        [
            "SELECT 'é;'",
            "/* ; */ INSERT INTO t VALUES ($$;$$)",
            "COMMIT"
        ]
    );
}

/// Guards against a key that is taken from anywhere but a leading comment.
#[rstest]
#[case::plain("/* goldcrestrail.key=o-1 */ SELECT 1", Some("o-1"))]
#[case::quoted("  /*goldcrestrail.key = 'o 1'*/SELECT 1", Some("o 1"))]
#[case::later("SELECT 1 /* goldcrestrail.key=o-1 */", None)]
#[case::empty("/* goldcrestrail.key= */ SELECT 1", None)]
#[case::other("/* goldcrestrail.keys=a */ SELECT 1", None)]
fn finds_leading_key(#[case] text: &str, #[case] expected: Option<&str>) {
    assert_eq!(Script::parse(text).key.as_deref(), expected);
}

/// Guards against a spelling that bypasses a rule which requires an idempotency key.
#[rstest]
#[case::insert("INSERT INTO orders VALUES (1)", true)]
#[case::schema("insert into app.ORDERS values (1)", true)]
#[case::quoted("INSERT INTO \"orders\" VALUES (1)", true)]
#[case::inner(
    "WITH a AS (INSERT INTO orders VALUES (1) RETURNING 1) SELECT * FROM a",
    true
)]
#[case::second("SELECT 1; INSERT INTO orders VALUES (1)", true)]
#[case::merge(
    "MERGE INTO orders o USING n ON o.k = n.k WHEN NOT MATCHED THEN INSERT VALUES (1)",
    true
)]
#[case::unparsable("DO $$ BEGIN INSERT INTO orders VALUES (1); END $$", true)]
#[case::explained("EXPLAIN ANALYZE INSERT INTO orders VALUES (1)", true)]
#[case::other_verb("DELETE FROM orders", false)]
#[case::other_table("INSERT INTO orders_old VALUES (1)", false)]
#[case::read("SELECT * FROM orders", false)]
fn finds_rules(#[case] text: &str, #[case] expected: bool) {
    let rule = Rule {
        table: "orders".into(),
        verbs: vec![Verb::Insert],
        key: KeyRule::Required,
    };

    let rules = [rule];
    let found = rules::rule_requiring_key(text, &Script::parse(text), &rules);

    assert_eq!(found.is_some(), expected);
}

/// Guards against a cache that grows without bound or returns the script of another text.
#[test]
fn cache_stays_bounded() {
    let mut cache = Cache::new(10);

    for i in 0..1_000 {
        let script = cache.script(&format!("SELECT {i}"));
        assert_eq!(script.statements[0].kind, Kind::Read);
        assert_eq!(
            cache.script("DELETE FROM t").statements[0].kind,
            Kind::Write
        );
    }

    assert!(cache.len() <= 10, "{}", cache.len());
}

/// Guards against a long chain of operators that overflows the stack. The test runs on a stack of
/// 4 MiB, half of what a process has.
#[rstest]
#[case::sum("SELECT 1", "+1")]
#[case::or("SELECT 1 WHERE a", " OR a")]
#[case::union("SELECT 1", " UNION SELECT 1")]
#[case::cast("SELECT 1", "::int")]
#[case::brackets("SELECT a", "[1]")]
#[case::join("SELECT 1 FROM a", " JOIN a USING (b)")]
#[case::is_null("SELECT a", " IS NULL")]
#[case::dots("SELECT a", ".a")]
#[case::minus("SELECT ", "- ")]
#[case::case_when("SELECT ", "CASE WHEN ")]
#[case::array("SELECT ", "ARRAY[")]
#[case::interval("SELECT ", "INTERVAL ")]
#[case::exists("SELECT ", "EXISTS (SELECT ")]
#[case::from("SELECT * FROM ", "(")]
#[case::lateral("SELECT * FROM ", "LATERAL (SELECT * FROM ")]
#[case::with("", "WITH a AS (")]
#[case::explain("", "EXPLAIN ")]
#[case::cast_to("SELECT ", "CAST(a AS ")]
#[case::function("SELECT ", "f(")]
#[case::types("CREATE TABLE t (a ", "ARRAY<")]
#[case::prepare("", "EXPLAIN ANALYZE ")]
#[case::at_zone("SELECT a", " AT TIME ZONE 'x'")]
#[case::collate("SELECT a", " COLLATE c")]
#[case::between("SELECT a", " BETWEEN 1 AND 2")]
#[case::json("SELECT a", "->'b'")]
fn survives_long_chains(#[case] start: &str, #[case] link: &str) {
    for links in [900, 250_000 / link.len()] {
        let text = format!("{start}{}", link.repeat(links));
        let small = std::thread::Builder::new().stack_size(4 << 20);

        let script = small.spawn(move || Script::parse(&text)).unwrap().join();

        assert_eq!(script.unwrap().statements.len(), 1);
    }
}

/// Guards against a deeply nested statement that overflows the stack.
#[rstest]
#[case::parentheses("(", ")")]
#[case::not("NOT ", "")]
#[case::selects("(SELECT ", ")")]
fn survives_deep_nesting(#[case] open: &str, #[case] close: &str) {
    let text = format!("SELECT {}1{}", open.repeat(20_000), close.repeat(20_000));

    let script = Script::parse(&text);

    assert_eq!(script.statements[0].kind, Kind::Unknown);
}

proptest! {
    /// Guards against a panic on arbitrary text.
    #[test]
    fn never_panics(text in ".*") {
        let _script = Script::parse(&text);
    }

    /// Guards against a panic on sequences of SQL fragments.
    #[test]
    fn never_panics_on_fragments(
        parts in prop::collection::vec(
            prop::sample::select(vec![
                "SELECT", "INSERT INTO", "SET", "SHOW", "RESET", "goldcrestrail", ".", "token", "=",
                "'a'", "\"b\"", ";", "(", ")", ",", "WITH", "AS", "BEGIN", "COMMIT", "COPY", "/*",
                "*/", "--", "\n", "$$", "é", "FROM", "t", "1", "-", "LOCAL", "TO", "DISCARD",
                "DEALLOCATE", "CASE", "END", "CREATE", "FUNCTION", "TABLE", "FOR UPDATE", "E'\\",
            ]),
            0..20,
        )
    ) {
        let text = parts.join(" ");
        for statement in Script::parse(&text).statements {
            prop_assert!(text.get(statement.range).is_some());
        }
    }
}
