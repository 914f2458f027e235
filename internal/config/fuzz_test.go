package config

import (
	"errors"
	"reflect"
	"testing"

	"github.com/boragecourse/boragecourse/internal/rules"
)

const fuzzRules = "zone z region=r # a: b\nworkspace w rate=1/s burst=1 # a: b\n"

func expectCorrupt(t *testing.T, err error) {
	t.Helper()
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		t.Fatalf("untyped error %v", err)
	}
}

// Guards against accepting a corrupt head, and against panics in indexAt and planRemoval for an accepted one.
func FuzzHead(f *testing.F) {
	valid, err := headRecord{Generation: 3, Index: hashOf("c"), History: []Hash{hashOf("a"), hashOf("b")}, Cursor: 1}.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte(`{"generation":1}`))
	f.Add([]byte(`{"generation":1,"index":"` + hashOf("a").String() + `","cursor":-1}`))
	f.Add([]byte(`{"generation":1,"index":"` + hashOf("a").String() + `","cursor":9,"history":["` + hashOf("b").String() + `"]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeHead(value)
		if err != nil {
			expectCorrupt(t, err)
			return
		}
		if len(value) > 0 && r.Generation == 0 {
			t.Fatalf("head %q was accepted without a generation", value)
		}
		for _, g := range []uint64{0, 1, r.Generation - 1, r.Generation, r.Generation + 1} {
			r.indexAt(g)
		}
		for range 3 {
			next := planRemoval(r, nil, hashOf("next"), func(Hash) ([]Hash, bool) { return []Hash{hashOf("x"), hashOf("y")}, true })
			r.History, r.Cursor = next.history, next.cursor
		}
	})
}

// Guards against panics on corrupt chunks and indexes, and against compiled rules that differ from those of the file's
// text, which operators see.
func FuzzChunks(f *testing.F) {
	f.Add(fuzzRules, "key w sha256="+hashOf("k").String()+" id=k # a: b\n", []byte{0, 1})
	f.Add("zone z region=r # a: b", "zone y region=r # a: b", []byte{0, 1})
	f.Add(fuzzRules, "", []byte{0, 0, 1})
	f.Add("zone z region=r # a: b\r\n\n", "# note\n", []byte{1, 0, 1})
	f.Add("zone", "", []byte{0})
	f.Fuzz(func(t *testing.T, first, second string, order []byte) {
		b := newBlobCache()
		if err := b.add(hashOf(first), second); first != second {
			expectCorrupt(t, err)
		}
		var hashes []Hash
		for _, text := range []string{first, second} {
			if err := b.add(hashOf(text), text); err != nil {
				expectCorrupt(t, err)
				return
			}
			hashes = append(hashes, hashOf(text))
		}
		var chunks []Hash
		for _, i := range order {
			chunks = append(chunks, hashes[int(i)%len(hashes)])
		}
		index := encodeIndex(chunks)
		if err := b.addIndex(hashOf(index), index); err != nil {
			t.Fatal(err)
		}
		all, err := b.compile(chunks)
		if err != nil {
			expectCorrupt(t, err)
			return
		}
		file, err := rules.Parse(rulesName, []byte(b.text(chunks)))
		if err != nil || !reflect.DeepEqual(file.Rules(), all) && len(file.Rules())+len(all) > 0 {
			t.Fatalf("%q compiled to rules that differ from the parsed text: %v", b.text(chunks), err)
		}
	})
}

// Guards against decoding a corrupt index as a list of chunks.
func FuzzIndex(f *testing.F) {
	valid := encodeIndex([]Hash{hashOf("a"), hashOf("b")})
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(indexHeader)
	f.Add("")
	f.Fuzz(func(t *testing.T, data string) {
		chunks, err := decodeIndex(data)
		if err != nil {
			expectCorrupt(t, err)
		} else if encodeIndex(chunks) != data {
			t.Fatalf("index %q was decoded as %v", data, chunks)
		}
	})
}
