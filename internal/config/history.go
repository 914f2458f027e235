package config

import "slices"

const (
	// keepGenerations is the number of earlier generations whose chunks stay in the store, for daemons that are
	// still fetching them.
	keepGenerations = 4
	// maxRemovals bounds the deletions in one commit. The store accepts at most 128 operations per transaction, and
	// the commit also writes chunks, the index and the head.
	maxRemovals = 64
	// maxHistory bounds the history, and with it the size of the head record. If removal cannot keep up, the oldest
	// index is dropped and its chunks stay in the store.
	maxHistory = 64
)

// removal lists the blobs that a commit deletes and the history and cursor that the new head record gets.
type removal struct {
	history []Hash
	cursor  int
	blobs   []Hash
}

// planRemoval decides which chunks the commit after prev deletes. Deletion is safe because it is part of the commit's
// transaction: a concurrent change based on an older head fails its compare-and-swap, and a change based on the new
// head uploads its chunks after the deletion. read returns the chunks of an index, or false if the index cannot be
// read at the moment.
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
