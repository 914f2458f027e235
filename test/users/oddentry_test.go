package users_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

// oddEntries returns entries of the store that name no backend server, by key. All that can be read have an address at
// which someone listens.
func oddEntries(address string) map[string]string {
	good := fmt.Sprintf(`{"service":"app","address":%q,"zone":"piran-a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":1}`, address)
	change := func(old, changed string) string {
		text := strings.Replace(good, old, changed, 1)
		if text == good {
			panic("no " + old)
		}
		return text
	}
	port := address[strings.LastIndex(address, ":"):]
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	entries := map[string]string{
		"not JSON": "\x00\xff", "no value": "", "not an object": `[1]`, "null": `null`, "text": `"entry"`,
		"nested": nested(100_000), "nested and cut": strings.Repeat(`{"a":`, 100_000),
		"nested field":   change(`"seq":1`, `"models":`+nested(50_000)),
		"large slots":    change(`"slots":4`, `"slots":1000000000000000`),
		"largest slots":  change(`"slots":4`, `"slots":9223372036854775807`),
		"too many slots": change(`"slots":4`, `"slots":1e400`),
		"no slots":       change(`"slots":4,`, ``), "zero slots": change(`"slots":4`, `"slots":0`), "negative slots": change(`"slots":4`, `"slots":-4`),
		"slots as text":  change(`"slots":4`, `"slots":"4"`),
		"endless warmup": change(`"coldLeftMs":0`, `"coldLeftMs":1e300`), "negative warmup": change(`"coldLeftMs":0`, `"coldLeftMs":-5`),
		"unreadable warmup": change(`"coldLeftMs":0`, `"coldLeftMs":1e999`),
		"long number":       change(`"seq":1`, `"seq":`+strings.Repeat("9", 100_000)),
		"born too late":     change(`"born":1`, `"born":1e30`), "born before time": change(`"born":1`, `"born":-1`), "born in between": change(`"born":1`, `"born":1.5`),
		"version as number": change(`"v1"`, `1`), "seq as text": change(`"seq":1`, `"seq":"1"`),
		"no zone": change(`"zone":"piran-a",`, ``), "zone as number": change(`"piran-a"`, `5`),
		"no port": change(port, ``), "port 0": change(port, `:0`), "port too large": change(port, `:70000`), "negative port": change(port, `:-1`),
		"any address": change(address, "0.0.0.0"+port), "multicast": change(address, "224.0.0.1"+port), "broadcast": change(address, "255.255.255.255"+port),
		"IPv6 zone": change(address, "[fe80::1%lo]"+port), "name": change(address, "localhost"+port),
		"no state": change(`"ready"`, `""`), "strange state": change(`"ready"`, `"`+strings.Repeat("x", 100_000)+`"`),
	}
	for _, field := range []string{`"service":"app"`, `"zone":"piran-a"`, `"version":"v1"`, `"slots":4`, `"state":"ready"`, `"coldLeftMs":0`, `"seq":1`, `"born":1`} {
		name, _, _ := strings.Cut(field[1:], `"`)
		entries["without "+name] = change(field, `"x":1`)
		entries["null as "+name] = change(field, `"`+name+`":null`)
		entries["list as "+name] = change(field, `"`+name+`":[]`)
		entries["other case of "+name] = change(`"`+name+`"`, `"`+strings.ToUpper(name)+`"`)
	}
	for i, models := range []string{`"m"`, `1`, `{}`, `["m"]`, `[[]]`} {
		entries[fmt.Sprintf("models %d", i)] = change(`"seq":1`, `"seq":1,"models":`+models)
	}
	keyed := map[string]string{"servers/": good, "servers/a\nb": good, "servers/\u00fc": good, "servers/with space": good}
	for name, text := range entries {
		keyed["servers/odd-"+strings.ReplaceAll(name, " ", "-")] = text
	}
	return keyed
}

// Guards against an entry of another writer that ends a host, keeps it from following the store, or is used as a backend
// server.
func TestOddEntriesAmongTheRegistrations(t *testing.T) {
	p := newDeployment(t, 2)
	odd, err := rawserver.Start(func(c *rawserver.Conn) {
		if r := c.Request(); r != nil {
			t.Errorf("an odd entry got the request %s for %s", r.URL.Path, r.Header.Get("Expect-Instance"))
		}
	})
	p.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(odd.Close)
	entries := oddEntries(odd.Addr)
	for key, text := range entries {
		p.store.Put(key, []byte(text))
	}
	time.Sleep(time.Second)
	for i := range 40 {
		p.g.Expect(p.do(p.hosts[i%2], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
	}
	joined := p.worker(users.WorkerOptions{ID: "app-3", Service: "app"})
	p.store.Remove("servers/app-1")
	p.store.Remove("servers/app-2")
	p.g.Eventually(func() int { _ = p.do(p.hosts[1], http.MethodGet, "/view/1"); return len(joined.Runs()) }).WithTimeout(waitTimeout).ShouldNot(BeZero())
	for i := range 20 {
		p.g.Expect(p.do(p.hosts[i%2], http.MethodPost, "/reserve/1").status).To(Equal(http.StatusOK))
	}
	p.withdraw()
	for _, h := range p.hosts {
		p.awaitWithdrawn(h, configApply)
	}
	text := p.firstLog(p.hosts[0])
	p.g.Expect(strings.Count(text, "entry ignored")).To(Equal(len(entries)), "each entry is logged once")
	p.g.Expect(len(text)).To(BeNumerically("<", 100_000))
	p.hosts[1].process.Terminate(0)
	p.start(p.hosts[1])
	p.awaitReady(p.hosts[1])
	p.configure(routes(100000))
	p.g.Eventually(func() int { return p.do(p.hosts[1], http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
}

// Guards against an entry of another writer that is used in place of a known server's: for another service, or as a new start of one
// that is draining.
func TestOddEntriesOfKnownServers(t *testing.T) {
	p := newDeployment(t, 2)
	config := routes(1_000_000)
	config["services"] = append(config["services"].([]any), map[string]any{"name": "archive", "healthPath": "/healthz", "maxConns": 100})
	config["routes"] = append(config["routes"].([]any), users.Route("file", hostName, "unsafe", "archive", 1, nil))
	p.configure(config)
	archive := p.worker(users.WorkerOptions{ID: "archive-1", Service: "archive"})
	p.plain[0].Register(p.store, "draining")
	p.g.Eventually(func() int { return p.do(p.hosts[1], http.MethodPost, "/file/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	time.Sleep(time.Second)
	before := []int{len(archive.Runs()), len(p.plain[0].Runs())}
	for _, w := range []*users.Worker{archive, p.plain[0]} {
		full := fmt.Sprintf(`{"service":"app","address":%q,"zone":"piran-a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`,
			w.Addr, time.Now().UnixMilli())
		for _, field := range []string{"version", "coldLeftMs", "seq", "born"} {
			p.store.Put("servers/"+w.ID, []byte(strings.Replace(full, field, "x", 1)))
			time.Sleep(200 * time.Millisecond)
			for i := range 20 {
				p.g.Expect(p.do(p.hosts[i%2], http.MethodPost, "/reserve/1").status).To(Equal(http.StatusOK), "%s without %s", w.ID, field)
			}
		}
	}
	p.g.Expect([]int{len(archive.Runs()), len(p.plain[0].Runs())}).To(Equal(before))
	archive.Register(p.store, "ready")
	p.g.Eventually(func() int { return p.do(p.hosts[0], http.MethodPost, "/file/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
}
