package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/engine"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

func call(id, body string) engine.Call {
	return engine.Call{Attempt: engine.Attempt{ID: id}, Path: "/v1/completions", Body: []byte(body)}
}

const tenTokens = `{"prompt":"hello","max_tokens":10}`

func pair() (*standin.Core, *standin.Core) {
	f := standin.NewFleet()
	return standin.New(standin.Config{Name: "p", Addr: "p:1", Role: standin.Prefill}, f),
		standin.New(standin.Config{Name: "d", Addr: "d:1", Role: standin.Decode}, f)
}

func read(s engine.Stream) (string, error) {
	var b strings.Builder
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.WriteString(c.Text)
	}
}

// Guards against a stand-in engine that sends wrong text after a resume or a continuation: tests could then not detect
// bytes that the router loses or repeats.
func TestStreamsResumeAndContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, d := pair()
		d.SetFaults(standin.Faults{LoseStreams: 1, LoseAfter: 4})
		kv, err := p.Prefill(t.Context(), call("r.1", tenTokens))
		g.Expect(err).NotTo(HaveOccurred())
		s, err := d.Decode(t.Context(), call("r.2", tenTokens), &kv)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Idle()).To(BeTrue(), "the import frees the export")
		first, err := read(s)
		var lost *engine.StreamLostError
		g.Expect(errors.As(err, &lost)).To(BeTrue())
		s, err = d.Resume(t.Context(), engine.Attempt{ID: "r.2"}, lost.Offset)
		g.Expect(err).NotTo(HaveOccurred())
		rest, err := read(s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first + rest).To(Equal(standin.Answer("hello", 10)))
		again := call("r.3", `{"prompt":"hello","max_tokens":6}`)
		again.Continue = first
		kv, err = p.Prefill(t.Context(), again)
		g.Expect(err).NotTo(HaveOccurred())
		again.Attempt.ID = "r.4"
		s, err = d.Decode(t.Context(), again, &kv)
		g.Expect(err).NotTo(HaveOccurred())
		continued, err := read(s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(continued).To(Equal(rest))
		g.Expect(d.Idle()).To(BeTrue())
	})
}

// Guards against a stand-in engine that frees memory without a release, which would hide memory leaks caused by the
// router. Memory is held until Abort, an unused export until its lifetime ends, and a crash frees everything.
func TestMemoryIsHeldUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, d := pair()
		kv, _ := p.Prefill(t.Context(), call("r.1", tenTokens))
		d.SetFaults(standin.Faults{StallTransfers: 2})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/10)
		_, err := d.Decode(ctx, call("r.2", tenTokens), &kv)
		cancel()
		g.Expect(err).To(HaveOccurred())
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(p.Report().HeldPieces).To(BeZero())
		g.Expect(d.Report().Held).To(HaveLen(1))
		g.Expect(d.Abort(t.Context(), "r.2")).To(Succeed())
		g.Expect(d.Report().HeldPieces).To(BeZero())
		_, err = d.Decode(t.Context(), call("r.3", tenTokens), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Report().Violations).To(HaveLen(1), "decode without import")
		before, _ := d.State(t.Context())
		d.Crash()
		after, _ := d.State(t.Context())
		g.Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		g.Expect(d.Idle()).To(BeTrue())
	})
}
