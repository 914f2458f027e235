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

// Backoff between retried releases, and the timeout of one release.
const (
	firstReleaseWait = 50 * time.Millisecond
	maxReleaseWait   = 2 * time.Second
	releaseTimeout   = 2 * time.Second
)

// hold is what a request occupies on one backend server: an attempt and the placement reservation for it.
type hold struct {
	releases *releaser
	server   *rules.Server
	// attempt is the attempt id, or empty while no call was sent.
	attempt string
	release func()
	ended   bool
}

func (x *run) hold(server *rules.Server, release func()) *hold {
	h := &hold{releases: x.releases, server: server, release: release}
	x.holds = append(x.holds, h)
	return h
}

// done ends the hold of an attempt that occupies nothing on the backend server, so no call is sent.
func (h *hold) done() {
	if h.ended {
		return
	}
	h.ended = true
	h.releaseReservation()
}

func (h *hold) releaseReservation() {
	if h.release != nil {
		h.release()
		h.release = nil
	}
}

// abort ends the hold by aborting the attempt on the backend server. The abort is retried in the background until it is
// acknowledged; the placement reservation is released after that, since the slot is occupied until then.
func (h *hold) abort() {
	if h.ended {
		return
	}
	h.ended = true
	if h.attempt == "" {
		h.releaseReservation()
		return
	}
	h.releases.add(h.server, h.attempt, h.releaseReservation)
}

// releaser aborts attempts on backend servers and retries until they are acknowledged or the engine has restarted. It
// runs one goroutine per backend server that has pending releases. It is safe for concurrent use.
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
	// empty is closed and replaced when the last pending release has ended.
	empty chan struct{}
}

type serverKey struct{ name, addr string }

type releaseQueue struct {
	pending []*pendingRelease
	dropped bool
}

type pendingRelease struct {
	attempt string
	onDone  func()
	since   time.Time
	// incarnation is the engine's incarnation after the first failure. A change means that the engine has restarted.
	incarnation string
}

func newReleaser(d Deps, s Settings) *releaser {
	ctx, stop := context.WithCancel(context.Background())
	return &releaser{
		engines: d.Engines, metrics: d.Metrics, log: d.Log.WithName("release"), settings: s, ctx: ctx, stop: stop,
		servers: map[serverKey]*releaseQueue{}, empty: make(chan struct{}),
	}
}

// add queues a release and starts a worker for the server if none is running.
func (r *releaser) add(server *rules.Server, attempt string, onDone func()) {
	k := serverKey{server.Name, server.Addr}
	p := &pendingRelease{attempt: attempt, onDone: onDone, since: time.Now()}
	r.mu.Lock()
	q := r.servers[k]
	if r.ctx.Err() != nil {
		r.mu.Unlock()
		r.giveUp(k, p, "closed")
		return
	}
	if q != nil && len(q.pending) >= r.settings.MaxPendingReleases {
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
	r.wg.Go(func() { r.runWorker(k, q) })
	r.mu.Unlock()
}

// giveUp abandons a release that was not acknowledged.
func (r *releaser) giveUp(k serverKey, p *pendingRelease, reason string) {
	r.metrics.Inc("releases_given_up", metrics.L("reason", reason))
	r.log.Info("release abandoned", "server", k.name, "attempt", p.attempt, "reason", reason)
	p.onDone()
}

// runWorker runs the releases of one server until none is pending.
func (r *releaser) runWorker(k serverKey, q *releaseQueue) {
	pause := firstReleaseWait
	for {
		p := r.next(k, q)
		if p == nil {
			return
		}
		if r.releaseOnce(k, p) {
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

// next takes the first pending release. When the queue is empty or dropped, it removes the queue and returns nil.
func (r *releaser) next(k serverKey, q *releaseQueue) *pendingRelease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(q.pending) > 0 && !q.dropped {
		p := q.pending[0]
		q.pending = q.pending[1:]
		return p
	}
	for _, p := range q.pending {
		r.wg.Go(p.onDone)
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

// releaseOnce sends one abort and reports whether the release is finished.
func (r *releaser) releaseOnce(k serverKey, p *pendingRelease) bool {
	ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
	defer cancel()
	server := r.engines.Server(k.name, k.addr)
	if err := server.Abort(ctx, p.attempt); err == nil {
		p.onDone()
		return true
	}
	if load, err := server.Load(ctx); err == nil {
		if p.incarnation != "" && load.Incarnation != p.incarnation {
			r.metrics.Inc("releases_by_restart", metrics.L("server", k.name))
			p.onDone()
			return true
		}
		p.incarnation = load.Incarnation
	}
	if time.Since(p.since) > r.settings.ReleaseRetryTimeout {
		r.giveUp(k, p, "limit")
		return true
	}
	return false
}

// retain marks the queues of servers that are no longer in the snapshot, so that their releases are abandoned.
func (r *releaser) retain(snap *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, q := range r.servers {
		s := snap.Servers()[k.name]
		q.dropped = s == nil || s.Addr != k.addr
	}
}

// flush waits until no release is pending. It returns an error when ctx is done first.
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
	// Stop with the lock held, so that add starts no worker after Wait was called.
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.wg.Wait()
}
