//! Computes the position that enough recorded members have stored.

use base::{Map, MemberName, Position, StoreId, Term};

/// Positions of the recorded members of one group in one term.
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
    offsets: Map<MemberName, u64>,
}

impl Confirmation {
    /// Starts with nothing confirmed in `term`. A position is confirmed once `needed` members, the
    /// primary included, have stored it.
    #[must_use]
    pub fn new(term: Term, recorded: Vec<(MemberName, StoreId)>, needed: usize) -> Self {
        Self {
            term,
            recorded,
            needed: needed.max(1),
            offsets: Map::default(),
        }
    }

    /// Term of the positions.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Applies a changed group record and keeps the offsets that are still valid.
    pub fn update_record(
        &mut self,
        term: Term,
        recorded: Vec<(MemberName, StoreId)>,
        needed: usize,
    ) {
        if term != self.term {
            self.offsets.clear();
        }
        self.offsets.retain(|member, _| {
            // The offset of a member whose recorded store changed belongs to the old store.
            let old = self.recorded.iter().find(|(name, _)| name == member);
            old.is_some_and(|pair| recorded.contains(pair))
        });
        self.term = term;
        self.recorded = recorded;
        self.needed = needed.max(1);
    }

    /// Applies the position from a status of a member. A position of another term is ignored. A
    /// status of a store that is not recorded removes the member's offset.
    pub fn update_position(&mut self, member: &str, store: &str, position: Position) {
        let known = self
            .recorded
            .iter()
            .any(|(name, id)| name == member && id == store);
        if !known {
            self.offsets.remove(member);
        } else if position.term == self.term {
            let offset = self.offsets.entry(member.to_owned()).or_default();
            *offset = (*offset).max(position.offset);
        }
    }

    /// Highest position that enough members have stored.
    #[must_use]
    pub fn confirmed(&self) -> Option<Position> {
        let mut offsets: Vec<u64> = self.offsets.values().copied().collect();
        offsets.sort_unstable_by(|a, b| b.cmp(a));
        offsets
            .get(self.needed - 1)
            .map(|&offset| Position::new(self.term, offset))
    }
}
