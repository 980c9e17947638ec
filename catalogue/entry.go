// Package catalogue implements the operators' catalogue of services: its
// entries, the validation of edits, its storage in a key-value store, and its
// replication between nodes by numbered revisions.
package catalogue

import (
	"net/netip"
	"time"
)

// Class is the traffic class of an entry. The agent uses it for requests that
// name no class of their own.
type Class string

// The classes of traffic that an entry may name.
const (
	ClassInteractive Class = "interactive" // short requests, answered in milliseconds
	ClassStream      Class = "stream"      // long flows, such as a stock feed
	ClassDownload    Class = "download"    // large bodies, such as packages and scans
)

// Limits holds the limits of what one agent admits to its backend server. A zero
// field means its default.
type Limits struct {
	Connections int           `yaml:"connections" json:"connections" cbor:"1,keyasint,omitempty"` // open caller connections; default DefaultConnections
	Slots       int           `yaml:"slots" json:"slots" cbor:"2,keyasint,omitempty"`             // concurrent requests; default DefaultSlots
	Queue       int           `yaml:"queue" json:"queue" cbor:"3,keyasint,omitempty"`             // requests that may wait for a slot; default DefaultQueue
	Rate        int           `yaml:"rate" json:"rate" cbor:"4,keyasint,omitempty"`               // requests per second; 0 is no limit
	Deadline    time.Duration `yaml:"deadline" json:"deadline" cbor:"5,keyasint,omitempty"`       // for a request without a deadline; default DefaultDeadline
}

// Defaults of the limits of an entry.
const (
	DefaultConnections = 2000
	DefaultSlots       = 5
	DefaultQueue       = 50
	DefaultDeadline    = 10 * time.Second
)

// Entry is one service in the catalogue, identified by Service.
type Entry struct {
	Service   string       `yaml:"service" json:"service" cbor:"1,keyasint"`
	Owner     string       `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	Addresses []netip.Addr `yaml:"addresses" json:"addresses" cbor:"3,keyasint"` // IPv4 service addresses; an address belongs to at most one entry
	Class     Class        `yaml:"class" json:"class" cbor:"4,keyasint"`
	Limits    Limits       `yaml:"limits" json:"limits" cbor:"5,keyasint"`

	// Number identifies the service in connection IDs. It is assigned when the
	// entry is created and never reused.
	Number uint32 `yaml:"-" json:"number" cbor:"6,keyasint"`
	// Version is the number of accepted edits of this entry, from 1.
	Version uint64 `yaml:"-" json:"version" cbor:"7,keyasint"`
}
