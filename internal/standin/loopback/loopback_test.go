package loopback

import "testing"

// ephemeral is the first port that Linux gives to sockets that ask for any.
const ephemeral = 32768

// TestPortsAreReserved: now and then a balancer did not start, since another
// socket of the machine had got the port that had been found free for it (log:
// "address already in use"; test: "not within 30s: balancer ready"). Ports that
// the kernel may give to any socket can't be reserved by looking.
func TestPortsAreReserved(t *testing.T) {
	owners := make(map[uint16]byte)
	for n := first; n < first+count; n++ {
		w := &Network{n: byte(n)}
		for i := range portsPerNetwork {
			port := w.Port(i)
			if port >= ephemeral {
				t.Fatalf("network %d: port %d may be given to any socket", n, port)
			}
			if other, taken := owners[port]; taken {
				t.Fatalf("port %d belongs to networks %d and %d", port, other, n)
			}
			owners[port] = w.n
		}
	}
}
