package loopback

import "testing"

// ephemeral is the first port of the ephemeral port range of Linux.
const ephemeral = 32768

// TestPortsAreReserved guards against a balancer that fails to start because the kernel
// has assigned its port to another socket after the port was found free (log: "address
// already in use"; test: "not within 30s: balancer ready"). Ports must therefore be
// outside the ephemeral range and belong to one network each.
func TestPortsAreReserved(t *testing.T) {
	owners := make(map[uint16]byte)
	for n := first; n < first+count; n++ {
		w := &Network{n: byte(n)}
		for i := range portsPerNetwork {
			port := w.Port(i)
			if port >= ephemeral {
				t.Fatalf("network %d: port %d is in the ephemeral range", n, port)
			}
			if other, taken := owners[port]; taken {
				t.Fatalf("port %d belongs to networks %d and %d", port, other, n)
			}
			owners[port] = w.n
		}
	}
}
