// Package parser reads the operators' tree of settings.
//
// The tree is a set of YAML files kept in version control. Each file is of one
// kind: root, service or account. Values are inherited from root to account to
// service to failure domain to desk, each level overriding only what it names.
// A tree that is not valid is refused whole, with file, line, field and fix for
// each fault.
package parser
