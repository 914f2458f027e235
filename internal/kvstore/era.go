package kvstore

const (
	// revisionBits is the number of low bits of a revision that the store has assigned itself. With it, revisions of the
	// first 8191 eras can be represented exactly in JSON.
	revisionBits = 40
	// leaseBits is the same for lease ids, which a store may choose from all integers that JSON represents exactly.
	leaseBits = 53
)

// A store that may be restored from an older copy assigns revisions and lease ids again. Its adapter adds the era, which
// rises with each restore, in the upper bits, so that revisions never go back and no number occurs twice. Stores that
// are never restored stay in era 0.

// InEra adds an era to a revision of the store. Zero stays zero, because it stands for none.
func InEra(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<revisionBits | number
}

// Era returns the era of a revision, 0 for none.
func Era(number int64) int64 { return number >> revisionBits }

// WithoutEra returns a revision as the store has assigned it.
func WithoutEra(number int64) int64 { return number & (1<<revisionBits - 1) }

// LeaseInEra adds an era to a lease id of the store. Zero stays zero, because it stands for none.
func LeaseInEra(era, id int64) LeaseID {
	if id == 0 {
		return 0
	}
	return LeaseID(era<<leaseBits | id)
}

// LeaseEra returns the era of a lease id, 0 for none.
func LeaseEra(id LeaseID) int64 { return int64(id) >> leaseBits }

// LeaseWithoutEra returns a lease id as the store has assigned it.
func LeaseWithoutEra(id LeaseID) int64 { return int64(id) & (1<<leaseBits - 1) }
