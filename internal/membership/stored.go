package membership

// EpochKey is the store's key of the epoch, for transactions that must not span a change of the epoch.
const EpochKey = epochKey

// DecodeEpochNumber returns the epoch's number from the stored value. The error is *RecordError.
func DecodeEpochNumber(value []byte) (uint64, error) {
	r, err := unmarshalRecord(value)
	return r.Number, err
}
