package store

// Paths and query parameters of the HTTP/1.1 protocol. Every call is a POST with a JSON body,
// except Get and Watch, which are a GET with ParamKey and, for Watch, ParamAfter.
const (
	PathValue  = "/v1/value"
	PathWatch  = "/v1/watch"
	PathSwap   = "/v1/swap"
	PathDelete = "/v1/delete"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"

	ParamKey   = "key"
	ParamAfter = "after"
)

// ValueBody is the response to Get and Watch.
type ValueBody struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// SwapBody is the request of a compare-and-swap or a delete. Expect is the expected version,
// as in Interface.
type SwapBody struct {
	Key    string  `json:"key"`
	Expect uint64  `json:"expect"`
	Data   []byte  `json:"data,omitempty"`
	Lease  LeaseID `json:"lease,omitempty"`
}

// VersionBody is the response to a compare-and-swap.
type VersionBody struct {
	Version uint64 `json:"version"`
}

// LeaseBody is the request and the response of the lease calls. TTL is in milliseconds.
type LeaseBody struct {
	Lease LeaseID `json:"lease,omitempty"`
	TTL   int64   `json:"ttl_ms,omitempty"`
}

// Codes of ErrorBody.
const (
	CodeNotFound     = "not_found"
	CodeConflict     = "conflict"
	CodeLeaseExpired = "lease_expired"
	CodeTooLarge     = "too_large"
	CodeTimeout      = "timeout"
	CodeNotRun       = "not_run" // the call had no effect
	CodeInvalid      = "invalid"
)

// ErrorBody is the response to a failed call. Current is the key's version, set for
// CodeConflict.
type ErrorBody struct {
	Code    string `json:"code"`
	Current uint64 `json:"current,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
