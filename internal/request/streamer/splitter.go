package streamer

import (
	"bytes"
	"errors"
	"strconv"
)

// A Splitter cuts the bytes of an event stream into whole events. A caller is
// given whole events only, so that a stream which breaks off within one can go
// on at another upstream without a seam.
type Splitter struct{ rest []byte }

// An Event is one event of a stream as it came.
type Event struct {
	Data []byte // with its closing blank line
	ID   int    // 0 if it names none
}

// ErrEvent is an event that is longer than any real one, or whose ID is none.
var ErrEvent = errors.New("the stream holds what is no event")

// eventLimit bounds an event, in bytes. Real ones are below 1 KB.
const eventLimit = 256 << 10

var (
	blank   = []byte("\n\n")
	idField = []byte("id:")
)

// Split takes in bytes and returns the events that they complete. The events
// are valid until the next call.
func (s *Splitter) Split(data []byte) ([]Event, error) {
	s.rest = append(s.rest, data...)
	var events []Event
	taken := 0
	for {
		end := bytes.Index(s.rest[taken:], blank)
		if end < 0 {
			break
		}
		whole := s.rest[taken : taken+end+len(blank)]
		id, err := eventID(whole)
		if err != nil {
			return events, err
		}
		events = append(events, Event{Data: bytes.Clone(whole), ID: id})
		taken += len(whole)
	}
	s.rest = append(s.rest[:0], s.rest[taken:]...)
	if len(s.rest) > eventLimit {
		return events, ErrEvent
	}
	return events, nil
}

// Rest returns how many bytes of an event that is not whole are held.
func (s *Splitter) Rest() int { return len(s.rest) }

// Reset drops the bytes of an event that is not whole.
func (s *Splitter) Reset() { s.rest = s.rest[:0] }

func eventID(event []byte) (int, error) {
	for line := range bytes.Lines(event) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idField):])))
		if err != nil {
			return 0, ErrEvent
		}
		return id, nil
	}
	return 0, nil
}
