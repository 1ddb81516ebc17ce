package assembler_test

import (
	"fmt"

	"github.com/sardinetiller/sardinetiller/internal/instance/assembler"
)

func ExampleAssemble() {
	type desk struct{ name string }
	assemble := func(d *desk, name string) { d.name = name }
	d, err := assembler.Assemble[*desk](assemble, func() *desk { return &desk{} }, func() string { return "exit" })
	fmt.Println(d.name, err)
	_, err = assembler.Assemble[*desk](assemble, func() *desk { return &desk{} })
	fmt.Println(err != nil)
	// Output:
	// exit <nil>
	// true
}
