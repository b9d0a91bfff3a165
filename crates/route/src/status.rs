//! Status that a database reports about itself.

use base::{MemberName, Position, StoreId};
use serde::Serialize;

/// Statement that returns the row for [`Status::parse`], sent on a management connection.
pub const SHOW_STATUS: &str = "SHOW upstream_status";

/// Status of a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the member.
    pub member: MemberName,
    /// Random id of the data directory.
    pub store: StoreId,
    /// Whether the member considers itself primary.
    pub primary: bool,
    /// Position of the member.
    pub position: Position,
    /// Address of the primary that the member follows, or empty.
    pub following: String,
}

impl Status {
    /// Parses the row `member, store, role, term, offset, primary`; `None` if the row has another
    /// form.
    ///
    /// ```
    /// let row = ["b", "s1", "replica", "3", "1042", "127.0.1.61:5432"];
    /// let row = row.map(|text| Some(text.to_owned())).to_vec();
    /// let status = route::Status::parse(row).unwrap();
    /// assert_eq!((status.primary, status.position.offset), (false, 1042));
    /// ```
    #[must_use]
    pub fn parse(row: Vec<Option<String>>) -> Option<Self> {
        let row: Vec<String> = row.into_iter().map(Option::unwrap_or_default).collect();
        let [member, store, role, term, offset, following] = <[String; 6]>::try_from(row).ok()?;
        let primary = match role.as_str() {
            "primary" => true,
            "replica" => false,
            _ => return None,
        };
        Some(Self {
            member,
            store,
            primary,
            position: Position::new(term.parse().ok()?, offset.parse().ok()?),
            following,
        })
    }
}
