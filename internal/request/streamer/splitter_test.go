package streamer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

func ExampleSplitter_Split() {
	var s streamer.Splitter
	events, _ := s.Split([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	fmt.Println(len(events), events[0].ID, s.Buffered())
	events, _ = s.Split([]byte("ta: b\n\n"))
	fmt.Println(len(events), events[0].ID, s.Buffered())
	// Output:
	// 1 1 8
	// 1 2 0
}

func TestSplitIsIndependentOfChunkSize(t *testing.T) {
	const stream = "weights: 2\nid: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n"
	for size := 1; size <= len(stream); size++ {
		var s streamer.Splitter
		got := ""
		var ids []int
		for from := 0; from < len(stream); from += size {
			events, err := s.Split([]byte(stream[from:min(from+size, len(stream))]))
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				got += string(e.Data)
				ids = append(ids, e.ID)
			}
		}
		if diff := cmp.Diff(stream, got); diff != "" {
			t.Errorf("chunks of %d: %s", size, diff)
		}
		if diff := cmp.Diff([]int{1, 2, 3}, ids); diff != "" {
			t.Errorf("chunks of %d: %s", size, diff)
		}
	}
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: x\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s streamer.Splitter
		events, err := s.Split(data)
		n := s.Buffered()
		for _, e := range events {
			n += len(e.Data)
		}
		if err == nil && n != len(data) {
			t.Errorf("%d of %d bytes returned or buffered", n, len(data))
		}
	})
}
