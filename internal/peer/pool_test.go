package peer_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

type configServer struct {
	peerv1.UnimplementedConfigServer
}

func (configServer) GetHead(context.Context, *peerv1.GetHeadRequest) (*peerv1.GetHeadResponse, error) {
	return &peerv1.GetHeadResponse{Head: &peerv1.Head{Generation: 7}}, nil
}

func serve(t *testing.T, secret string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(secret, nil)
	peerv1.RegisterConfigServer(s, configServer{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() { s.Stop(); <-done })
	return l.Addr().String()
}

// Guards against a host that accepts calls from a process without the shared secret.
func TestSecretIsRequired(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, c := range []struct {
		secret string
		code   codes.Code
	}{{"right-secret", codes.OK}, {"wrong-secret", codes.Unauthenticated}, {"", codes.Unauthenticated}} {
		t.Run(c.secret, func(t *testing.T) {
			g := NewWithT(t)
			addr := serve(t, "right-secret")
			pool := peer.NewPool(c.secret, nil)
			defer pool.Close()
			reply, err := peerv1.NewConfigClient(pool.Conn(addr)).GetHead(t.Context(), &peerv1.GetHeadRequest{})
			g.Expect(status.Code(err)).To(Equal(c.code))
			if c.code == codes.OK {
				g.Expect(reply.GetHead().GetGeneration()).To(BeEquivalentTo(7))
			}
		})
	}
}
