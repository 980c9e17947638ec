package membership

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// bulkZone holds the records of one zone; the zone and region names are stored once.
type bulkZone struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Region  string
	Records []Record
}

// maxBulkRecords bounds the records that DecodeAll accepts.
const maxBulkRecords = 1 << 20

var bulkDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxBulkRecords,
		MaxNestedLevels:  6,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}()

// EncodeAll returns the member list without dead records in CBOR, for a bulk
// transfer. A *MessageError means a bug in this package.
func (m *Machine) EncodeAll() ([]byte, error) {
	zones := make([]bulkZone, len(m.members.zones))
	for z := range zones {
		zones[z].Zone, zones[z].Region = m.members.zones[z].name, m.members.zones[z].region
		zones[z].Records = make([]Record, 0, m.members.zones[z].cells)
	}
	for i := range m.members.cells {
		c := &m.members.cells[i]
		if c.key == 0 || !c.digested() {
			continue
		}
		rec := m.members.record(c)
		rec.Zone, rec.Region = "", ""
		zones[c.zone].Records = append(zones[c.zone].Records, rec)
	}
	b, err := cbor.Marshal(zones)
	if err != nil {
		return nil, &MessageError{err.Error(), "report a bug"}
	}
	return b, nil
}

// DecodeAll decodes the result of EncodeAll and checks every record. It returns
// a *MessageError for invalid data.
func DecodeAll(b []byte) ([]Record, error) {
	var zones []bulkZone
	if err := bulkDecMode.Unmarshal(b, &zones); err != nil {
		return nil, &MessageError{err.Error(), "load the member list from another balancer"}
	}
	var all []Record
	for z := range zones {
		for i := range zones[z].Records {
			rec := &zones[z].Records[i]
			rec.Zone, rec.Region = zones[z].Zone, zones[z].Region
			if err := rec.Check(); err != nil {
				return nil, &MessageError{fmt.Sprintf("record %d: %v", len(all), err), "load the member list from another balancer"}
			}
			all = append(all, *rec)
		}
	}
	return all, nil
}

// MergeAll merges the records of a bulk transfer. They are not gossiped, since the
// rest of the fleet has them.
func (m *Machine) MergeAll(now time.Time, list []Record) {
	for i := range list {
		m.merge(now, &list[i], notGossiped)
	}
}
