package membership

// EpochKey is the store key of the epoch, for transactions that must fail if the epoch has changed.
const EpochKey = epochKey

// DecodeEpochNumber returns the epoch number from a value stored at EpochKey. It returns a *RecordError if the value
// cannot be decoded.
func DecodeEpochNumber(value []byte) (uint64, error) {
	r, err := unmarshalRecord(value)
	return r.Number, err
}
