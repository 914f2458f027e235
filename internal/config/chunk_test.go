package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// large returns a file of the target size: the given number of workspaces with one key each.
func large(workspaces int) string {
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

// Guards against a change of one line that rewrites more than its chunk and a neighbor, against lost bytes, and
// against chunks above the platform's limit.
func TestSplitProperty(t *testing.T) {
	lines := strings.SplitAfter(large(2000), "\n")
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

// Guards against oversized chunks, tiny ones, and bytes that get lost, in files without the usual lines.
func TestSplitUnusualText(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "x", "\n", strings.Repeat("\n", 100_000), strings.Repeat("# same line\n", 100_000),
		strings.Repeat("x", 2*maxChunk) + "\n" + strings.Repeat("# y\n", 10)} {
		chunks := split(text)
		g.Expect(strings.Join(chunks, "")).To(Equal(text))
		g.Expect(len(chunks)).To(BeNumerically("<=", len(text)/minChunk+1))
	}
}

// Guards against line numbers in charges that are those of an earlier file, and against snapshots that change
// when a later one is compiled.
func TestIncrementalCompileEqualsReadingTheFile(t *testing.T) {
	g := NewWithT(t)
	b := newBlobs()
	var first []rules.Rule
	for i, text := range []string{large(1000), "# one more line\n" + large(1000), large(900)} {
		cand, err := prepare(text, b.copyOf)
		g.Expect(err).NotTo(HaveOccurred())
		b.adopt(cand)
		got, err := b.compile(cand.chunks)
		g.Expect(err).NotTo(HaveOccurred())
		b.installed(cand.index)
		f, err := rules.Read("rules", []byte(text))
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

// Guards against data that is accepted although it does not match its hash or is no index.
func TestCorruptBlobsAreRefused(t *testing.T) {
	g := NewWithT(t)
	b := newBlobs()
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

// Guards against the removal of chunks that a kept generation uses, and against removals beyond the bound of a
// transaction or that never finish.
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
		// Without further new chunks everything that is not in use goes away.
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
