package streamer

import (
	"bytes"
	"errors"
	"strconv"
)

// A Splitter splits the bytes of an event stream into complete events. Only complete events
// are passed to callers, so that a stream that breaks off within an event can resume at
// another upstream without corruption.
type Splitter struct{ buf []byte }

// An Event is one event of a stream, unmodified.
type Event struct {
	Data []byte // including the terminating blank line
	ID   int    // 0 if the event has none
}

// ErrMalformedEvent reports an event that is too large or whose ID is not a number.
var ErrMalformedEvent = errors.New("the stream holds what is no event")

// maxEventSize limits an incomplete event, in bytes. Real events are below 1 KB.
const maxEventSize = 256 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Split appends data and returns the events that it completes.
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

// Buffered returns how many bytes of an incomplete event are buffered.
func (s *Splitter) Buffered() int { return len(s.buf) }

// Reset discards the bytes of an incomplete event.
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
