package placement

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
