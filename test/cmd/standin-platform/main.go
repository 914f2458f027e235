// Command standin-platform serves an in-memory stand-in for the platform's key-value service, for the demo and
// measurements.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/logging"
	standin "github.com/boragecourse/boragecourse/test/standin/etcd"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

type flags struct {
	Listen string   `required:"" help:"Address to listen on, ip:port."`
	Host   []string `help:"Entry of the platform's host list as NAME,IP:PORT,ZONE; may be repeated." sep:"none"`
}

// hostFlagError reports a value of --host that is not of the form NAME,IP:PORT,ZONE.
type hostFlagError struct{ value string }

func (e *hostFlagError) Error() string {
	return fmt.Sprintf("--host %q: expected NAME,IP:PORT,ZONE", e.value)
}

func main() {
	var f flags
	kctx := kong.Parse(&f, kong.Description("In-memory stand-in for the platform's key-value service."))
	kctx.FatalIfErrorf(run(f))
}

func run(f flags) error {
	server := standin.New(memstore.New())
	for _, h := range f.Host {
		parts := strings.Split(h, ",")
		if len(parts) != 3 {
			return &hostFlagError{value: h}
		}
		err := server.PublishHost(kvstore.HostEntry{Name: parts[0], Addr: parts[1], Zone: parts[2], State: kvstore.HostLive})
		if err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, server.Stop)
	logging.New(os.Stderr, 0).Info("serving", "addr", listener.Addr().String())
	if err := server.Serve(listener); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
