// Package publisher publishes revisions of the settings tree.
//
// The content of every file is stored as an object keyed by its digest; the head
// row in the table service names the active revision. A revision is accepted by
// one conditional write of that row, so that of two concurrent edits one gets a
// ConflictError that lists the changes of the other. If the response to the write
// is lost, the outcome is confirmed by reading back the token, which only this
// attempt can have written. The head row also lists the latest changes, so that
// an instance that is one revision behind fetches only the changed files and not
// the whole tree.
package publisher
