package store

import (
	"fmt"
	"strconv"
	"strings"
)

// Era counts how often the store has been restored from an older copy. At each restore the
// revisions since the copy are reissued for other writes, and the leases granted since the
// copy are lost. 0 is the era of a store that does not report one.
type Era uint64

const (
	// revisionBits is the number of low bits of a version that hold the revision. They last
	// for fifty years at 10,000 changes per second. The bits above hold the era.
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// NewEra returns the era that the store reports as n. Only the low 20 bits of n are used.
func NewEra(n uint64) Era { return Era(n & maxEra) }

// VersionAt returns the version of a write at a revision of an era. It is above every version
// of an earlier era. If versions were compared by revision alone, writes after a restore would
// count as older than the known values and would not take effect until the revisions had
// caught up.
func VersionAt(era Era, revision uint64) uint64 {
	return uint64(era)<<revisionBits | min(revision, maxRevision)
}

// EraOf returns the era of a version.
func EraOf(version uint64) Era { return Era(version >> revisionBits) }

// RevisionOf returns the store's revision of a version.
func RevisionOf(version uint64) uint64 { return version & maxRevision }

// FormatVersion returns a version in readable form: "ERA.REVISION", or only the revision if
// the era is 0.
func FormatVersion(version uint64) string {
	revision := strconv.FormatUint(RevisionOf(version), 10)
	if era := EraOf(version); era != 0 {
		return fmt.Sprintf("%d.%s", era, revision)
	}
	return revision
}

// LeaseAt returns the ID of the lease with a number that the store reported in an era.
func LeaseAt(era Era, number uint64) LeaseID {
	return LeaseID(fmt.Sprintf("%d.%d", era, number))
}

// Split returns the era and the number of a lease ID from LeaseAt; ok is false for any other
// ID.
func (id LeaseID) Split() (era Era, number uint64, ok bool) {
	eraText, numberText, _ := strings.Cut(string(id), ".")
	e, errEra := strconv.ParseUint(eraText, 10, 64)
	number, errNumber := strconv.ParseUint(numberText, 10, 64)
	return NewEra(e), number, errEra == nil && errNumber == nil
}
