package resolver

import (
	"reflect"
	"strings"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
)

// An Effective holds all values after inheritance. It has the same fields as
// parser.Values.
type Effective struct {
	Batch    float64
	Body     int
	Deadline time.Duration
	Keep     time.Duration
	Policy   string
	Queue    int
	Retries  int
	Share    float64
	Stall    float64
	Streams  int
}

// Defaults are the values of settings that no level sets.
var Defaults = Effective{
	Batch:    0.2,
	Body:     1 << 20,
	Deadline: 30 * time.Second,
	Keep:     10 * time.Minute,
	Policy:   "cost",
	Queue:    256,
	Retries:  3,
	Share:    0.5,
	Stall:    1,
	Streams:  512,
}

// An Origin is the value of a setting and the level that set it.
type Origin struct {
	Field string `json:"field" yaml:"field"`
	Value any    `json:"value" yaml:"value"`
	Level string `json:"level" yaml:"level"` // default, root, account NAME, …
}

// A level is one position in the tree that may set values.
type level struct {
	name   string
	values parser.Values
}

// merge applies the levels to the defaults in order; the last one takes
// precedence.
func merge(levels []level) (Effective, []Origin) {
	effective := Defaults
	target := reflect.ValueOf(&effective).Elem()
	var origins []Origin
	for i := range target.NumField() {
		field := target.Type().Field(i).Name
		origin := Origin{Field: strings.ToLower(field), Level: "default"}
		for _, l := range levels {
			value := reflect.ValueOf(l.values).FieldByName(field)
			if !value.IsNil() {
				target.Field(i).Set(value.Elem())
				origin.Level = l.name
			}
		}
		origin.Value = target.Field(i).Interface()
		if d, ok := origin.Value.(time.Duration); ok {
			origin.Value = d.String()
		}
		origins = append(origins, origin)
	}
	return effective, origins
}
