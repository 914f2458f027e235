// Package settings defines the settings of the daemon. They are read from flags and environment variables and validated
// at start.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"
)

// Daemon contains the settings of the daemon. Each flag --some-name is also read from BORAGECOURSE_SOME_NAME.
type Daemon struct {
	Name string `help:"Name of this host, unique in the fleet." required:"" env:"BORAGECOURSE_NAME"`
	Zone string `help:"Availability zone of this host." required:"" env:"BORAGECOURSE_ZONE"`

	ListenCallers   string `help:"Address for callers, ip:port." default:"127.0.0.1:8080" env:"BORAGECOURSE_LISTEN_CALLERS"`
	ListenPeers     string `help:"Address for other hosts, ip:port." default:"127.0.0.1:8081" env:"BORAGECOURSE_LISTEN_PEERS"`
	AdvertisePeers  string `help:"Address under which other hosts reach this one, ip:port. Default: the listening address." env:"BORAGECOURSE_ADVERTISE_PEERS"`
	ListenOperators string `help:"Address for the operator API and metrics, ip:port." default:"127.0.0.1:8082" env:"BORAGECOURSE_LISTEN_OPERATORS"`

	SeedPeers                []string `help:"Peer addresses of other hosts, ip:port, for a start while the store is down." env:"BORAGECOURSE_SEED_PEERS"`
	Store                    []string `help:"Addresses of the platform's key-value service, ip:port." required:"" env:"BORAGECOURSE_STORE"`
	PeerSecret               string   `help:"Secret shared by all hosts, at least 16 characters." required:"" env:"BORAGECOURSE_PEER_SECRET"`
	OperatorCredentialSHA256 string   `name:"operator-credential-sha256" help:"SHA-256 of the operator credential, in hex." required:"" env:"BORAGECOURSE_OPERATOR_CREDENTIAL_SHA256"`

	DrainTimeout      time.Duration `help:"Longest time that a drain waits for open requests." default:"10m" env:"BORAGECOURSE_DRAIN_TIMEOUT"`
	TrustPeriod       time.Duration `help:"How long an unconfirmed configuration serves keyed requests." default:"3s" env:"BORAGECOURSE_TRUST_PERIOD"`
	IsolationLimit    time.Duration `help:"How long a zone that is cut off goes on with its share of the rates." default:"5m" env:"BORAGECOURSE_ISOLATION_LIMIT"`
	LeaseTTL          time.Duration `help:"Time to live of the store lease, whole seconds." default:"5s" env:"BORAGECOURSE_LEASE_TTL"`
	FirstTokenTarget  time.Duration `help:"Target for the first token of latency routes." default:"310ms" env:"BORAGECOURSE_FIRST_TOKEN_TARGET"`
	MaxBodyBytes      int64         `help:"Largest request body, in bytes." default:"8388608" env:"BORAGECOURSE_MAX_BODY_BYTES"`
	MaxHeaderBytes    int           `help:"Largest request header, in bytes." default:"65536" env:"BORAGECOURSE_MAX_HEADER_BYTES"`
	BodyTimeout       time.Duration `help:"Longest time to read a request body." default:"30s" env:"BORAGECOURSE_BODY_TIMEOUT"`
	IdleTimeout       time.Duration `help:"Longest time that a caller's connection stays open without a request." default:"2m" env:"BORAGECOURSE_IDLE_TIMEOUT"`
	StreamTimeout     time.Duration `help:"Longest time of one request, from its arrival to its last byte." default:"30m" env:"BORAGECOURSE_STREAM_TIMEOUT"`
	DefaultMaxOutput  int64         `help:"Output limit of requests that set none, in tokens." default:"1024" env:"BORAGECOURSE_DEFAULT_MAX_OUTPUT"`
	MaxOpenRequests   int           `help:"Most requests that are open at the same time; each open stream takes about 60 KB of memory." default:"20000" env:"BORAGECOURSE_MAX_OPEN_REQUESTS"`
	LogVerbosity      int           `help:"Log verbosity: 0 for events, 1 for details." default:"0" env:"BORAGECOURSE_LOG_VERBOSITY"`
	TLSCertFile       string        `name:"tls-cert-file" help:"Certificate chain for callers, PEM. Not in use yet; checked with --tls-key-file." env:"BORAGECOURSE_TLS_CERT_FILE"`
	TLSKeyFile        string        `name:"tls-key-file" help:"Private key for callers, PEM." env:"BORAGECOURSE_TLS_KEY_FILE"`
	PeerTLSCAFile     string        `name:"peer-tls-ca-file" help:"Certificate authority for other hosts, PEM. Not in use yet." env:"BORAGECOURSE_PEER_TLS_CA_FILE"`
	ShutdownGrace     time.Duration `help:"Time between readiness going off and the refusal of new work on drain." default:"1s" env:"BORAGECOURSE_SHUTDOWN_GRACE"`
	HeartbeatInterval time.Duration `help:"Time between heartbeats to other hosts." default:"500ms" env:"BORAGECOURSE_HEARTBEAT_INTERVAL"`
}

// Fault is one invalid setting.
type Fault struct {
	// Setting is the name of the flag without the leading dashes.
	Setting string
	Reason  string
}

// Error reports all invalid settings at once.
type Error struct {
	Faults []Fault
}

// Error implements error.
func (e *Error) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = fmt.Sprintf("--%s: %s", f.Setting, f.Reason)
	}
	return "invalid settings: " + strings.Join(parts, "; ")
}

// minSecretLength is the smallest length of the peer secret, in characters. A shorter secret could be guessed.
const minSecretLength = 16

