package logging

import (
	"context"
	"io"
	"sync/atomic"
)

// Buffered is a writer that never blocks. Lines are held in a bounded queue until Run writes them; when the queue is
// full, new lines are dropped and counted.
type Buffered struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64
	dropped atomic.Int64
}

// maxQueuedBytes bounds the queued lines, in bytes. A line contains text from remote hosts, such as the id of a request, which may
// have the size of a whole head.
const maxQueuedBytes = 4 << 20

// NewBuffered returns a writer to out that queues up to capacity lines. Nothing is written before Run.
func NewBuffered(out io.Writer, capacity int) *Buffered {
	return &Buffered{out: out, lines: make(chan []byte, capacity)}
}

// Write implements io.Writer. The argument must be one complete line. Write never returns an error.
func (b *Buffered) Write(line []byte) (int, error) {
	size := int64(len(line))
	if b.queued.Add(size) > maxQueuedBytes {
		b.queued.Add(-size)
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.queued.Add(-size)
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (b *Buffered) Dropped() int64 { return b.dropped.Load() }

// batchBytes is the size at which a batch of lines is full. Lines are written in batches to save system calls.
const batchBytes = 16 << 10

// Run writes queued lines until ctx ends, and then up to one batch of the remaining lines.
func (b *Buffered) Run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case line := <-b.lines:
			b.queued.Add(-int64(len(line)))
			buf = b.fill(append(buf[:0], line...))
			_, _ = b.out.Write(buf)
		case <-ctx.Done():
			if buf = b.fill(buf[:0]); len(buf) > 0 {
				_, _ = b.out.Write(buf)
			}
			return nil
		}
	}
}

// fill appends queued lines to buf until the batch is full or the queue is empty. It does not block.
func (b *Buffered) fill(buf []byte) []byte {
	for len(buf) < batchBytes {
		select {
		case line := <-b.lines:
			b.queued.Add(-int64(len(line)))
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Serve implements suture.Service.
func (b *Buffered) Serve(ctx context.Context) error { return b.Run(ctx) }
