use std::{rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{identity::HostId, positions::LogPosition};

use super::{database_pool::DatabasePool, pool_target::PoolTarget, upstream_link::UpstreamLink};

/// A connection in use, or the place of one that is about to be opened; dropping it
/// without `release` closes it.
#[derive(Debug)]
pub(super) struct PooledLink {
    link: Option<UpstreamLink>,
    pool: Rc<DatabasePool>,
    /// Workspace to which the connection belongs, if it belongs to one.
    workspace: Option<Arc<str>>,
    /// Priority of the statement for which it was acquired.
    priority: u32,
    /// Position that the database reported, if the connection was opened for this
    /// use.
    pub(super) position_at_open: Option<LogPosition>,
    released: bool,
    pinned: bool,
}

impl PooledLink {
    /// A connection, or the place of one, that the pool has counted as open and running.
    pub(super) fn new(
        pool: Rc<DatabasePool>,
        link: Option<UpstreamLink>,
        workspace: Option<Arc<str>>,
        priority: u32,
    ) -> Self {
        Self {
            link,
            pool,
            workspace,
            priority,
            position_at_open: None,
            released: false,
            pinned: false,
        }
    }

    /// Fills the place with a connection that was opened for it.
    pub(super) fn set_opened(&mut self, link: UpstreamLink, position: Option<LogPosition>) {
        self.link = Some(link);
        self.position_at_open = position;
    }

    /// The connection; `None` only while it is being opened.
    pub(super) fn link(&mut self) -> Option<&mut UpstreamLink> {
        self.link.as_mut()
    }

    pub(super) fn target(&self) -> &PoolTarget {
        self.pool.target()
    }

    /// The gateway through which the database is reached, if not directly.
    pub(super) fn gateway(&self) -> Option<HostId> {
        self.pool.gateway()
    }

    /// Pins the connection to a transaction: it no longer counts as running, so that
    /// it takes up no part of the window while the transaction waits.
    pub(super) fn pin(&mut self) {
        if !self.pinned {
            self.pinned = true;
            self.pool.subtract_running();
            self.pool.serve_waiters();
        }
    }

    pub(super) fn pool(&self) -> &DatabasePool {
        &self.pool
    }

    /// Records that the database answered a statement after `took`, or refused it as busy.
    pub(super) fn record_answer(&self, refused: bool, took: Duration) {
        let workspace = self.workspace.as_ref();
        self.pool.record_answer(refused, took, self.priority, workspace, self.pinned);
    }

    /// Returns the connection to the pool.
    pub(super) fn release(mut self) {
        let Some(link) = self.link.take() else {
            return;
        };
        self.released = true;
        if !self.pinned {
            self.pool.subtract_running();
        }
        self.pool.take_back(link, self.workspace.take());
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        if !self.released {
            // Closed before a waiting statement may open another one in its place.
            drop(self.link.take());
            if !self.pinned {
                self.pool.subtract_running();
            }
            self.pool.count_closed(self.workspace.as_ref());
        }
    }
}
