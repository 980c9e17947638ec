package store

import "testing"

func TestVersionsOfLaterErasAreHigher(t *testing.T) {
	for _, c := range []struct{ lower, higher uint64 }{
		{VersionAt(0, 1), VersionAt(0, 2)},
		{VersionAt(0, 1<<40), VersionAt(1, 1)},
		{VersionAt(1, 25), VersionAt(2, 22)},
		{VersionAt(7, maxRevision), VersionAt(8, 0)},
		{VersionAt(NewEra(maxEra-1), 5), VersionAt(NewEra(maxEra), 4)},
	} {
		if c.lower >= c.higher {
			t.Errorf("version %s is not below %s", FormatVersion(c.lower), FormatVersion(c.higher))
		}
	}
}

func TestVersionKeepsEraAndRevision(t *testing.T) {
	for _, c := range []struct {
		era      Era
		revision uint64
		text     string
	}{{0, 0, "0"}, {0, 25, "25"}, {3, 0, "3.0"}, {3, 25, "3.25"}, {maxEra, maxRevision, "1048575.17592186044415"}} {
		v := VersionAt(c.era, c.revision)
		if EraOf(v) != c.era || RevisionOf(v) != c.revision || FormatVersion(v) != c.text {
			t.Errorf("era %d and revision %d decoded as %d and %d, formatted as %q", c.era, c.revision, EraOf(v), RevisionOf(v), FormatVersion(v))
		}
	}
}

// Guards against a revision above maxRevision that changes the era's bits of a version.
func TestRevisionOutOfRange(t *testing.T) {
	if v := VersionAt(1, maxRevision+1); EraOf(v) != 1 || RevisionOf(v) != maxRevision {
		t.Errorf("revision out of range gives version %s", FormatVersion(v))
	}
}
