package request

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/defaults"
)

// Settings of the request path. Zero fields take the defaults.
type Settings struct {
	// BytesPerToken estimates prompt tokens from text. Default 4, about right for English text.
	BytesPerToken int
	// DefaultMaxOutput is the output limit of requests that name none, in tokens. Default 1024.
	DefaultMaxOutput int64
	// MaxOpen bounds the open requests of this host. Default 20,000: at 64 KB per open stream they take 1.28 GB, and
	// the mean at target size is about 700 streams per host.
	MaxOpen int
	// PrefillTimeout bounds one prefill, the engine's own queue included. Default 30 s.
	PrefillTimeout time.Duration
	// ImportMargin is how much longer than predicted the import of a KV cache may take. Default 400 ms: it covers
	// transfers of other hosts on the link, which the prediction does not know, and leaves a stalled import time to be
	// repeated elsewhere before the KV cache ends.
	ImportMargin time.Duration
	// ResumeTimeout bounds the call that resumes a stream. Default 400 ms.
	ResumeTimeout time.Duration
	// KVLifetime is how long after a prefill its KV cache is offered to another decode engine. Default 700 ms.
	KVLifetime time.Duration
	// StreamIdle is the longest silence of a decode stream. Default 10 s.
	StreamIdle time.Duration
	// MaxRetries bounds the retries of one request over all stages. Default 4.
	MaxRetries int
	// RetryRatio is how many retries the host allows per accepted request. Default 0.2. When most requests need
	// retries, the servers are overloaded, and more calls make that worse.
	RetryRatio float64
	// RetryBurst is how many retries the host allows before the ratio counts. Default 50.
	RetryBurst float64
	// ResumeTries is how often a lost stream is resumed in a row without progress. Default 2.
	ResumeTries int
	// ServiceTimeout bounds one call to a plain service. Default 30 s.
	ServiceTimeout time.Duration
	// MaxRecordedAnswer bounds the answers to keyed non-repeatable calls, which are recorded whole, in bytes.
	// Default 8 MiB.
	MaxRecordedAnswer int64
	// RecordTimeout bounds the wait for the store to record such an answer before the caller gets it. Default 1 s.
	RecordTimeout time.Duration
	// ReleaseBacklog bounds the attempts per backend server that wait for release. Default 4096.
	ReleaseBacklog int
	// DrainReleases is how long a drain waits for releases after the last request. Default 5 s: the home hosts
	// release what engines still hold for a host that has stopped.
	DrainReleases time.Duration
	// ReleaseLimit is how long the release of one attempt is repeated. Default 10 min: an engine that is away
	// for longer comes back without memory or not at all.
	ReleaseLimit time.Duration
}

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.BytesPerToken, 4)
	defaults.Set(&s.DefaultMaxOutput, 1024)
	defaults.Set(&s.MaxOpen, 20000)
	defaults.Set(&s.PrefillTimeout, 30*time.Second)
	defaults.Set(&s.ImportMargin, 400*time.Millisecond)
	defaults.Set(&s.ResumeTimeout, 400*time.Millisecond)
	defaults.Set(&s.KVLifetime, 700*time.Millisecond)
	defaults.Set(&s.StreamIdle, 10*time.Second)
	defaults.Set(&s.MaxRetries, 4)
	defaults.Set(&s.RetryRatio, 0.2)
	defaults.Set(&s.RetryBurst, 50)
	defaults.Set(&s.ResumeTries, 2)
	defaults.Set(&s.ServiceTimeout, 30*time.Second)
	defaults.Set(&s.MaxRecordedAnswer, 8<<20)
	defaults.Set(&s.RecordTimeout, time.Second)
	defaults.Set(&s.ReleaseBacklog, 4096)
	defaults.Set(&s.DrainReleases, 5*time.Second)
	defaults.Set(&s.ReleaseLimit, 10*time.Minute)
	return s
}
