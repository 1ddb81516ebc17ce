// Package resolver answers what holds for one caller: which account a key
// belongs to, which service an adapter runs on, and which value each setting
// has after inheritance, with the level that set it.
package resolver
