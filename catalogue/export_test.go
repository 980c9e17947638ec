package catalogue

// EncodeEntry is an entry as it stands in a snapshot, for benchmarks in package
// catalogue_test, which use an exchange that imports this package.
func EncodeEntry(e Entry) []byte { return encode(e) }
