// Package catalogue holds the operators' catalogue: its entries, the rules
// that an edit must meet, and the revisions by which nodes agree on what is
// in force.
package catalogue

import (
	"net/netip"
	"time"
)

// Class is the class of traffic of an entry. It decides how the agent treats
// requests that name no class of their own.
type Class string

// The classes of traffic that an entry may name.
const (
	ClassInteractive Class = "interactive" // short requests, answered in milliseconds
	ClassStream      Class = "stream"      // long flows such as a stock feed
	ClassDownload    Class = "download"    // large bodies such as packages and scans
)

// Limits bounds what one agent admits towards its backend server.
// A zero field means the default named beside it.
type Limits struct {
	Connections int           `yaml:"connections" json:"connections" cbor:"1,keyasint,omitempty"` // open caller connections; default DefaultConnections
	Slots       int           `yaml:"slots" json:"slots" cbor:"2,keyasint,omitempty"`             // requests at work at once; default DefaultSlots
	Queue       int           `yaml:"queue" json:"queue" cbor:"3,keyasint,omitempty"`             // requests that may wait for a slot; default DefaultQueue
	Rate        int           `yaml:"rate" json:"rate" cbor:"4,keyasint,omitempty"`               // requests a second; 0 is no limit
	Deadline    time.Duration `yaml:"deadline" json:"deadline" cbor:"5,keyasint,omitempty"`       // for a request that brings none; default DefaultDeadline
}

// Defaults of the limits that an entry leaves out.
const (
	DefaultConnections = 2000
	DefaultSlots       = 5
	DefaultQueue       = 50
	DefaultDeadline    = 10 * time.Second
)

// Entry is one service in the catalogue. Its identity is Service.
type Entry struct {
	Service   string       `yaml:"service" json:"service" cbor:"1,keyasint"`
	Owner     string       `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	Addresses []netip.Addr `yaml:"addresses" json:"addresses" cbor:"3,keyasint"` // IPv4 service addresses, no two entries share one
	Class     Class        `yaml:"class" json:"class" cbor:"4,keyasint"`
	Limits    Limits       `yaml:"limits" json:"limits" cbor:"5,keyasint"`

	// Number is the service's identity inside connection IDs. The catalogue
	// allots it when the service first appears and never uses it again.
	Number uint32 `yaml:"-" json:"number" cbor:"6,keyasint"`
	// Version counts the accepted edits of this entry, from 1.
	Version uint64 `yaml:"-" json:"version" cbor:"7,keyasint"`
}
