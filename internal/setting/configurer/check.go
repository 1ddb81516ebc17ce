package configurer

import (
	"fmt"
	"net"
	"time"
)

// A checker tells of faults in one file of settings. Each method returns the
// first fault with the file, the field and the fix.
type checker struct{ file string }

// A field is a setting with its name in the file.
type field[V any] struct {
	name  string
	value V
}

func (c checker) fault(field, format string, args ...any) error {
	return fmt.Errorf("%s: %s: %s", c.file, field, fmt.Sprintf(format, args...))
}

func (c checker) names(fields ...field[string]) error {
	for _, f := range fields {
		if !name.MatchString(f.value) {
			return c.fault(f.name, "%q is no name; use a-z, 0-9 and -, at most 63", f.value)
		}
	}
	return nil
}

func (c checker) addresses(fields ...field[string]) error {
	for _, f := range fields {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return c.fault(f.name, "%q is no address; write host:port", f.value)
		}
	}
	return nil
}

// optional checks addresses that may be left out.
func (c checker) optional(fields ...field[string]) error {
	for _, f := range fields {
		if f.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return c.fault(f.name, "%q is no address; write host:port, or leave it out", f.value)
		}
	}
	return nil
}

// seeds checks each address of a list.
func (c checker) seeds(addresses []string) error {
	for _, a := range addresses {
		if err := c.addresses(field[string]{"seeds", a}); err != nil {
			return err
		}
	}
	return nil
}

// times checks that times are above nothing. example is one that would do.
func (c checker) times(example string, fields ...field[time.Duration]) error {
	for _, f := range fields {
		if f.value <= 0 {
			return c.fault(f.name, "%s is too short; write a time such as %s", f.value, example)
		}
	}
	return nil
}

// first returns the first of some errors that is one.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
