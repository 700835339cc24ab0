//! Which servers an object's requests go to, when its first server is far or has no free slot.
//!
//! [`hall_places`] says how the halls of a region share its servers, [`rank_list`] and
//! [`hall_lists`] rank the servers of an object, and [`overflow`] selects among servers outside of
//! the ranking.

pub mod hall_lists;
pub mod hall_places;
pub mod overflow;
pub mod rank_list;
