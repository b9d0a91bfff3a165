//! A fake authority that promotes databases some time after a request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::MemberName;
use compio::time::sleep;
use control::upstream::{Authority, CallOutcome, Fence, Target};
use futures_util::{FutureExt as _, future::LocalBoxFuture};

use super::Database;

/// What the authority does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handling {
    /// Accepts it and promotes the database after the delay.
    Accept(Duration),
    /// Gives no answer and promotes the database after the delay.
    Hide(Duration),
    /// Gives no answer and does nothing.
    Drop,
}

/// An authority for the databases of one group.
#[derive(Debug)]
pub struct FakeAuthority {
    pub databases: RefCell<Vec<Rc<RefCell<Database>>>>,
    pub handling: Cell<Handling>,
    /// Members whose promotion was requested.
    pub requests: RefCell<Vec<MemberName>>,
}

impl FakeAuthority {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            databases: RefCell::default(),
            handling: Cell::new(Handling::Accept(Duration::from_millis(50))),
            requests: RefCell::default(),
        })
    }
}

/// Makes `member` the primary of the next term; the others follow it.
fn act(databases: &[Rc<RefCell<Database>>], member: &str) {
    let terms = databases.iter().map(|d| d.borrow().position.term);
    let term = terms.max().unwrap_or_default() + 1;
    for database in databases {
        let mut state = database.borrow_mut();
        state.primary = state.member == member;
        state.position.term = term;
    }
}

impl Authority for FakeAuthority {
    fn promote<'a>(
        &'a self,
        target: &'a Target,
        _fence: &'a Fence,
        leads: &'a dyn Fn() -> bool,
    ) -> LocalBoxFuture<'a, CallOutcome> {
        assert!(leads(), "a host that does not lead requests a promotion");
        self.requests.borrow_mut().push(target.member.clone());
        let (delay, outcome) = match self.handling.get() {
            Handling::Accept(delay) => (Some(delay), CallOutcome::Accepted),
            Handling::Hide(delay) => (Some(delay), CallOutcome::Unanswered("hidden".to_owned())),
            Handling::Drop => (None, CallOutcome::Unanswered("dropped".to_owned())),
        };
        if let Some(delay) = delay {
            let (databases, member) = (self.databases.borrow().clone(), target.member.clone());
            compio::runtime::spawn(async move {
                sleep(delay).await;
                act(&databases, &member);
            })
            .detach();
        }
        async move { outcome }.boxed_local()
    }
}
