// Command summarizer reads the output of "go test -json" and prints it as "go test" does. If the
// process of a package died, it also prints which tests that process was running.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

// maxLine bounds a line of the input. A line holds one line of output of a test.
const maxLine = 16 << 20

func main() {
	if err := summarize(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "summarizer:", err)
		os.Exit(1)
	}
}

// summarize writes the summary of the events read from in.
func summarize(in io.Reader, out io.Writer) error {
	s := summary{out: out, packages: make(map[string]*packageRun)}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		s.add(lines.Bytes())
	}
	return lines.Err()
}
