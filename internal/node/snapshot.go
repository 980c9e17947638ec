package node

import (
	"encoding/json"
	"net/http"

	"github.com/hemlockscale/hemlockscale/flow"
)

// SnapshotPath is the admin page on which a process tells what it believes.
const SnapshotPath = "/beliefs"

// Snapshot is the answer of the page. One of the two parts is set.
type Snapshot struct {
	VM       string                 `json:"vm"`
	Role     Role                   `json:"role"`
	Zone     string                 `json:"zone"`
	Balancer *flow.DirectorSnapshot `json:"balancer,omitempty"`
	Agent    *flow.GateSnapshot     `json:"agent,omitempty"`
}

// ServeSnapshot serves what tell returns.
func ServeSnapshot(tell func() Snapshot) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.Marshal(tell())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
	}
}
