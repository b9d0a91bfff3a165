//! Confirmation: the position that enough recorded members hold.

use base::{Map, MemberName, Position, StoreId, Term};

/// What the recorded members of one group hold in one term.
///
/// ```
/// use base::Position;
/// use route::Confirmation;
///
/// let pair = |name: &str| (name.to_owned(), format!("store-{name}"));
/// let mut group = Confirmation::new(3, vec![pair("a"), pair("b"), pair("c")], 2);
/// group.update_position("a", "store-a", Position::new(3, 9));
/// assert_eq!(group.confirmed(), None);
/// group.update_position("b", "store-b", Position::new(3, 7));
/// assert_eq!(group.confirmed(), Some(Position::new(3, 7)));
/// ```
#[derive(Debug, Clone)]
pub struct Confirmation {
    term: Term,
    recorded: Vec<(MemberName, StoreId)>,
    needed: usize,
    held: Map<MemberName, u64>,
}

impl Confirmation {
    /// Starts with nothing confirmed in `term`; `needed` members, the primary included, must hold
    /// a position.
    #[must_use]
    pub fn new(term: Term, recorded: Vec<(MemberName, StoreId)>, needed: usize) -> Self {
        Self {
            term,
            recorded,
            needed: needed.max(1),
            held: Map::default(),
        }
    }

    /// Term of the positions.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Takes over a changed record, and keeps what still counts.
    pub fn update_record(
        &mut self,
        term: Term,
        recorded: Vec<(MemberName, StoreId)>,
        needed: usize,
    ) {
        if term != self.term {
            self.held.clear();
        }
        self.held.retain(|member, _| {
            // A member whose recorded store changed holds nothing that was noted before.
            let old = self.recorded.iter().find(|(name, _)| name == member);
            old.is_some_and(|pair| recorded.contains(pair))
        });
        self.term = term;
        self.recorded = recorded;
        self.needed = needed.max(1);
    }

    /// Notes the status of a member. A status of another term or of a store that is not recorded
    /// counts for nothing, and the latter withdraws what the member held.
    pub fn update_position(&mut self, member: &str, store: &str, position: Position) {
        let known = self
            .recorded
            .iter()
            .any(|(name, id)| name == member && id == store);
        if !known {
            self.held.remove(member);
        } else if position.term == self.term {
            let held = self.held.entry(member.to_owned()).or_default();
            *held = (*held).max(position.offset);
        }
    }

    /// Highest position that enough members hold.
    #[must_use]
    pub fn confirmed(&self) -> Option<Position> {
        let mut offsets: Vec<u64> = self.held.values().copied().collect();
        offsets.sort_unstable_by(|a, b| b.cmp(a));
        offsets
            .get(self.needed - 1)
            .map(|&offset| Position::new(self.term, offset))
    }
}
