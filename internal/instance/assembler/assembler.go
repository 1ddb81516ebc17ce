// Package assembler wires an instance from the constructors of its parts.
package assembler

import "go.uber.org/dig"

// Assemble makes the parts that the constructors give, calls assemble with them,
// and returns the one of type T. A missing part is an error that names it.
func Assemble[T any](assemble any, constructors ...any) (T, error) {
	var made T
	c := dig.New()
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return made, err
		}
	}
	if err := c.Invoke(assemble); err != nil {
		return made, dig.RootCause(err)
	}
	err := c.Invoke(func(t T) { made = t })
	return made, err
}
