/*!
Dissemination trees for new entries.

There are two levels, each a complete tree of bounded fan-out over the sorted names, starting at its
root: one over the data centres, and one over the hosts of a data centre. Every host computes its
children from its own view, so the hosts need no agreement. A host that is missed because views
differ finds out when it compares revisions, and pulls.
*/

use crate::{
    id,
    membership::{Member, View},
};

/// Role of the hosts of a data centre that read the platform's table.
pub const WATCHER: &str = "watcher";
/// Number of children of a node.
pub const FANOUT: usize = 4;

/// Returns the children of `me` in the tree over the hosts of its data centre.
pub fn children<'a>(view: &'a View, me: &Member, root: &id::EntryHost) -> Vec<&'a Member> {
    let mut members: Vec<&Member> =
        view.live().filter(|m| m.data_centre == me.data_centre).collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    let names: Vec<&id::EntryHost> = members.iter().map(|member| &member.name).collect();
    child_indexes(&names, &me.name, root).map(|i| members[i]).collect()
}

/// Returns one host, the first watcher, of each child of the data centre `me` in the tree over the
/// data centres.
pub fn remote_children<'a>(
    view: &'a View,
    me: &id::DataCentre,
    root: &id::DataCentre,
) -> Vec<&'a Member> {
    let mut names: Vec<&id::DataCentre> = view.live().map(|member| &member.data_centre).collect();
    names.sort();
    names.dedup();
    let children = child_indexes(&names, me, root).map(|i| names[i]);
    children.filter_map(|name| view.holders(name, WATCHER, 1).pop()).collect()
}

/// Returns the indexes of the children of `me` in the complete tree over `names` from `root`.
fn child_indexes<T: Ord>(names: &[&T], me: &T, root: &T) -> impl Iterator<Item = usize> + use<T> {
    let count = names.len();
    let position = |name: &T| names.binary_search_by(|other| (*other).cmp(name)).ok();
    let (me, root) = (position(me), position(root).unwrap_or(0));
    let first = me.map(|me| (me + count - root) % count * FANOUT + 1);
    let range = first.map_or(0..0, |first| first.min(count)..(first + FANOUT).min(count));
    range.map(move |position| (position + root) % count)
}
