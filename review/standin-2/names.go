package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesFile holds names of the platform's protocol by the words in braces that stand for them here.
//
//go:embed names.json
var namesFile []byte

var names = newNames()

func newNames() *strings.Replacer {
	var words map[string]string
	check(json.Unmarshal(namesFile, &words))
	var pairs []string
	for word, name := range words {
		pairs = append(pairs, "{"+word+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// wire puts names of the protocol in place of the words in braces.
func wire(text string) string { return names.Replace(text) }
