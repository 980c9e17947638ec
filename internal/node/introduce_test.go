package node

import (
	"strings"
	"testing"
)

const soundPeer = `{"role":"agent","addr":"10.1.0.22:8492","zone":"qro-a","service":"huvo11a"}`

func TestPeerIsRead(t *testing.T) {
	p, err := parsePeer(PeersPrefix+"10.1.0.22:8492", []byte(soundPeer))
	if err != nil || p.Role != RoleAgent || p.Service != "huvo11a" {
		t.Errorf("read %+v, %v", p, err)
	}
}

// Symptom: a process stops with a panic, or balancers ask an address that is no
// agent's for every flow that they look for.
// Sequence: some other program writes under the prefix of the processes' keys.
// Cause: whatever could be decoded was taken for a process.
func TestKeysOfOtherWriters(t *testing.T) {
	for _, c := range []struct{ name, key, data string }{
		{"no JSON", "10.1.0.22:8492", `?`},
		{"empty", "10.1.0.22:8492", `{}`},
		{"a list", "10.1.0.22:8492", `[]`},
		{"unknown role", "10.1.0.22:8492", strings.Replace(soundPeer, `"agent"`, `"clerk"`, 1)},
		{"role of another type", "10.1.0.22:8492", strings.Replace(soundPeer, `"agent"`, `7`, 1)},
		{"no address", "10.1.0.22:8492", strings.Replace(soundPeer, `10.1.0.22:8492`, ``, 1)},
		{"no port", "10.1.0.22:0", strings.Replace(soundPeer, `:8492`, `:0`, 1)},
		{"IPv6", "[::1]:8492", strings.Replace(soundPeer, `10.1.0.22`, `[::1]`, 1)},
		{"key of another address", "10.1.0.23:8492", soundPeer},
		{"no service", "10.1.0.22:8492", strings.Replace(soundPeer, `huvo11a`, ``, 1)},
		{"no zone", "10.1.0.22:8492", strings.Replace(soundPeer, `qro-a`, ``, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if p, err := parsePeer(PeersPrefix+c.key, []byte(c.data)); err == nil {
				t.Errorf("read %+v", p)
			}
		})
	}
}

// Whatever a key holds, one that is read is a process that can be reached.
func FuzzPeer(f *testing.F) {
	f.Add("10.1.0.22:8492", []byte(soundPeer))
	f.Add("", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		p, err := parsePeer(PeersPrefix+key, data)
		if err != nil {
			return
		}
		if !p.Addr.Addr().Is4() || p.Addr.Port() == 0 || p.key() != PeersPrefix+key {
			t.Errorf("read %+v", p)
		}
	})
}
