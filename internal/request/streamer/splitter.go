package streamer

import (
	"bytes"
	"errors"
	"strconv"
)

// A Splitter cuts the bytes of an event stream into whole events. A caller is
// given whole events only, so that a stream which breaks off within one can go
// on at another upstream without a seam.
type Splitter struct{ buf []byte }

// An Event is one event of a stream as it came.
type Event struct {
	Data []byte // with its closing blank line
	ID   int    // 0 if it names none
}

// ErrMalformedEvent is an event that is longer than any real one, or whose ID is none.
var ErrMalformedEvent = errors.New("the stream holds what is no event")

// maxEventSize bounds an event, in bytes. Real ones are below 1 KB.
const maxEventSize = 256 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Split takes in bytes and returns the events that they complete. The events
// are valid until the next call.
func (s *Splitter) Split(data []byte) ([]Event, error) {
	s.buf = append(s.buf, data...)
	var events []Event
	consumed := 0
	for {
		end := bytes.Index(s.buf[consumed:], eventEnd)
		if end < 0 {
			break
		}
		event := s.buf[consumed : consumed+end+len(eventEnd)]
		id, err := eventID(event)
		if err != nil {
			return events, err
		}
		events = append(events, Event{Data: bytes.Clone(event), ID: id})
		consumed += len(event)
	}
	s.buf = append(s.buf[:0], s.buf[consumed:]...)
	if len(s.buf) > maxEventSize {
		return events, ErrMalformedEvent
	}
	return events, nil
}

// Buffered returns how many bytes of an event that is not whole are held.
func (s *Splitter) Buffered() int { return len(s.buf) }

// Reset drops the bytes of an event that is not whole.
func (s *Splitter) Reset() { s.buf = s.buf[:0] }

func eventID(event []byte) (int, error) {
	for line := range bytes.Lines(event) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idField):])))
		if err != nil {
			return 0, ErrMalformedEvent
		}
		return id, nil
	}
	return 0, nil
}
