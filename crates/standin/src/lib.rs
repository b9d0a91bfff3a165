//! Stand-in for one database of a group, used to test goldcrestrail.
