package config

import "slices"

const (
	// keepGenerations is how many earlier generations keep their chunks in the store, for daemons that are
	// still fetching them.
	keepGenerations = 4
	// maxRemovals bounds the deletions of one commit. The store takes at most 128 operations in a
	// transaction, and the commit also writes chunks, the index and the head.
	maxRemovals = 64
	// maxHistory drops the oldest index without removing its chunks when removal cannot keep up, so that the
	// head stays small.
	maxHistory = 64
)

// removal is what a commit deletes and the history that remains.
type removal struct {
	history []Hash
	cursor  int
	blobs   []Hash
}

// planRemoval decides which chunks the commit that follows prev removes. Deleting within the commit makes it
// safe: a change based on an older head fails its compare-and-swap, and one based on the new head uploads what it
// needs after the deletion. read returns the chunks of an index, or false if it is not available now.
func planRemoval(prev headRecord, next []Hash, nextIndex Hash, read func(Hash) ([]Hash, bool)) removal {
	r := removal{history: slices.Clone(prev.History), cursor: prev.Cursor}
	if prev.Generation > 0 {
		r.history = append(r.history, prev.Index)
	}
	if len(r.history) > maxHistory {
		r.history, r.cursor = r.history[1:], 0
	}
	if len(r.history) <= keepGenerations {
		return r
	}
	oldest, ok := read(r.history[0])
	if !ok {
		return r
	}
	used := map[Hash]bool{nextIndex: true}
	for _, h := range next {
		used[h] = true
	}
	for _, index := range r.history[1:] {
		chunks, ok := read(index)
		if !ok {
			return r
		}
		used[index] = true
		for _, h := range chunks {
			used[h] = true
		}
	}
	for r.cursor < len(oldest) && len(r.blobs) < maxRemovals-1 {
		if h := oldest[r.cursor]; !used[h] && !slices.Contains(r.blobs, h) {
			r.blobs = append(r.blobs, h)
		}
		r.cursor++
	}
	if r.cursor == len(oldest) {
		if !used[r.history[0]] {
			r.blobs = append(r.blobs, r.history[0])
		}
		r.history, r.cursor = r.history[1:], 0
	}
	return r
}
