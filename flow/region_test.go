package flow

import (
	"testing"
	"time"
)

// Guards against a request that runs in a region where its data must not go. A route
// names the regions whose servers may get its requests; the least loaded agents of the
// service are in other regions, or in zones of no known region.
func TestRouteKeepsToItsRegions(t *testing.T) {
	north, south := ZoneID("north"), ZoneID("south")
	for _, c := range []struct {
		name    string
		regions []uint32
		zones   []string // of the agents
		want    int      // agent that is offered the flow, negative for none
	}{
		{"any region", nil, []string{"n1"}, 0},
		{"only the second is in the region", []uint32{south}, []string{"n1", "s1"}, 1},
		{"several regions", []uint32{south, north}, []string{"n1"}, 0},
		{"none is in the region", []uint32{south}, []string{"n1", "n2"}, -1},
		{"region of no zone", []uint32{ZoneID("moon")}, []string{"n1", "s1"}, -1},
		{"zone of no region", []uint32{south}, []string{"x"}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := NewDirector(now, DirectorConfig{Zone: "n1", Regions: map[string]string{"n1": "north", "n2": "north", "s1": "south"}}, nil)
			routes := testRoutes(1)
			route := routes.byAddr[serviceAddr(listingPort)]
			route.Regions = c.regions
			routes.byAddr[serviceAddr(listingPort)] = route
			d.SetRoutes(routes)
			for n, zone := range c.zones {
				d.FromAgent(now, agentAddr(n), &Message{Kind: Report, State: ServerReady, Service: listing, Zone: ZoneID(zone)}, nil, nil)
			}
			d.Effects()
			d.FromCaller(now, Segment{Key: Key{CallerPort: 7, Service: [4]byte{198, 18, 0, 1}, ServicePort: listingPort}, Seq: 9, Syn: true}, []byte{1})
			offered, reset := -1, false
			for _, e := range d.Effects() {
				reset = reset || e.Kind == SendReset
				for n := range c.zones {
					if e.Message.Kind == Open && e.To == agentAddr(n) {
						offered = n
					}
				}
			}
			if offered != c.want || reset != (c.want < 0) {
				t.Errorf("offered to %d, want %d; refused at once: %v", offered, c.want, reset)
			}
		})
	}
}
