package leaser_test

import (
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/check/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }
