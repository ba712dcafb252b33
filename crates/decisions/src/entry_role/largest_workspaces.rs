use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Workspaces that are shown by name at the same time.
const NAMED_WORKSPACES: usize = 5;
/// Names shown while a process runs. The metrics keep each label for ever, so that the
/// number of names must be bounded beside that of the ones shown at a time.
const MAX_NAMES: usize = 32;
/// Label for all other workspaces.
pub const OTHER_WORKSPACES: &str = "other";
/// Label for connections that belong to no workspace.
pub const NO_WORKSPACE: &str = "none";

/// Chooses the workspaces whose connections metrics show by name.
#[derive(Debug, Default)]
pub struct LargestWorkspaces {
    names: BTreeSet<Arc<str>>,
}

impl LargestWorkspaces {
    /// Connections by label: the largest workspaces, all others together and those of no
    /// workspace. Names shown before and no longer among the largest get 0 and are
    /// counted with the others. Empty if no workspace ever had a connection.
    pub fn label_counts(
        &mut self,
        counts: &BTreeMap<Option<Arc<str>>, usize>,
    ) -> Vec<(Arc<str>, usize)> {
        let mut largest: Vec<(&Arc<str>, usize)> = counts
            .iter()
            .filter_map(|(workspace, count)| Some((workspace.as_ref()?, *count)))
            .collect();
        if largest.is_empty() && self.names.is_empty() {
            return Vec::new();
        }
        largest.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let mut labels: BTreeMap<Arc<str>, usize> =
            self.names.iter().map(|name| (name.clone(), 0)).collect();
        let mut other = 0;
        for (rank, (name, count)) in largest.into_iter().enumerate() {
            let is_reserved = matches!(&**name, OTHER_WORKSPACES | NO_WORKSPACE);
            let has_name = self.names.contains(name) || self.names.len() < MAX_NAMES;
            if rank < NAMED_WORKSPACES && has_name && !is_reserved {
                self.names.insert(name.clone());
                labels.insert(name.clone(), count);
            } else {
                other += count;
            }
        }
        let none = counts.get(&None).copied().unwrap_or(0);
        labels
            .into_iter()
            .chain([(OTHER_WORKSPACES.into(), other), (NO_WORKSPACE.into(), none)])
            .collect()
    }
}