// contactWindow is how long after its last message a host counts as reachable. Several heartbeats are sent in this
// time, so that the loss of one heartbeat has no effect.
const contactWindow = 2 * time.Second

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects the faults of a check.
type checker struct {
	faults []Fault
}

func (c *checker) require(ok bool, setting, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Setting: setting, Reason: fmt.Sprintf(format, args...)})
	}
}

// Check sets the defaults that depend on other settings, and validates all settings. It returns nil or an *Error with
// every fault.
func (d *Daemon) Check() error {
	c := &checker{}
	if d.AdvertisePeers == "" {
		d.AdvertisePeers = d.ListenPeers
	}
	d.checkIdentity(c)
	d.checkAddresses(c)
	d.checkTimes(c)
	d.checkLimits(c)
	d.checkFiles(c)
	if len(c.faults) > 0 {
		return &Error{Faults: c.faults}
	}
	return nil
}

func (d *Daemon) checkIdentity(c *checker) {
	c.require(namePattern.MatchString(d.Name), "name", "%q is not a name of lower-case letters, digits and dashes", d.Name)
	c.require(namePattern.MatchString(d.Zone), "zone", "%q is not a name of lower-case letters, digits and dashes", d.Zone)
	c.require(len(d.PeerSecret) >= minSecretLength, "peer-secret", "shorter than %d characters", minSecretLength)
	sum, err := hex.DecodeString(d.OperatorCredentialSHA256)
	c.require(err == nil && len(sum) == sha256.Size, "operator-credential-sha256", "not %d hex digits", 2*sha256.Size)
}

func (d *Daemon) checkAddresses(c *checker) {
	addresses := map[string]string{
		"listen-callers": d.ListenCallers, "listen-peers": d.ListenPeers,
		"advertise-peers": d.AdvertisePeers, "listen-operators": d.ListenOperators,
	}
	for _, setting := range []string{"listen-callers", "listen-peers", "advertise-peers", "listen-operators"} {
		_, err := netip.ParseAddrPort(addresses[setting])
		c.require(err == nil, setting, "%q is not ip:port", addresses[setting])
	}
	advertised, err := netip.ParseAddrPort(d.AdvertisePeers)
	c.require(err != nil || !advertised.Addr().IsUnspecified(), "advertise-peers", "%q is not an address that others can reach", d.AdvertisePeers)
	c.require(d.ListenCallers != d.ListenPeers && d.ListenPeers != d.ListenOperators && d.ListenCallers != d.ListenOperators,
		"listen-callers", "callers, peers and operators need different addresses")
	c.require(len(d.Store) > 0, "store", "no address")
	for _, s := range d.SeedPeers {
		_, err := netip.ParseAddrPort(s)
		c.require(err == nil, "seed-peers", "%q is not ip:port", s)
	}
	for _, s := range d.Store {
		_, err := netip.ParseAddrPort(s)
		c.require(err == nil, "store", "%q is not ip:port", s)
	}
}

func (d *Daemon) checkTimes(c *checker) {
	positive := []struct {
		name  string
		value time.Duration
	}{
		{"drain-timeout", d.DrainTimeout}, {"trust-period", d.TrustPeriod}, {"body-timeout", d.BodyTimeout},
		{"idle-timeout", d.IdleTimeout}, {"stream-timeout", d.StreamTimeout}, {"first-token-target", d.FirstTokenTarget},
		{"heartbeat-interval", d.HeartbeatInterval},
	}
	for _, p := range positive {
		c.require(p.value > 0, p.name, "%v is not positive", p.value)
	}
	c.require(d.TrustPeriod <= 4*time.Second, "trust-period", "%v is above 4s; a withdrawn key must stop within 5s", d.TrustPeriod)
	c.require(d.LeaseTTL >= 2*time.Second && d.LeaseTTL%time.Second == 0, "lease-ttl", "%v is not whole seconds of at least 2s", d.LeaseTTL)
	c.require(d.IsolationLimit >= d.LeaseTTL, "isolation-limit", "%v is below the lease's time to live", d.IsolationLimit)
	c.require(d.HeartbeatInterval <= contactWindow/3, "heartbeat-interval", "%v is above a third of the contact time of %v", d.HeartbeatInterval, contactWindow)
	c.require(d.ShutdownGrace >= 0, "shutdown-grace", "%v is negative", d.ShutdownGrace)
}

func (d *Daemon) checkLimits(c *checker) {
	c.require(d.MaxBodyBytes > 0, "max-body-bytes", "%d is not positive", d.MaxBodyBytes)
	c.require(d.MaxHeaderBytes >= 4096, "max-header-bytes", "%d is below 4096", d.MaxHeaderBytes)
	c.require(d.DefaultMaxOutput > 0, "default-max-output", "%d is not positive", d.DefaultMaxOutput)
	c.require(d.MaxOpenRequests > 0, "max-open-requests", "%d is not positive", d.MaxOpenRequests)
	c.require(d.LogVerbosity >= 0, "log-verbosity", "%d is negative", d.LogVerbosity)
}

func (d *Daemon) checkFiles(c *checker) {
	c.require((d.TLSCertFile == "") == (d.TLSKeyFile == ""), "tls-cert-file", "--tls-cert-file and --tls-key-file go together")
	for setting, file := range map[string]string{
		"tls-cert-file": d.TLSCertFile, "tls-key-file": d.TLSKeyFile, "peer-tls-ca-file": d.PeerTLSCAFile,
	} {
		if file == "" {
			continue
		}
		_, err := os.Stat(file)
		c.require(err == nil, setting, "%v", err)
	}
}
