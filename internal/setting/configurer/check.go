package configurer

import (
	"fmt"
	"net"
	"time"
)

// A checker validates one settings file. Each method returns the first error,
// which names the file, the field and the fix.
type checker struct{ file string }

// A field is the name of a setting and its value.
type field[V any] struct {
	name  string
	value V
}

func (c checker) fault(field, format string, args ...any) error {
	return fmt.Errorf("%s: %s: %s", c.file, field, fmt.Sprintf(format, args...))
}

func (c checker) names(fields ...field[string]) error {
	for _, f := range fields {
		if !namePattern.MatchString(f.value) {
			return c.fault(f.name, "%q is not a valid name; use at most 63 of the characters a-z, 0-9 and -", f.value)
		}
	}
	return nil
}

func (c checker) addresses(fields ...field[string]) error {
	for _, f := range fields {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return c.fault(f.name, "%q is not a valid address; write host:port", f.value)
		}
	}
	return nil
}

// optionalAddresses checks addresses that may be empty.
func (c checker) optionalAddresses(fields ...field[string]) error {
	for _, f := range fields {
		if f.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return c.fault(f.name, "%q is not a valid address; write host:port, or omit it", f.value)
		}
	}
	return nil
}

// optionalIPs checks IP addresses that may be empty.
func (c checker) optionalIPs(fields ...field[string]) error {
	for _, f := range fields {
		if f.value != "" && net.ParseIP(f.value) == nil {
			return c.fault(f.name, "%q is not a valid IP address; write one such as 10.0.0.7, or omit it", f.value)
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

// durations checks that durations are positive. The error suggests example.
func (c checker) durations(example string, fields ...field[time.Duration]) error {
	for _, f := range fields {
		if f.value <= 0 {
			return c.fault(f.name, "%s is too short; write a duration such as %s", f.value, example)
		}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
