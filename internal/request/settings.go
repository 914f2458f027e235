package request

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/defaults"
)

// Settings configures a Router. Zero fields take the defaults.
type Settings struct {
	// BytesPerToken is the divisor that estimates prompt tokens from the length of the text. Default 4, which
	// approximates English text.
	BytesPerToken int
	// DefaultMaxOutput is the output limit of requests that set none, in tokens. Default 1024.
	DefaultMaxOutput int64
	// MaxOpen bounds the open requests of this host. Default 20,000: at 64 KB per open stream they take 1.28 GB of
	// memory; at target load a host has about 700 open streams on average.
	MaxOpen int
	// PrefillTimeout bounds one prefill, including the time in the engine's own queue. Default 30 s.
	PrefillTimeout time.Duration
	// ImportMargin is added to the predicted duration of a KV cache import to obtain its timeout. Default 400 ms: it
	// covers transfers that other hosts run on the same link, which the prediction does not include, and leaves time
	// to repeat a stalled import on another server before the KV cache expires.
	ImportMargin time.Duration
	// ResumeTimeout bounds the call that resumes an interrupted stream. Default 400 ms.
	ResumeTimeout time.Duration
	// KVLifetime is how long after a prefill its KV cache may be assigned to another decode engine. Default 700 ms.
	KVLifetime time.Duration
	// StreamIdleTimeout is the longest time between two chunks of a decode stream. Default 10 s.
	StreamIdleTimeout time.Duration
	// MaxRetries bounds the retries of one request over all stages. Default 4.
	MaxRetries int
	// RetryRatio is how many retries the host allows per accepted request. Default 0.2. When most requests need
	// retries, the servers are overloaded, and further calls would increase the overload.
	RetryRatio float64
	// RetryBurst is how many retries the host allows before RetryRatio limits them. Default 50.
	RetryBurst float64
	// MaxResumeAttempts bounds consecutive resumptions of a lost stream without progress. Default 2.
	MaxResumeAttempts int
	// ServiceTimeout bounds one call to a plain service: until the response is complete if it is recorded, otherwise
	// until its read-ahead part was received. Default 30 s.
	ServiceTimeout time.Duration
	// MaxRecordedResponse bounds the responses to non-repeatable calls with an idempotency key, which are recorded in
	// full, in bytes. Default 8 MiB.
	MaxRecordedResponse int64
	// RecordTimeout bounds the wait for the store to record such a response before it is sent to the caller.
	// Default 1 s.
	RecordTimeout time.Duration
	// MaxPendingReleases bounds the pending releases per backend server. Default 4096.
	MaxPendingReleases int
	// DrainReleaseTimeout is how long a drain waits for pending releases after the last request. Default 5 s. Releases
	// that are still pending then are done by the home hosts of the backend servers (the hosts to which rendezvous
	// hashing assigns them), which release what engines hold for a stopped host.
	DrainReleaseTimeout time.Duration
	// ReleaseRetryTimeout is how long the release of one attempt is retried. Default 10 min: an engine that is
	// unreachable for longer either does not return or has lost its state.
	ReleaseRetryTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.BytesPerToken, 4)
	defaults.Set(&s.DefaultMaxOutput, 1024)
	defaults.Set(&s.MaxOpen, 20000)
	defaults.Set(&s.PrefillTimeout, 30*time.Second)
	defaults.Set(&s.ImportMargin, 400*time.Millisecond)
	defaults.Set(&s.ResumeTimeout, 400*time.Millisecond)
	defaults.Set(&s.KVLifetime, 700*time.Millisecond)
	defaults.Set(&s.StreamIdleTimeout, 10*time.Second)
	defaults.Set(&s.MaxRetries, 4)
	defaults.Set(&s.RetryRatio, 0.2)
	defaults.Set(&s.RetryBurst, 50)
	defaults.Set(&s.MaxResumeAttempts, 2)
	defaults.Set(&s.ServiceTimeout, 30*time.Second)
	defaults.Set(&s.MaxRecordedResponse, 8<<20)
	defaults.Set(&s.RecordTimeout, time.Second)
	defaults.Set(&s.MaxPendingReleases, 4096)
	defaults.Set(&s.DrainReleaseTimeout, 5*time.Second)
	defaults.Set(&s.ReleaseRetryTimeout, 10*time.Minute)
	return s
}
