//! Classification of SQL statements, and matching against the rules of a service.
//!
//! ```
//! use sql::{Kind, Script};
//!
//! let script = Script::parse("/* goldcrestrail.key=o-17 */ INSERT INTO orders VALUES (1)");
//! assert_eq!(script.key.as_deref(), Some("o-17"));
//! assert_eq!(script.statements[0].kind, Kind::Write);
//! assert!(!script.is_read());
//! ```

pub mod cache;
mod functions;
mod inspect;
pub mod rules;
pub mod script;
mod session;
mod tokens;

pub use cache::Cache;
pub use script::{Kind, Script, Statement, TableChange};
