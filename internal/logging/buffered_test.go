package logging_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/logging"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against writers that block on a slow log, and against lines that are lost without being counted or are written
// out of order.
func TestBufferedLogNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{open: make(chan struct{})}
	b := logging.NewBuffered(w, 10)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.Run(ctx) }()
	started := time.Now()
	for i := range 100 {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	close(w.open)
	cancel()
	<-done
	lines := strings.Split(strings.TrimSpace(w.text.String()), "\n")
	g.Expect(int64(len(lines)) + b.Dropped()).To(Equal(int64(100)))
	g.Expect(lines[0]).To(Equal("line 0"))
}
