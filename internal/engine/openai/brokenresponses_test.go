package openai_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// serveRaw starts a server that sends the same bytes as the response to each request and closes the connection.
func serveRaw(t *testing.T, response string) string {
	server, err := rawserver.Start(func(c *rawserver.Conn) {
		c.Request()
		_, _ = io.WriteString(c, response)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Addr
}

// expectFailed sends a call of each kind to a server with a broken response.
func expectFailed(t *testing.T, addr string) {
	t.Helper()
	dir, _ := newDirectory(t)
	call := callOf("r.1", "/v1/completions", "{}")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		r, _ := http.NewRequest(method, "http://x/booking", strings.NewReader("x"))
		res, err := dir.Service("s", addr).Do(t.Context(), call.Attempt, r)
		if err == nil {
			_ = res.Body.Close()
		}
		expectUnknown(t, method, err)
	}
	stream, err := dir.Server("s", addr).Decode(t.Context(), call, nil)
	if err == nil {
		stream.Close()
	}
	expectUnknown(t, "decode", err)
}

func expectUnknown(t *testing.T, name string, err error) {
	t.Helper()
	var failed *engine.FailedError
	NewWithT(t).Expect(errors.As(err, &failed)).To(BeTrue(), "%s: %v", name, err)
}

// Guards against a response with a status outside of HTTP that is passed on to the caller.
func TestResponsesWithoutAValidStatus(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 OK", "+20 OK", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			expectFailed(t, serveRaw(t, "HTTP/1.1 "+status+"\r\nContent-Length: 8\r\n\r\ncomplete"))
		})
	}
}

// Guards against a response with an invalid field name that is passed on to the caller, with a body that has other bounds than the
// service's.
func TestResponsesWithInvalidFieldNames(t *testing.T) {
	for _, line := range []string{"Content-Length : 8", "Content Length: 8", "Transfer-Encoding : chunked", "X Y: z", "X\tY: z", "X\x01Y: z"} {
		t.Run(line, func(t *testing.T) {
			expectFailed(t, serveRaw(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\ncomplete"))
		})
	}
}

// Guards against a part of a response without a length that counts as complete because the service reset the connection while the
// request was being written.
func TestResponsesResetDuringTheUpload(t *testing.T) {
	server, err := rawserver.Start(func(c *rawserver.Conn) {
		c.RequestHead()
		c.Send("HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	dir, _ := newDirectory(t)
	for range 300 {
		r, _ := http.NewRequest(http.MethodPost, "http://x/booking", bytes.NewReader(make([]byte, 8<<20)))
		res, err := dir.Service("s", server.Addr).Do(t.Context(), callOf("r.1", "", "").Attempt, r)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			t.Errorf("response %q is complete", text)
		}
	}
}
