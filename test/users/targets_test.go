package users_test

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

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// requestTargets maps the targets that callers send to those that backend servers must get.
func requestTargets() map[string]string {
	targets := map[string]string{}
	for _, path := range []string{
		"/", "//", "///", "//vans/4/book", "///vans", "//h.example/x", "//h.example:80/x", "/a//b", "/./a/../b", "/*", "/:80/x", "/;a=1", "/@h/x",
		"/http://h.example/x", `/a"b<c>d|e\f^{g}`, "/\xc3\xbc\xff", "/%2F%2f/%41", "/a?", "/?", "//?a=//b", "/a?b?c=\"d\"&e=%20", "/a#b", "/a?b#c",
	} {
		targets[path] = path
		targets["http://"+hostName+path] = path
	}
	targets["http://"+hostName], targets["http://"+hostName+"?a=\"b\""] = "/", `/?a="b"`
	return targets
}

// Guards against a request that runs with another path or query than its caller's.
func TestTargetsReachServersByteForByte(t *testing.T) {
	p := newDeployment(t, 1)
	all := users.Route("view", hostName, "safe", "app", 2, nil)
	all["prefix"] = "/"
	config := routes(1_000_000)
	config["routes"] = append(config["routes"].([]any), all)
	p.configure(config)
	time.Sleep(time.Second)
	for target, want := range requestTargets() {
		for method, body := range map[string]string{"GET": "", "POST": strings.Repeat("x", 20_000)} {
			id := fmt.Sprintf("%s-%d", t.Name(), p.next.Add(1))
			conn, err := net.Dial("tcp", p.hosts[0].front)
			p.g.Expect(err).NotTo(HaveOccurred())
			p.g.Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
			_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
				method, target, hostName, id, key, len(body), body)
			p.g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			p.g.Expect(err).NotTo(HaveOccurred(), target)
			text, err := io.ReadAll(resp.Body)
			p.g.Expect(err).NotTo(HaveOccurred(), target)
			p.g.Expect(resp.Body.Close()).To(Succeed(), target)
			p.g.Expect(string(text)).To(HavePrefix("answer to "+method+" "+want+" by app-"), "%s %q", method, target)
			_ = conn.Close()
		}
	}
}

// Guards against a target that names no path and is run as a request for one.
func TestTargetsWithoutPathHaveNoRoute(t *testing.T) {
	p := newDeployment(t, 1)
	all := users.Route("view", hostName, "safe", "app", 2, nil)
	all["prefix"] = "/"
	config := routes(1_000_000)
	config["routes"] = append(config["routes"].([]any), all)
	p.configure(config)
	time.Sleep(time.Second)
	for _, line := range []string{"CONNECT " + hostName + ":80", "GET x:/a"} {
		id := fmt.Sprintf("%s-%d", t.Name(), p.next.Add(1))
		conn, err := net.Dial("tcp", p.hosts[0].front)
		p.g.Expect(err).NotTo(HaveOccurred())
		p.g.Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\n\r\n", line, hostName, id, key)
		p.g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		p.g.Expect(err).NotTo(HaveOccurred(), line)
		p.g.Expect(resp.Body.Close()).To(Succeed(), line)
		p.g.Expect(resp.StatusCode).To(Equal(http.StatusNotFound), line)
		p.g.Expect(p.runs(id)).To(BeZero(), line)
		_ = conn.Close()
	}
}

// Guards against an answer of a library to a caller's request: a success without a receipt, or a refusal of a method.
func TestMethodsAreAnsweredByTheRouter(t *testing.T) {
	p := newDeployment(t, 1)
	for line, want := range map[string]int{"OPTIONS *": 404, "GET *": 404, "OPTIONS /view/1": 200, "PURGE /view/1": 200, "CONNECT /view/1": 200, "PURGE /none/1": 404} {
		id := fmt.Sprintf("%s-%d", t.Name(), p.next.Add(1))
		conn, err := net.Dial("tcp", p.hosts[0].front)
		p.g.Expect(err).NotTo(HaveOccurred())
		p.g.Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\n\r\n", line, hostName, id, key)
		p.g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		p.g.Expect(err).NotTo(HaveOccurred(), line)
		p.g.Expect(resp.Body.Close()).To(Succeed(), line)
		p.g.Expect(resp.StatusCode).To(Equal(want), line)
		p.g.Expect(resp.Header.Get("Response-Stamp") != "").To(Equal(want == http.StatusOK), line)
		p.g.Expect(p.runs(id) > 0).To(Equal(want == http.StatusOK), line)
		_ = conn.Close()
	}
}
