package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// largeFile returns a file with the given number of workspaces and one key for each.
func largeFile(workspaces int) string {
	var b strings.Builder
	b.WriteString("zone z region=r # ana: opening\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "workspace workspace-%05d rate=2000/s burst=40000 # ana: contract %d\n", i, i)
	}
	for i := range workspaces {
		fmt.Fprintf(&b, "key workspace-%05d sha256=%x id=k1 # ana: first key of contract %d\n", i, rules.HashKey(fmt.Sprint(i)), i)
	}
	return b.String()
}

// Guards against a one-line change that alters more than three chunks, against lost bytes, and against chunks above
// the size limit.
func TestSplitProperty(t *testing.T) {
	lines := strings.SplitAfter(largeFile(2000), "\n")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		text := strings.Join(lines, "")
		before := map[string]bool{}
		for _, c := range split(text) {
			before[c] = true
			g.Expect(len(c)).To(BeNumerically("<=", maxChunk))
		}
		changed := append([]string{}, lines...)
		at := rapid.IntRange(0, len(lines)-2).Draw(rt, "line")
		switch rapid.IntRange(0, 2).Draw(rt, "edit") {
		case 0:
			changed[at] = "# changed " + rapid.StringMatching(`[a-z]{1,8}`).Draw(rt, "text") + "\n"
		case 1:
			changed = append(changed[:at], changed[at+1:]...)
		default:
			changed[at] += "# added\n"
		}
		fresh := 0
		after := split(strings.Join(changed, ""))
		for _, c := range after {
			if !before[c] {
				fresh++
			}
		}
		g.Expect(strings.Join(after, "")).To(Equal(strings.Join(changed, "")))
		g.Expect(fresh).To(BeNumerically("<=", 3))
	})
}

// Guards against chunks that are too small, and against lost bytes, in files with identical, empty or very long lines.
func TestSplitUnusualText(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "x", "\n", strings.Repeat("\n", 100_000), strings.Repeat("# same line\n", 100_000),
		strings.Repeat("x", 2*maxChunk) + "\n" + strings.Repeat("# y\n", 10)} {
		chunks := split(text)
		g.Expect(strings.Join(chunks, "")).To(Equal(text))
		g.Expect(len(chunks)).To(BeNumerically("<=", len(text)/minChunk+1))
	}
}

// Guards against charges that carry line numbers of an earlier file, and against compiling a file changing the rules
// of an earlier snapshot. Both may happen because snapshots share parsed chunks.
func TestIncrementalCompileEqualsReadingTheFile(t *testing.T) {
	g := NewWithT(t)
	b := newBlobCache()
	var first []rules.Rule
	for i, text := range []string{largeFile(1000), "# one more line\n" + largeFile(1000), largeFile(900)} {
		cand, err := prepare(text, b.copyChunk)
		g.Expect(err).NotTo(HaveOccurred())
		b.addCandidate(cand)
		got, err := b.compile(cand.chunks)
		g.Expect(err).NotTo(HaveOccurred())
		b.installed(cand.index)
		f, err := rules.ParseAndCheck("rules", []byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(len(f.Rules())))
		for j, want := range f.Rules() {
			g.Expect(got[j].Source().Line).To(Equal(want.Source().Line))
			g.Expect(got[j].ID()).To(Equal(want.ID()))
		}
		g.Expect(b.text(cand.chunks)).To(Equal(text))
		if i == 0 {
			first = got
		}
	}
	g.Expect(first[500].Source().Line).To(Equal(501))
}

// Guards against accepting chunks, indexes and heads that are malformed or do not match their hash.
func TestCorruptBlobsAreRefused(t *testing.T) {
	g := NewWithT(t)
	b := newBlobCache()
	var corrupt *CorruptError
	for _, err := range []error{
		b.add(hashOf("# x\n"), "# y\n"),
		b.add(hashOf("no rule\n"), "no rule\n"),
		b.addIndex(hashOf("x"), indexHeader),
		b.addIndex(hashOf("x"), "x"),
		b.addIndex(hashOf(indexHeader+"x"), indexHeader+"x"),
	} {
		g.Expect(err).To(BeAssignableToTypeOf(corrupt))
	}
	for _, data := range []string{"{", "{}", `{"generation":1}`, `{"generation":1,"index":"00"}`} {
		_, err := decodeHead([]byte(data))
		g.Expect(err).To(BeAssignableToTypeOf(corrupt))
	}
	g.Expect(b.chunks).To(BeEmpty())
}

// Guards against the removal of chunks that a retained generation uses, against more removals than fit in one
// transaction, and against unused chunks that are never removed.
func TestRemovalProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		indexes := map[Hash][]Hash{}
		stored := map[Hash]bool{}
		read := func(h Hash) ([]Hash, bool) { c, ok := indexes[h]; return c, ok }
		record := headRecord{}
		var live [][]Hash
		for i := range rapid.IntRange(1, 25).Draw(rt, "changes") {
			var chunks []Hash
			for range rapid.IntRange(1, 120).Draw(rt, "chunks") {
				chunks = append(chunks, hashOf(fmt.Sprint(rapid.IntRange(0, 400).Draw(rt, "chunk"))))
			}
			index := hashOf(fmt.Sprint("index", i))
			indexes[index] = chunks
			r := planRemoval(record, chunks, index, read)
			g.Expect(len(r.blobs)).To(BeNumerically("<=", maxRemovals))
			for _, h := range chunks {
				stored[h] = true
			}
			for _, h := range r.blobs {
				delete(stored, h)
			}
			record = headRecord{Generation: record.Generation + 1, Index: index, History: r.history, Cursor: r.cursor}
			live = append(live, chunks)
			for _, kept := range live[max(0, len(live)-1-keepGenerations):] {
				for _, h := range kept {
					g.Expect(stored[h]).To(BeTrue())
				}
			}
			g.Expect(len(record.History)).To(BeNumerically("<=", keepGenerations+25))
			back, ok := record.indexAt(record.Generation)
			g.Expect(ok && back == index).To(BeTrue())
		}
		// Once no new chunks are added, all unused chunks are removed.
		last := live[len(live)-1]
		for i := range 200 {
			index := hashOf(fmt.Sprint("same", i))
			indexes[index] = last
			r := planRemoval(record, last, index, read)
			for _, h := range r.blobs {
				delete(stored, h)
			}
			record = headRecord{Generation: record.Generation + 1, Index: index, History: r.history, Cursor: r.cursor}
		}
		used := map[Hash]bool{}
		for _, h := range last {
			used[h] = true
		}
		g.Expect(len(record.History)).To(BeNumerically("<=", keepGenerations+1))
		for h := range stored {
			g.Expect(used[h]).To(BeTrue())
		}
	})
}
