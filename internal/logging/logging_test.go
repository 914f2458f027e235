package logging_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/logging"
)

// Guards against values that break the line or cannot be separated from the next key=value pair.
func TestEachEventIsOneLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := logging.New(&out, 0).WithName("front").WithValues("host", "h1")
	log.Error(errors.New("two\nlines"), "request failed", "path", "/a b=c", "odd")
	log.V(1).Info("dropped")
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	g.Expect(out.String()).To(HaveSuffix(
		"severity=error logger=front event=\"request failed\" error=\"two\\nlines\" host=h1 path=\"/a b=c\" odd=(missing)\n"))
}
