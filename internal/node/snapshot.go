package node

import (
	"encoding/json"
	"net/http"

	"github.com/hemlockscale/hemlockscale/flow"
)

// SnapshotPath is the path of the admin page that shows a process's state.
const SnapshotPath = "/beliefs"

// Snapshot is the state of a process as served under SnapshotPath. Either Balancer or Agent
// is set.
type Snapshot struct {
	VM       string                 `json:"vm"`
	Role     Role                   `json:"role"`
	Zone     string                 `json:"zone"`
	Balancer *flow.DirectorSnapshot `json:"balancer,omitempty"`
	Agent    *flow.GateSnapshot     `json:"agent,omitempty"`
}

// ServeSnapshot returns a handler that serves the result of snapshot as JSON.
func ServeSnapshot(snapshot func() Snapshot) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.Marshal(snapshot())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
	}
}
