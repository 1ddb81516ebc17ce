package warmer_test

import (
	"fmt"

	"github.com/sardinetiller/sardinetiller/internal/adapter/warmer"
)

func ExampleClock_Touch() {
	clock := warmer.Clock{HalfLife: 10}
	var desk, clause warmer.Heat
	clock.Touch(&desk, 4)
	clock.Touch(&clause, 10)
	fmt.Println(clock.Decayed(desk), clock.Decayed(clause))
	// Output: 2 10
}
