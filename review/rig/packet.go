package rig

import (
	"net/netip"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// ackFlag marks every packet but the first of a flow.
const ackFlag = platform.FlagAck

// resetWindow is the greatest distance of a valid reset's sequence number from the
// consumer's last acknowledgement, in bytes.
const resetWindow = 76800

// flowKey identifies a flow by its two ends.
type flowKey struct{ consumer, service netip.AddrPort }
