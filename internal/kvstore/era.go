package kvstore

// revisionBits is the number of low bits of a revision or lease id that the store has assigned itself. With it, numbers
// of the first 8191 eras can be represented exactly in JSON.
const revisionBits = 40

// A store that may be restored from an older copy assigns revisions and lease ids again. Its adapter adds the era, which
// rises with each restore, in the upper bits, so that revisions never go back and no number occurs twice. Stores that
// are never restored stay in era 0.

// InEra adds an era to a revision or lease id of the store. Zero stays zero, because it stands for none.
func InEra(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<revisionBits | number
}

// Era returns the era of a revision or lease id, 0 for none.
func Era(number int64) int64 { return number >> revisionBits }

// WithoutEra returns a revision or lease id as the store has assigned it.
func WithoutEra(number int64) int64 { return number & (1<<revisionBits - 1) }
