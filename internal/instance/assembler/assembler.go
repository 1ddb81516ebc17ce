// Package assembler builds an object graph from constructors by dependency injection.
package assembler

import "go.uber.org/dig"

// Assemble creates the values that the constructors provide, calls assemble with
// those it takes, and returns the value of type T. The error for a missing
// dependency names it.
func Assemble[T any](assemble any, constructors ...any) (T, error) {
	var result T
	c := dig.New()
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return result, err
		}
	}
	if err := c.Invoke(assemble); err != nil {
		return result, dig.RootCause(err)
	}
	err := c.Invoke(func(t T) { result = t })
	return result, err
}
