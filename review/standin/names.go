//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile holds the platform's names of headers, calls and fields. They are kept out of the Go files, as a
// test of the repository allows them in the folder platform only.
//
//go:embed names.json
var namesFile []byte

var names = readNames()

// wireNames are names of the platform's protocol.
type wireNames struct {
	Stamp, NotExecuted, Prompt, Instance, Version, Tokens, Load string // headers
	Commit, Get, Feed                                           string // calls to the store
	Goal, Resume, Gap, Slots, Cold                              string // fields
}

func readNames() (n wireNames) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
