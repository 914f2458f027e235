// Command benchpath measures the overhead of the router: the added time to the first token, compared with direct calls
// of the stand-in engine in the same run, and the memory of the daemon per open stream. All processes run on loopback.
package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine/openai"
	"github.com/boragecourse/boragecourse/test/loopback"
)

const (
	model      = "keeper-llm"
	key        = "bc-benchpath"
	credential = "benchpath-credential"
	runTimeout = 2 * time.Minute
	// warmUp is the number of streams that open the connections on each path before the measurement.
	warmUp = 32
	// spacing is the time between arrivals. Streams last 3 s, so with up to 600 of them all are open after the last
	// arrival.
	spacing = 5 * time.Millisecond
	// rounds is the number of measurements of each path. The paths alternate, so that changes of the load on the
	// machine affect both.
	rounds = 5
	// maxAddedMillis and maxStreamBytes are the design targets for the median added time and the memory per stream.
	maxAddedMillis = 1.0
	maxStreamBytes = 64 << 10
)

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	streams := flag.Int("streams", 200, "concurrent streams")
	profile := flag.String("profile", "", "file for a heap profile of the daemon while all streams are open")
	flag.Parse()
	if err := run(*bin, *streams, *profile); err != nil {
		fmt.Fprintf(os.Stderr, "benchpath: %v\n", err)
		os.Exit(1)
	}
}

// attempts counts requests; it makes the attempt ids of direct calls unique.
var attempts atomic.Int64

// fleet holds the processes and addresses of the store, one engine and one daemon.
type fleet struct {
	procs                                    *loopback.Processes
	store, engine, callers, peers, operators string
	daemon                                   *loopback.Process
}

func run(bin string, streams int, profile string) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	logs := filepath.Join("out", "benchpath")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return fmt.Errorf("create log folder: %w", err)
	}
	f := &fleet{procs: &loopback.Processes{Bin: bin, Logs: logs}}
	defer f.procs.StopAll()
	if err := f.start(ctx); err != nil {
		return err
	}
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = streams
	var direct, routed []time.Duration
	var perStream int64
	if err := loopback.Await(ctx, "tokens", func() error {
		_, err := stream(ctx, f.callers, 0, func() {})
		return err
	}); err != nil {
		return err
	}
	measure(ctx, f.engine, warmUp, nil)
	measure(ctx, f.callers, warmUp, nil)
	for range rounds {
		direct = append(direct, measure(ctx, f.engine, streams, nil)...)
		before := rss(f.daemon.PID())
		var during int64
		routed = append(routed, measure(ctx, f.callers, streams, func() { during = rss(f.daemon.PID()) })...)
		perStream = max(perStream, (during-before)/int64(streams))
	}
	if profile != "" {
		measure(ctx, f.callers, streams, func() {
			f.saveProfile(ctx, "heap?gc=1", profile)
			f.saveProfile(ctx, "goroutine?debug=1", profile+".goroutines")
			f.saveProfile(ctx, "heap?debug=1", profile+".memstats")
		})
	}
	fmt.Printf("processor time of the daemon: %.2f ms for each routed stream\n", cpuMillis(f.daemon.PID())/float64(len(routed)))
	return report(streams, direct, routed, perStream)
}

// saveProfile writes one profile of the daemon to a file. It only prints an error, since the measurement does not
// depend on the profile.
func (f *fleet) saveProfile(ctx context.Context, name, path string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.operators+"/debug/pprof/"+name, http.NoBody)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintf(os.Stderr, "profile: %v\n", err)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "profile: %v\n", err)
	}
}

func report(streams int, direct, routed []time.Duration, perStream int64) error {
	if len(direct) != streams*rounds || len(routed) != streams*rounds {
		return &benchError{fmt.Sprintf("received %d direct and %d routed responses, want %d each",
			len(direct), len(routed), streams*rounds)}
	}
	added := millis(quantile(routed, 0.5)) - millis(quantile(direct, 0.5))
	fmt.Printf("%d concurrent streams, %d rounds\n", streams, rounds)
	for _, p := range []float64{0.5, 0.95, 0.99} {
		fmt.Printf("first token p%.0f: direct %.2f ms, routed %.2f ms\n", p*100, millis(quantile(direct, p)), millis(quantile(routed, p)))
	}
	fmt.Printf("median added time to the first token: %.2f ms (target under %.0f ms)\n", added, maxAddedMillis)
	fmt.Printf("memory per open stream, largest of the rounds: %.1f KB (target under %d KB)\n", float64(perStream)/1024, maxStreamBytes>>10)
	if added >= maxAddedMillis || perStream >= maxStreamBytes {
		return &benchError{"the added time or the memory per stream is not below its target"}
	}
	return nil
}

