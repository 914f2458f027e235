package bench

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Result is the outcome of one job.
type Result struct {
	Job *Job
	// Refused is set when the caller got a refusal with outcome not-run, Lost when it got any other failure.
	Refused, Lost bool
	// First is the time from arrival to the first token, Finished the time at which the response was complete.
	First    time.Duration
	Finished time.Time
	// LateGaps counts gaps between tokens that exceed tokenTarget.
	LateGaps, Tokens int64
	Tries            int
	Reason           string
}

// MeetsTargets reports whether the response was complete and met the targets. The target for the first token applies
// only to the latency class; up to 5% of the gaps between tokens may be late.
func (r *Result) MeetsTargets() bool {
	return !r.Finished.IsZero() && r.LateGaps*20 <= r.Tokens && (r.Job.Class == rules.ClassWait || r.First <= firstTokenTarget)
}

// Lifecycle runs one job to its end: placement, prefill, KV transfer, decode and release.
type Lifecycle interface {
	Run(ctx context.Context, j *Job) Result
}

// driver is a minimal Lifecycle that takes the same steps in the same order as the daemon.
type driver struct {
	self    host.ID
	snap    *config.Snapshot
	placer  placement.Placer
	engines engine.Directory
}

const (
	latencyTries = 3
	waitTries    = 10
	waitPause    = 500 * time.Millisecond
	importTries  = 2
)

// refusedError reports that an attempt was refused and did not run.
type refusedError struct{ cause error }

func (e *refusedError) Error() string { return "refused: " + e.cause.Error() }

// Run implements Lifecycle.
func (d *driver) Run(ctx context.Context, j *Job) Result {
	res := Result{Job: j}
	req := j.request()
	if j.Class == rules.ClassLatency {
		var stop func()
		ctx, stop = withFirstTokenTimeout(ctx, j)
		defer stop()
	}
	tries := latencyTries
	if j.Class == rules.ClassWait {
		tries = waitTries
	}
	for res.Tries < tries {
		res.Tries++
		err := d.try(ctx, j, &req, &res)
		if err == nil {
			return res
		}
		var refused *refusedError
		res.Refused, res.Reason = errors.As(err, &refused), err.Error()
		if ctx.Err() != nil {
			// The caller canceled or its host failed, so this does not count as a refusal.
			res.Refused = false
			break
		}
		if res.Refused && isPlacerRefusal(refused.cause) {
			return res
		}
		if res.First > 0 {
			// The first token was already sent, so the first-token deadline no longer applies.
			req.Arrived = time.Now()
		}
		if j.Class == rules.ClassWait {
			select {
			case <-time.After(waitPause):
			case <-ctx.Done():
			}
		}
	}
	res.Lost = !res.Refused
	return res
}

func isPlacerRefusal(err error) bool {
	var deadline *placement.DeadlineError
	var full *placement.QueueFullError
	return errors.As(err, &deadline) || errors.As(err, &full)
}

type firstTokenTimerKey struct{}

// withFirstTokenTimeout returns a context that is canceled if the first token has not arrived within callerTimeout.
func withFirstTokenTimeout(ctx context.Context, j *Job) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(callerTimeout-time.Since(j.Arrived), cancel)
	stop := func() { timer.Stop(); cancel() }
	return context.WithValue(ctx, firstTokenTimerKey{}, timer), stop
}

// try places and runs one attempt. It returns nil if the response is complete.
func (d *driver) try(ctx context.Context, j *Job, req *placement.Request, res *Result) error {
	p, err := d.placer.Place(ctx, d.snap, *req)
	if err != nil {
		return &refusedError{err}
	}
	defer func() { p.ReleasePrefill(); p.ReleaseDecode() }()
	call := engine.Call{
		Attempt: engine.Attempt{ID: fmt.Sprintf("%d.%d", j.ID, res.Tries), Host: d.self.Name, Incarnation: d.self.Incarnation},
		Body:    []byte(strconv.Itoa(j.ID)), Stream: true,
	}
	if p.Prefill == p.Decode {
		s, err := d.engines.Server(p.Decode.Name, p.Decode.Addr).Decode(ctx, call, nil)
		if err != nil {
			return d.reportFailure(req, p.Decode, placement.StageDecode, err)
		}
		return d.read(ctx, s, p.Decode, req, res)
	}
	began := time.Now()
	kv, err := d.engines.Server(p.Prefill.Name, p.Prefill.Addr).Prefill(ctx, call)
	if err != nil {
		return d.reportFailure(req, p.Prefill, placement.StagePrefill, err)
	}
	p.ReleasePrefill()
	d.placer.Observe(placement.Observation{
		Server: p.Prefill.Name, Stage: placement.StagePrefill, Tokens: j.Prompt - p.CachedTokens, Duration: time.Since(began),
	})
	for try := 0; ; try++ {
		began = time.Now()
		s, err := d.engines.Server(p.Decode.Name, p.Decode.Addr).Decode(ctx, call, &kv)
		if err == nil {
			d.placer.Observe(placement.Observation{Server: p.Decode.Name, Stage: placement.StageTransfer, Tokens: j.Prompt, Duration: time.Since(began)})
			return d.read(ctx, s, p.Decode, req, res)
		}
		var imp *engine.ImportError
		if ctx.Err() != nil || (errors.As(err, &imp) && imp.Gone) || try == importTries {
			return d.reportFailure(req, p.Decode, placement.StageTransfer, err)
		}
		_ = d.reportFailure(req, p.Decode, placement.StageDecode, err)
		p.ReleaseDecode()
		next, perr := d.placer.PlaceDecode(ctx, d.snap, *req, p.Prefill)
		if perr != nil {
			return perr
		}
		p = next
	}
}

// reportFailure reports a failure to the placer and excludes the server from further attempts, unless only the import
// of the KV cache failed. A cancellation or refusal is not a failure of the server and is only returned.
func (d *driver) reportFailure(req *placement.Request, s *rules.Server, stage placement.Stage, err error) error {
	var imp *engine.ImportError
	var refused *engine.RefusedError
	if errors.Is(err, context.Canceled) {
		return err
	}
	if errors.As(err, &refused) {
		return &refusedError{err}
	}
	d.placer.Observe(placement.Observation{Server: s.Name, Stage: stage, Failed: true})
	if !errors.As(err, &imp) {
		req.Exclude = append(req.Exclude, s.Name)
	}
	return err
}

// read reads the stream to its end and records the result.
func (d *driver) read(ctx context.Context, s engine.Stream, server *rules.Server, req *placement.Request, res *Result) error {
	defer s.Close()
	if _, err := s.Next(); err != nil {
		return d.reportFailure(req, server, placement.StageDecode, err)
	}
	if res.First == 0 {
		res.First = time.Since(res.Job.Arrived)
	}
	if timer, ok := ctx.Value(firstTokenTimerKey{}).(*time.Timer); ok {
		timer.Stop()
	}
	began := time.Now()
	if _, err := s.Next(); err != nil {
		return d.reportFailure(req, server, placement.StageDecode, err)
	}
	d.placer.Observe(placement.Observation{Server: server.Name, Stage: placement.StageDecode, Tokens: res.Job.Output - 1, Duration: time.Since(began)})
	t := s.(*stream).t
	res.Finished, res.LateGaps, res.Tokens = time.Now(), t.lateGaps, t.tokens
	return nil
}
