package config_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/kvstore/etcd"
	standin "github.com/boragecourse/boragecourse/test/standin/etcd"
)

// Guards against commits of a file of the target size that exceed the limits of the store's gRPC API.
func TestTargetSizeFileOverStoreAPI(t *testing.T) {
	c := newCluster(t, []string{"a1"})
	defer c.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Expect(err).NotTo(HaveOccurred())
	server := standin.New(c.store)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	store, err := etcd.New(etcd.Options{Endpoints: []string{l.Addr().String()}})
	c.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = store.Close() }()

	n := c.nodes["a1"]
	writer := config.New(config.Options{Store: store, Viewer: n, Dialer: c.net.Node(n.id.Addr)})
	text := targetFile()
	r, err := writer.Apply(t.Context(), 0, text)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(r.Acknowledged).To(BeTrue())

	installed := make(chan struct{})
	reader := config.New(config.Options{
		Store: store, Viewer: n, Dialer: c.net.Node(n.id.Addr),
		OnInstall: func(_, _ *config.Snapshot) { close(installed) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = reader.Serve(ctx)
	}()
	<-installed
	_, back := reader.RulesFile()
	c.Expect(string(back) == string(text)).To(BeTrue())
	cancel()
	<-done
}
