package request

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// Waits between repeated releases, and the limit of one.
const (
	firstReleaseWait = 50 * time.Millisecond
	maxReleaseWait   = 2 * time.Second
	releaseTimeout   = 2 * time.Second
)

// hold is an entry of a request's release list: an attempt at a backend server and the placement's reservation
// for it.
type hold struct {
	releases *releaser
	server   *rules.Server
	// attempt is empty while no call was sent.
	attempt string
	release func()
	over    bool
}

func (x *run) hold(server *rules.Server, release func()) *hold {
	h := &hold{releases: x.releases, server: server, release: release}
	x.held = append(x.held, h)
	return h
}

// done ends the hold when the backend server holds nothing for the attempt.
func (h *hold) done() {
	if h.over {
		return
	}
	h.over = true
	h.free()
}

// free gives the placement's reservation back.
func (h *hold) free() {
	if h.release != nil {
		h.release()
		h.release = nil
	}
}

// abort makes the backend server end the attempt, in the background and until it is acknowledged. The
// reservation is given back after that, since the slot is taken until then.
func (h *hold) abort() {
	if h.over {
		return
	}
	h.over = true
	if h.attempt == "" {
		h.free()
		return
	}
	h.releases.add(h.server, h.attempt, h.free)
}

// releaser repeats releases until they are acknowledged or the engine has lost its memory. It runs at most one
// goroutine per backend server with releases. It is safe for concurrent use.
type releaser struct {
	engines  engine.Directory
	metrics  *metrics.Registry
	log      logr.Logger
	settings Settings

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	servers map[serverKey]*releaseQueue
	// empty is closed and replaced whenever no release is left.
	empty chan struct{}
}

type serverKey struct{ name, addr string }

type releaseQueue struct {
	pending []*pendingRelease
	dropped bool
}

type pendingRelease struct {
	attempt string
	after   func()
	since   time.Time
	// incarnation of the engine at the first failure.
	incarnation string
}

func newReleaser(d Deps, s Settings) *releaser {
	ctx, stop := context.WithCancel(context.Background())
	return &releaser{
		engines: d.Engines, metrics: d.Metrics, log: d.Log.WithName("release"), settings: s, ctx: ctx, stop: stop,
		servers: map[serverKey]*releaseQueue{}, empty: make(chan struct{}),
	}
}

func (r *releaser) add(server *rules.Server, attempt string, after func()) {
	k := serverKey{server.Name, server.Addr}
	p := &pendingRelease{attempt: attempt, after: after, since: time.Now()}
	r.mu.Lock()
	q := r.servers[k]
	if r.ctx.Err() != nil {
		r.mu.Unlock()
		r.giveUp(k, p, "closed")
		return
	}
	if q != nil && len(q.pending) >= r.settings.ReleaseBacklog {
		r.mu.Unlock()
		r.giveUp(k, p, "backlog")
		return
	}
	if q != nil {
		q.pending = append(q.pending, p)
		r.mu.Unlock()
		return
	}
	q = &releaseQueue{pending: []*pendingRelease{p}}
	r.servers[k] = q
	r.wg.Go(func() { r.work(k, q) })
	r.mu.Unlock()
}

// giveUp ends a release that was not acknowledged.
func (r *releaser) giveUp(k serverKey, p *pendingRelease, reason string) {
	r.metrics.Inc("releases_given_up", metrics.L("reason", reason))
	r.log.Info("release given up", "server", k.name, "attempt", p.attempt, "reason", reason)
	p.after()
}

// work releases attempts at one server until none is left.
func (r *releaser) work(k serverKey, q *releaseQueue) {
	pause := firstReleaseWait
	for {
		p := r.next(k, q)
		if p == nil {
			return
		}
		if r.try(k, p) {
			pause = firstReleaseWait
			continue
		}
		r.metrics.Inc("releases_repeated", metrics.L("server", k.name))
		r.mu.Lock()
		q.pending = append(q.pending, p)
		r.mu.Unlock()
		if wait.For(r.ctx, pause) != nil {
			return
		}
		pause = min(2*pause, maxReleaseWait)
	}
}

// next takes the first pending release, or ends the queue.
func (r *releaser) next(k serverKey, q *releaseQueue) *pendingRelease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(q.pending) > 0 && !q.dropped {
		p := q.pending[0]
		q.pending = q.pending[1:]
		return p
	}
	for _, p := range q.pending {
		r.wg.Go(p.after)
	}
	if r.servers[k] == q {
		delete(r.servers, k)
	}
	if len(r.servers) == 0 {
		close(r.empty)
		r.empty = make(chan struct{})
	}
	return nil
}

// try releases once and reports whether the release is over.
func (r *releaser) try(k serverKey, p *pendingRelease) bool {
	ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
	defer cancel()
	server := r.engines.Server(k.name, k.addr)
	if err := server.Abort(ctx, p.attempt); err == nil {
		p.after()
		return true
	}
	if load, err := server.Load(ctx); err == nil {
		if p.incarnation != "" && load.Incarnation != p.incarnation {
			r.metrics.Inc("releases_by_restart", metrics.L("server", k.name))
			p.after()
			return true
		}
		p.incarnation = load.Incarnation
	}
	if time.Since(p.since) > r.settings.ReleaseLimit {
		r.giveUp(k, p, "limit")
		return true
	}
	return false
}

// retain gives up releases at servers that the snapshot does not have any more.
func (r *releaser) retain(snap *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, q := range r.servers {
		s := snap.Servers()[k.name]
		q.dropped = s == nil || s.Addr != k.addr
	}
}

// flush waits until no release is left.
func (r *releaser) flush(ctx context.Context) error {
	for {
		r.mu.Lock()
		left, empty := len(r.servers), r.empty
		r.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (r *releaser) close() {
	// Under the lock, so that no worker is added once the wait has begun.
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.wg.Wait()
}