// benchError reports that a target was missed or that a response failed.
type benchError struct{ text string }

// Error implements error.
func (e *benchError) Error() string { return e.text }

func (f *fleet) start(ctx context.Context) error {
	addrs, err := loopback.FreeAddresses(5)
	if err != nil {
		return err
	}
	f.store, f.engine, f.callers, f.peers, f.operators = addrs[0], addrs[1], addrs[2], addrs[3], addrs[4]
	sum := sha256.Sum256([]byte(credential))
	starts := [][]string{
		{"platform", "standin-platform", "--listen=" + f.store},
		{"engine", "standin-engine", "--listen=" + f.engine, "--name=keeper-1", "--role=both", "--slots=2000", "--pieces=100000",
			"--prefill-token=1us", "--output-token=20ms", "--natural-tokens=150"},
		{"daemon", "boragecoursed", "--name=entry-1", "--zone=piran-a", "--store=" + f.store, "--listen-callers=" + f.callers,
			"--listen-peers=" + f.peers, "--listen-operators=" + f.operators, "--peer-secret=0123456789abcdef",
			"--operator-credential-sha256=" + hex.EncodeToString(sum[:])},
	}
	for _, s := range starts {
		pr, err := f.procs.Start(s[0], s[1], s[2:]...)
		if err != nil {
			return err
		}
		f.daemon = pr
	}
	path := filepath.Join(f.procs.Logs, "fleet.rules")
	if err := os.WriteFile(path, []byte(f.rules()), 0o600); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	if err := loopback.Await(ctx, "an accepted apply", func() error {
		return exec.CommandContext(ctx, filepath.Join(f.procs.Bin, "boragecourse"), "--hosts="+f.operators,
			"--credential="+credential, "apply", "--yes", path).Run()
	}); err != nil {
		return err
	}
	return loopback.Await(ctx, "the daemon", func() error { return loopback.CheckOK("http://" + f.callers + "/readyz") })
}

func (f *fleet) rules() string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf(`zone piran-a region=primorska # ana: measurement
workspace guests rate=10000000/s burst=100000000 # ana: measurement
key guests sha256=%s id=k1 # ana: measurement
server keeper-1 zone=piran-a addr=%s role=both model=%s slots=2000 # ana: measurement
route /v1/chat/completions model=%s repeatable=yes class=latency # ana: measurement
`, hex.EncodeToString(sum[:]), f.engine, model, model)
}

// measure opens the streams one after the other and returns their times to the first token, without those of failed
// streams. It calls opened once every stream has received its first token or failed.
func measure(ctx context.Context, addr string, streams int, opened func()) []time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var first, all sync.WaitGroup
	first.Add(streams)
	for i := range streams {
		time.Sleep(spacing)
		all.Go(func() {
			d, err := stream(ctx, addr, i, first.Done)
			if err != nil {
				fmt.Fprintf(os.Stderr, "stream on %s: %v\n", addr, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, d)
		})
	}
	first.Wait()
	if opened != nil {
		opened()
	}
	all.Wait()
	return times
}

// stream sends one request, reads the complete response and returns the time to the first data event. It calls gotFirst
// once, at the first event or on an error.
func stream(ctx context.Context, addr string, n int, gotFirst func()) (time.Duration, error) {
	reported := false
	report := func() {
		if !reported {
			reported = true
			gotFirst()
		}
	}
	defer report()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":150,"messages":[{"role":"user","content":"%d %s"}]}`,
		model, n, strings.Repeat("tide ", 40))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	// A direct call needs an attempt id that is unique at the engine; the router replaces the header by its own.
	req.Header.Set(openai.HeaderAttempt, fmt.Sprintf("direct-%d", attempts.Add(1)))
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, &benchError{fmt.Sprintf("status %d: %s", resp.StatusCode, text)}
	}
	var firstAt time.Duration
	done := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "data:") && firstAt == 0 {
			firstAt = time.Since(start)
			report()
		}
		done = done || strings.Contains(line, "[DONE]")
	}
	if err := lines.Err(); err != nil || !done {
		return 0, &benchError{fmt.Sprintf("response ended before or without [DONE]: %v", err)}
	}
	return firstAt, nil
}

// rss returns the resident set size of a process in bytes, or 0 if it cannot be read.
func rss(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// ticksPerSecond is the resolution of CPU times in /proc.
const ticksPerSecond = 100

// cpuMillis returns the CPU time of a process since its start in milliseconds, or 0 if it cannot be read.
func cpuMillis(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The second field is the program's name in parentheses; user and system time are the 14th and 15th.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * 1000 / ticksPerSecond
}

func quantile(d []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1))]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
