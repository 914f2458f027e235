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

// Guards against long lines that use up the memory of the process while the log is slow, and against a queue that stays full.
func TestBufferedLogBoundsItsBytes(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{open: make(chan struct{})}
	b := logging.NewBuffered(w, 4096)
	line := []byte(strings.Repeat("x", 64<<10-1) + "\n")
	for range 200 {
		_, _ = b.Write(line)
	}
	g.Expect(b.Dropped()).To(BeEquivalentTo(200 - 64))
	close(w.open)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.Run(ctx) }()
	g.Eventually(func() int64 {
		before := b.Dropped()
		_, _ = b.Write(line)
		return b.Dropped() - before
	}).Should(BeZero())
	cancel()
	<-done
}
