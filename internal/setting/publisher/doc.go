// Package publisher makes a tree of settings the revision in force.
//
// The content of every file is an object named by its digest; the head row in
// the table service names the revision. A revision is accepted by one
// conditional write of that row, so of two racing edits one gets a
// ConflictError that shows what the other changed. An answer that was lost is
// settled by reading back the token that only this attempt can have written.
// The head row also lists the latest changes, so that an instance that is one
// revision behind fetches one file and not the tree.
package publisher
