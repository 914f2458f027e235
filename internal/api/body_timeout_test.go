package api_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/api"
)

// Guards against connections that stay open without a response because the caller announces a body that it never sends.
func TestAnnouncedBodyThatNeverArrives(t *testing.T) {
	f := newFleet(t, api.Options{BodyTimeout: 50 * time.Millisecond})
	for request, status := range map[string]int{
		"POST /x": 404, "POST /v1/models": 405, "GET /v1/models": 401, "POST /v1/completions": 401,
		"POST /booking/x HTTP/1.1\r\nAuthorization: Bearer " + key: 408,
	} {
		if !strings.Contains(request, "HTTP/1.1") {
			request += " HTTP/1.1"
		}
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(c.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
		_, err = fmt.Fprintf(c, "%s\r\nHost: h\r\nContent-Length: 100\r\n\r\n", request)
		f.Expect(err).NotTo(HaveOccurred())
		r := bufio.NewReader(c)
		res, err := http.ReadResponse(r, nil)
		f.Expect(err).NotTo(HaveOccurred(), request)
		_, err = io.Copy(io.Discard, res.Body)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(res.Body.Close()).To(Succeed())
		f.Expect(res.StatusCode).To(Equal(status), request)
		_, err = r.ReadByte()
		f.Expect(err).To(MatchError("EOF"), request)
		f.Expect(c.Close()).To(Succeed())
	}
	f.verify()
}
