package catalogue

// EncodeEntry returns an entry as encoded in a snapshot. It is for benchmarks in
// package catalogue_test, which is separate because it imports catalogue/lab.
func EncodeEntry(e Entry) []byte { return encode(e) }
