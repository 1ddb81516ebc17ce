// Package parser parses and validates the operators' settings tree.
//
// The tree is a set of YAML files kept in version control. Each file has a kind:
// root, service or account. Values are inherited from root to service to account,
// and from there to the account's entries for a service, a failure domain and a
// desk; each level overrides only the values it sets. An invalid tree is rejected
// as a whole, and each error names file, line, field and fix.
package parser
