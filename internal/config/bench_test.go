package config_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// targetWorkspaces is the number of workspaces for which the system is designed, with one key each.
const targetWorkspaces = 47_000

func targetFile() []byte {
	var b bytes.Buffer
	b.WriteString("zone z region=r # ana: opening\n")
	for i := range targetWorkspaces {
		fmt.Fprintf(&b, "workspace workspace-%05d rate=2000/s burst=40000 # ana: contract %d\n", i, i)
	}
	for i := range targetWorkspaces {
		fmt.Fprintf(&b, "key workspace-%05d sha256=%x id=k1 # ana: first key of contract %d\n", i, rules.HashKey(fmt.Sprint(i)), i)
	}
	return b.Bytes()
}

// BenchmarkApplyOneKey changes one key of a file of the target size and waits until three hosts have installed the
// change: the applier, a host of the same zone, which fetches from the applier, and a host of another zone, which
// reads the store. Network links have a delay of 1 ms each way.
func BenchmarkApplyOneKey(b *testing.B) {
	c := newCluster(b, []string{"a1", "a2", "b1"})
	defer c.close()
	text := targetFile()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r, err := c.nodes["a1"].svc.Apply(b.Context(), 0, text)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(r.Acknowledged).To(BeTrue())
	runtime.GC()
	runtime.ReadMemStats(&after)
	stored, err := c.admin.List(b.Context(), "/")
	c.Expect(err).NotTo(HaveOccurred())
	size := 0
	for _, kv := range stored {
		size += len(kv.Value)
	}
	// The in-memory store holds its own copy of each value, which is subtracted from the heap. Its history refers to
	// the same copy.
	perHost := (float64(after.HeapAlloc) - float64(before.HeapAlloc) - float64(size)) / 3
	_, bytesBefore := c.net.Traffic()
	generation := uint64(1)
	for b.Loop() {
		old := fmt.Sprintf("%x", rules.HashKey(fmt.Sprint(generation)))
		text = []byte(strings.Replace(string(text), old, fmt.Sprintf("%x", rules.HashKey(fmt.Sprint("new", generation))), 1))
		r, err := c.nodes["a1"].svc.Apply(b.Context(), generation, text)
		if err != nil || !r.Acknowledged {
			b.Fatal(err, r)
		}
		generation++
	}
	_, bytesAfter := c.net.Traffic()
	b.ReportMetric(perHost/1e6, "MB/host")
	b.ReportMetric(float64(len(text))/1e6, "MB/file")
	b.ReportMetric(float64(bytesAfter-bytesBefore)/float64(b.N)/1e3, "KB-between-hosts/op")
}

// BenchmarkFirstInstall parses, stores and installs a file of the target size on two hosts.
func BenchmarkFirstInstall(b *testing.B) {
	text := targetFile()
	for b.Loop() {
		c := newCluster(b, []string{"a1", "b1"})
		r, err := c.nodes["a1"].svc.Apply(b.Context(), 0, text)
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(r.Acknowledged).To(BeTrue())
		c.close()
	}
}
