package assembler_test

import (
	"fmt"

	"github.com/sardinetiller/sardinetiller/internal/instance/assembler"
)

func ExampleAssemble() {
	type component struct{ name string }
	assemble := func(d *component, name string) { d.name = name }
	d, err := assembler.Assemble[*component](assemble, func() *component { return &component{} }, func() string { return "exit" })
	fmt.Println(d.name, err)
	_, err = assembler.Assemble[*component](assemble, func() *component { return &component{} })
	fmt.Println(err != nil)
	// Output:
	// exit <nil>
	// true
}
