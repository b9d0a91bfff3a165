//! Idle connections by owner.

use std::{rc::Rc, time::Instant};

use base::Set;
use compio::net::TcpStream;
use rustix::net::RecvFlags;

use crate::dialect::Client;

/// Organisation that a connection was opened for; `None` for the deployment itself.
pub(super) type Owner = Option<Rc<str>>;

/// Connections that a request can use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Need {
    /// Only those of this owner.
    Owner(Owner),
    /// All, for statements of the deployment itself.
    Any,
}

impl Need {
    /// Whether a connection of `owner` may serve the request.
    pub(super) fn admits(&self, owner: &Owner) -> bool {
        match self {
            Self::Owner(own) => own == owner,
            Self::Any => true,
        }
    }

    /// Owner of a connection that is opened for the request.
    pub(super) const fn owner(&self) -> &Owner {
        match self {
            Self::Owner(owner) => owner,
            Self::Any => &None,
        }
    }
}

/// What a request wants of a connection.
#[derive(Debug)]
pub(super) struct Criteria<C: Client> {
    pub(super) need: Need,
    /// State of its session; connections that have more of it are preferred.
    pub(super) session: Option<Rc<C::SessionState>>,
}

impl<C: Client> Criteria<C> {
    fn setup_cost(&self, conn: &Conn<C>) -> u32 {
        let session = self.session.as_ref();
        session.map_or(0, |session| conn.client.setup_cost(session))
    }
}

/// An open connection. Its owner never changes.
#[derive(Debug)]
pub(super) struct Conn<C> {
    pub(super) client: C,
    pub(super) stream: TcpStream,
    pub(super) owner: Owner,
    pub(super) prepared: Set<String>,
    pub(super) last_used: Instant,
    pub(super) last_checked: Instant,
    pub(super) counted_bytes: (u64, u64),
}

impl<C: Client> Conn<C> {
    /// Whether the peer has neither closed the connection nor sent unsolicited data.
    fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let result = rustix::net::recv(&self.stream, &mut byte, flags);
        matches!(result, Err(rustix::io::Errno::AGAIN)) && !self.client.has_bytes()
    }
}

/// Idle connections; the one that was used last is at the end.
#[derive(Debug)]
pub(super) struct Idle<C>(pub(super) Vec<Conn<C>>);

impl<C: Client> Idle<C> {
    /// Whether a connection is usable for `criteria`. Drops connections that the member closed.
    pub(super) fn has_usable(&mut self, criteria: &Criteria<C>) -> bool {
        while let Some(index) = self.position(criteria) {
            if self.0[index].is_quiet() {
                return true;
            }
            self.0.remove(index);
        }
        false
    }

    /// Takes the connection for `criteria` with the least setup cost, and among these the one that was
    /// used last.
    pub(super) fn take(&mut self, criteria: &Criteria<C>) -> Option<Conn<C>> {
        self.position(criteria).map(|index| self.0.remove(index))
    }

    /// Takes the connection that was unused for longest among those that `replaceable` is true for.
    pub(super) fn take_oldest(
        &mut self,
        mut replaceable: impl FnMut(&Conn<C>) -> bool,
    ) -> Option<Conn<C>> {
        let candidates = self.0.iter().enumerate();
        let (index, _) = candidates
            .filter(|(_, conn)| replaceable(conn))
            .min_by_key(|(_, conn)| conn.last_used)?;
        Some(self.0.remove(index))
    }

    fn position(&self, criteria: &Criteria<C>) -> Option<usize> {
        let last_first = self.0.iter().enumerate().rev();
        let admitted = last_first.filter(|(_, conn)| criteria.need.admits(&conn.owner));
        let best = admitted.min_by_key(|(_, conn)| criteria.setup_cost(conn));
        best.map(|(index, _)| index)
    }
}
