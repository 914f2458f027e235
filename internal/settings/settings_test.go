package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/settings"
)

func required() []string {
	return []string{
		"--name=h1", "--zone=piran-a", "--store=127.0.0.1:2379", "--peer-secret=0123456789abcdef",
		"--operator-credential-sha256=" + strings.Repeat("ab", 32),
	}
}

func parse(t *testing.T, args ...string) *settings.Daemon {
	t.Helper()
	d := &settings.Daemon{}
	p, err := kong.New(d)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Parse(args); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against default values that Check rejects.
func TestDefaultsAreValid(t *testing.T) {
	g := NewWithT(t)
	d := parse(t, required()...)
	g.Expect(d.Check()).To(Succeed())
	g.Expect(d.AdvertisePeers).To(Equal(d.ListenPeers))
	g.Expect(d.IsolationLimit).To(Equal(5 * time.Minute))
}

// Guards against a setting that is not read from the environment.
func TestEnvironmentSetsWhatFlagsDoNot(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("BORAGECOURSE_TRUST_PERIOD", "2s")
	g.Expect(parse(t, required()...).TrustPeriod).To(Equal(2 * time.Second))
}

// Guards against a start with an invalid setting, and against an error that reports only the first fault.
func TestEveryFaultIsReported(t *testing.T) {
	g := NewWithT(t)
	missing := filepath.Join(t.TempDir(), "missing.pem")
	_, err := os.Stat(missing)
	g.Expect(err).To(HaveOccurred())
	cases := map[string]string{
		"--name=Bad_Name": "name", "--zone=": "zone", "--store=localhost": "store", "--seed-peers=entry-2": "seed-peers", "--peer-secret=short": "peer-secret",
		"--operator-credential-sha256=xyz": "operator-credential-sha256", "--listen-callers=8080": "listen-callers",
		"--advertise-peers=0.0.0.0:1": "advertise-peers", "--trust-period=5s": "trust-period", "--lease-ttl=1500ms": "lease-ttl",
		"--isolation-limit=1s": "isolation-limit", "--heartbeat-interval=1s": "heartbeat-interval",
		"--drain-timeout=0s": "drain-timeout", "--max-body-bytes=0": "max-body-bytes", "--max-header-bytes=1": "max-header-bytes",
		"--default-max-output=0": "default-max-output", "--max-open-requests=0": "max-open-requests",
		"--tls-cert-file=" + missing: "tls-cert-file",
	}
	args := required()
	for arg := range cases {
		args = append(args, arg)
	}
	var faults *settings.Error
	g.Expect(errors.As(parse(t, args...).Check(), &faults)).To(BeTrue())
	named := map[string]bool{}
	for _, f := range faults.Faults {
		named[f.Setting] = true
	}
	for arg, setting := range cases {
		g.Expect(named).To(HaveKey(setting), arg)
	}
}
