package logging

import (
	"context"
	"io"
	"sync/atomic"
)

// Buffered is a writer that never blocks: lines wait in a bounded queue for Run to write them, and are dropped and
// counted when the queue is full.
type Buffered struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewBuffered returns a writer to out that holds up to capacity lines.
func NewBuffered(out io.Writer, capacity int) *Buffered {
	return &Buffered{out: out, lines: make(chan []byte, capacity)}
}

// Write implements io.Writer. It takes one whole line.
func (b *Buffered) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that found the queue full.
func (b *Buffered) Dropped() int64 { return b.dropped.Load() }

// maxWrite bounds the bytes of one write, so that many lines cost one system call.
const maxWrite = 16 << 10

// Run writes queued lines until ctx ends, then the rest of the queue.
func (b *Buffered) Run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case line := <-b.lines:
			buf = b.gather(append(buf[:0], line...))
			_, _ = b.out.Write(buf)
		case <-ctx.Done():
			if buf = b.gather(buf[:0]); len(buf) > 0 {
				_, _ = b.out.Write(buf)
			}
			return nil
		}
	}
}

func (b *Buffered) gather(buf []byte) []byte {
	for len(buf) < maxWrite {
		select {
		case line := <-b.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Serve implements suture.Service.
func (b *Buffered) Serve(ctx context.Context) error { return b.Run(ctx) }
