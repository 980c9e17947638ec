package membership

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// bulkZone is the records of one zone, with their labels given once.
type bulkZone struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Region  string
	Records []Record
}

// maxBulkRecords bounds what DecodeAll accepts from one peer.
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

// EncodeAll returns the whole roster for a bulk transfer, without the dead.
func (m *Machine) EncodeAll() ([]byte, error) {
	zones := make([]bulkZone, len(m.roster.zones))
	for z := range zones {
		zones[z].Zone, zones[z].Region = m.roster.zones[z].name, m.roster.zones[z].region
		zones[z].Records = make([]Record, 0, m.roster.zones[z].cells)
	}
	for i := range m.roster.cells {
		c := &m.roster.cells[i]
		if c.key == 0 || !c.digested() {
			continue
		}
		rec := m.roster.record(c)
		rec.Zone, rec.Region = "", ""
		zones[c.zone].Records = append(zones[c.zone].Records, rec)
	}
	b, err := cbor.Marshal(zones)
	if err != nil {
		return nil, &MessageError{err.Error(), "report a bug"}
	}
	return b, nil
}

// DecodeAll reads what EncodeAll wrote. It checks every record.
func DecodeAll(b []byte) ([]Record, error) {
	var zones []bulkZone
	if err := bulkDecMode.Unmarshal(b, &zones); err != nil {
		return nil, &MessageError{err.Error(), "load the roster from another balancer"}
	}
	var all []Record
	for z := range zones {
		for i := range zones[z].Records {
			rec := &zones[z].Records[i]
			rec.Zone, rec.Region = zones[z].Zone, zones[z].Region
			if err := rec.Check(); err != nil {
				return nil, &MessageError{fmt.Sprintf("record %d: %v", len(all), err), "load the roster from another balancer"}
			}
			all = append(all, *rec)
		}
	}
	return all, nil
}

// MergeAll takes in the records of a bulk transfer. They aren't passed on by
// gossip: the rest of the fleet has them.
func (m *Machine) MergeAll(now time.Time, list []Record) {
	for i := range list {
		m.merge(now, &list[i], notGossiped)
	}
}
