package responsereader_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sardinetiller/sardinetiller/internal/wire/responsereader"
)

// grammar matches the heads of responses, interim ones included, by the grammar of HTTP/1.1.
var grammar = regexp.MustCompile("^(?:" + grammarHead + ")+$")

const grammarHead = `HTTP/1\.[01] [1-5][0-9][0-9](?: [\t -~\x80-\x{ff}]*)?\r\n` +
	"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\\x80-\\x{ff}]*\r\n)*\r\n"

// latin1 returns a string with a character for each byte of s, as regular expressions match characters.
func latin1(s string) string {
	var b strings.Builder
	for i := range len(s) {
		b.WriteRune(rune(s[i]))
	}
	return b.String()
}

// Guards against heads that the library accepts and that do not follow the grammar, against bodies that it
// frames otherwise than another reader, and against crashes.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a\r\nbody\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.0 200\r\nX: 1\r\n 2\r\n\r\nbody",
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sent string) {
		source := strings.NewReader(sent)
		reader := bufio.NewReaderSize(source, bufferSize)
		response, err := responsereader.Read(reader, false)
		if err != nil {
			return
		}
		heads := sent[:len(sent)-source.Len()-reader.Buffered()]
		if !grammar.MatchString(latin1(heads)) {
			t.Fatalf("accepted %q", heads)
		}
		body, err := io.ReadAll(response.Body)
		other, otherErr := readWithStandardLibrary(sent)
		if err != nil || otherErr != nil {
			return // the standard library rejects less of a body, and more of what follows it
		}
		if diff := cmp.Diff(other, fmt.Sprint(response.Status, string(body))); diff != "" {
			t.Fatal(diff)
		}
	})
}

// readWithStandardLibrary returns the status and the body of a response.
func readWithStandardLibrary(sent string) (string, error) {
	reader := bufio.NewReader(strings.NewReader(sent))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return fmt.Sprint(response.StatusCode, string(body)), err
	}
}

// Guards against heads that follow the grammar and are rejected, and against ones in which a single byte breaks
// it and that are accepted.
func TestReadAcceptsTheGrammarAndNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawHead(t)
		status := sent[len("HTTP/1.1 "):][:3]
		response, err := responsereader.Read(bufio.NewReaderSize(strings.NewReader(sent), 1<<16), false)
		if err != nil || fmt.Sprint(response.Status) != status {
			t.Fatalf("%q: %v", sent, err)
		}
		at := rapid.IntRange(0, len(sent)-1).Draw(t, "at")
		changed := sent[:at] + string(rapid.Byte().Draw(t, "byte")) + sent[at+1:]
		_, err = responsereader.Read(bufio.NewReaderSize(strings.NewReader(changed), 1<<16), false)
		var malformed *responsereader.MalformedError
		if end := strings.Index(changed, "\r\n\r\n"); !errors.As(err, &malformed) && end >= 0 && !grammar.MatchString(latin1(changed[:end+4])) {
			t.Fatalf("accepted %q: %v", changed, err)
		}
	})
}

// drawHead draws the head of a response by the grammar, without fields that frame its body.
func drawHead(t *rapid.T) string {
	const tchar = "!#$%&'*+.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-"
	text := func(label string) string {
		data := rapid.SliceOfN(rapid.Byte().Filter(func(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }), 0, 40).Draw(t, label)
		return string(data)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.%d %d", rapid.IntRange(0, 1).Draw(t, "minor"), rapid.IntRange(200, 599).Draw(t, "status"))
	if rapid.Bool().Draw(t, "has a reason") {
		b.WriteString(" " + text("reason"))
	}
	b.WriteString("\r\n")
	for range rapid.IntRange(0, 8).Draw(t, "fields") {
		name := rapid.StringOfN(rapid.RuneFrom([]rune(tchar)), 1, 40, -1).Draw(t, "name")
		b.WriteString("X-" + name + ":" + text("value") + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}
