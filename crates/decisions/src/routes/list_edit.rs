use std::{collections::HashMap, hash::Hash};

use serde::{Deserialize, Serialize};

/// Part of a list, in terms of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ListEdit<T> {
    /// Items that the earlier list has as well.
    Keep {
        /// Position of the first one there.
        from: u32,
        count: u32,
    },
    Insert(Vec<T>),
}

/// The parts of `new`, as changes of `old`.
pub(super) fn edits_between<T: Clone + Eq + Hash>(old: &[T], new: &[T]) -> Vec<ListEdit<T>> {
    let positions: HashMap<&T, u32> = old.iter().zip(0..).collect();
    let mut edits = Vec::new();
    for item in new {
        let position = positions.get(item).copied();
        match (edits.last_mut(), position) {
            (Some(ListEdit::Keep { from, count }), Some(at)) if at == *from + *count => *count += 1,
            (_, Some(from)) => edits.push(ListEdit::Keep { from, count: 1 }),
            (Some(ListEdit::Insert(items)), None) => items.push(item.clone()),
            (_, None) => edits.push(ListEdit::Insert(vec![item.clone()])),
        }
    }
    edits
}

/// The list that the edits make of `old`; `None` if they are not edits of this list.
pub(super) fn apply_edits<T: Clone>(old: &[T], edits: Vec<ListEdit<T>>) -> Option<Vec<T>> {
    let mut new = Vec::new();
    for edit in edits {
        match edit {
            ListEdit::Keep { from, count } => {
                let end = from.checked_add(count)? as usize;
                new.extend_from_slice(old.get(from as usize..end)?);
            }
            ListEdit::Insert(items) => new.extend(items),
        }
    }
    Some(new)
}
