package node

import (
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// FlowField returns the log field that identifies a flow.
func FlowField(k flow.Key) zap.Field {
	return zap.String("flow", k.CallerAddr().String()+">"+k.ServiceAddr().String())
}

// VersionField returns a log field with a version of the store.
func VersionField(name string, version uint64) zap.Field {
	return zap.String(name, store.FormatVersion(version))
}
