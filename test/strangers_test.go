package test

import (
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hemlockscale/hemlockscale/internal/bulk"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/internal/standin/pki"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

const (
	strangersKey = "1:ffffffffffffffffffffffffffffffff"
	fleetSecret  = "000102030405060708090a0b0c0d0e0f"
)

// strangersDatagrams returns what a process without the fleet key may send to
// a port between the system's processes. control is set for those that look
// like control datagrams.
func strangersDatagrams(t *testing.T) (data, control [][]byte) {
	t.Helper()
	ring, err := fleetkey.Parse(strangersKey)
	if err != nil {
		t.Fatal(err)
	}
	codec, err := frame.NewCodec(ring)
	if err != nil {
		t.Fatal(err)
	}
	box, err := seal.NewBox(ring)
	if err != nil {
		t.Fatal(err)
	}
	framed := make([]byte, frame.Len+100)
	some := netip.MustParseAddrPort("127.0.0.1:9")
	for _, kind := range []frame.Kind{frame.KindForward, frame.KindReturn} {
		codec.Put(framed, &frame.Header{Kind: kind, Service: 1, Caller: some, Address: some.Addr(), Via: some})
		data = append(data, append([]byte(nil), framed...))
	}
	data = append(data, []byte{9}, framed[:frame.Len-1], make([]byte, udp.MaxDatagram+100), shortHeader([17]byte{}))
	control = append(control, box.Seal(seal.TopicMembership, []byte("roster")), box.Seal(99, nil), []byte{byte(frame.KindControl)})
	return data, control
}

// TestStrangersAreDropped: symptom: a stranger on the network joins the fleet,
// sends packets in its name or stops it. Sequence: datagrams that were framed or
// sealed under another key, cut, oversize or empty ones, to the internal port of
// every process. Each is counted; calls go on.
func TestStrangersAreDropped(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	data, control := strangersDatagrams(t)
	type port struct {
		admin, role string
		addr        netip.AddrPort
	}
	var ports []port
	for _, b := range f.Balancers {
		ports = append(ports, port{b.Admin, "balancer", b.Internal})
	}
	for _, a := range f.Agents {
		ports = append(ports, port{a.Admin, "agent", a.Internal})
	}
	for _, p := range ports {
		strange, rejected := "hemlock_"+p.role+"_strange_datagrams_total", "hemlock_"+p.role+"_control_rejected_total"
		s, r := metric(t, p.admin, strange), metric(t, p.admin, rejected)
		for _, b := range data {
			sendTo(t, p.addr, b, packetsOfKind)
		}
		for _, b := range control {
			sendTo(t, p.addr, b, packetsOfKind)
		}
		counted(t, p.admin, strange, s, packetsOfKind*len(data))
		counted(t, p.admin, rejected, r, packetsOfKind*len(control))
	}
	serves(t, f, "listing")
	serves(t, f, "records")
}

// TestStrangersGetNoTransfer: a QUIC connection without the fleet's certificate
// gets no catalogue and no roster from a balancer.
func TestStrangersGetNoTransfer(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	authority, err := pki.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleet.Limit)
	defer cancel()
	ring, err := fleetkey.Parse(fleet.FleetKey)
	if err != nil {
		t.Fatal(err)
	}
	member, err := bulk.Listen(ring, netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer member.Close()
	for _, b := range f.Balancers {
		addr := netip.AddrPortFrom(b.Internal.Addr(), bulkPort(b.Internal))
		// What a process of the fleet gets is what strangers must not get.
		var roster []byte
		err := member.Fetch(ctx, addr, bulk.KindMemberList, nil, func(r io.Reader) (err error) {
			roster, err = io.ReadAll(r)
			return err
		})
		if err != nil || len(roster) == 0 {
			t.Fatalf("%s gave a process of the fleet %d bytes: %v", b.Name, len(roster), err)
		}
		for _, config := range strangersTLS(t, authority) {
			conn, err := quic.DialAddr(ctx, addr.String(), config, nil)
			if err != nil {
				continue // refused in the handshake
			}
			stream, err := conn.OpenStreamSync(ctx)
			if err == nil {
				stream.Write([]byte{byte(bulk.KindMemberList)})
				stream.Close()
				stream.SetReadDeadline(time.Now().Add(fleet.Limit))
				answer := make([]byte, 1)
				if n, _ := stream.Read(answer); n > 0 {
					t.Errorf("%s answered a stranger", b.Name)
				}
			}
			conn.CloseWithError(0, "")
		}
	}
	serves(t, f, "listing")
}

// TestSecretsStaySecret: neither the logs of a fleet at work nor -h nor the
// complaint about a wrong setting shows a key.
func TestSecretsStaySecret(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	serves(t, f, "listing")
	var processes []*fleet.Process
	for _, b := range f.Balancers {
		processes = append(processes, b.Process)
	}
	for _, a := range f.Agents {
		processes = append(processes, a.Process)
	}
	for _, p := range processes {
		mustHide(t, p.Name, p.Log())
	}
	for program, env := range map[string]map[string]string{"hemlock-balancer": f.Balancers[0].Env(), "hemlock-agent": f.Agents[0].Env()} {
		help := fleet.RunOnce(t, program, env, "-h")
		if help.Exit != 0 || !strings.Contains(help.Stdout, "-fleet-key") {
			t.Errorf("%s -h: %+v", program, help)
		}
		mustHide(t, program+" -h", help.Stdout+help.Stderr)
		wrong := fleet.RunOnce(t, program, env, "-admin", "nowhere")
		mustHide(t, program+" with a wrong setting", wrong.Stdout+wrong.Stderr)
	}
}

func mustHide(t *testing.T, where, text string) {
	t.Helper()
	if strings.Contains(text, fleetSecret) {
		t.Errorf("%s shows the fleet key", where)
	}
	if strings.Contains(text, "PRIVATE KEY") {
		t.Errorf("%s shows the certificate's key", where)
	}
}

// TestWrongSettings: a wrong, missing, unknown or misspelt setting ends a daemon
// before it starts, with exit code 2 and one line that names it.
func TestWrongSettings(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	for program, c := range map[string]struct {
		prefix string
		env    map[string]string
		wrong  map[string]string // setting to a value that can't be used
	}{
		"hemlock-balancer": {"HEMLOCK_BALANCER_", f.Balancers[0].Env(), map[string]string{
			"internal": "here", "public": "[::1]:443", "seeds": "10.0.0.1", "store": "", "zone": "", "linger": "3", "drain": "soon",
			"admin": "x:1", "fleet-key": "1:00", "log-level": "loud", "no-such-setting": "1",
		}},
		"hemlock-agent": {"HEMLOCK_AGENT_", f.Agents[0].Env(), map[string]string{
			"internal": "", "balancers": "a,b", "fleet-key": "300:000102030405060708090a0b0c0d0e0f", "backend": "ftp://x", "service": "", "zone": "",
			"tls-cert": "/no/such/file", "tls-key": "-----BEGIN NOTHING", "ramp": "x", "drain": "x", "admin": "1", "log-level": "loud", "no-such-setting": "1",
		}},
	} {
		for setting, value := range c.wrong {
			env := maps.Clone(c.env)
			env[c.prefix+strings.ToUpper(strings.ReplaceAll(setting, "-", "_"))] = value
			r := fleet.RunOnce(t, program, env)
			if r.Exit != 2 {
				t.Errorf("%s with %s=%q: exit code %d, want 2: %s", program, setting, value, r.Exit, r.Stderr)
				continue
			}
			if strings.Count(r.Stderr, "\n") != 1 || r.Stdout != "" {
				t.Errorf("%s with %s=%q: not one line: %q %q", program, setting, value, r.Stderr, r.Stdout)
			}
			named := strings.Contains(r.Stderr, setting) || strings.Contains(r.Stderr, strings.ToUpper(strings.ReplaceAll(setting, "-", "_")))
			if !named && !(setting == "tls-key" && strings.Contains(r.Stderr, "tls-cert")) && !(setting == "fleet-key" && strings.Contains(r.Stderr, "fleet key")) {
				t.Errorf("%s with %s=%q: does not name the setting: %s", program, setting, value, r.Stderr)
			}
		}
	}
}

// bulkOffset is how far a balancer's transfer port lies above its internal one.
const bulkOffset = 1

func bulkPort(internal netip.AddrPort) uint16 { return internal.Port() + bulkOffset }

// strangersTLS returns TLS settings of strangers: without a certificate, and
// with one that is not the fleet's.
func strangersTLS(t *testing.T, authority *pki.Authority) []*tls.Config {
	t.Helper()
	certPEM, keyPEM, err := authority.Issue("listing")
	if err != nil {
		t.Fatal(err)
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		t.Fatal(err)
	}
	bare := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"hemlock-bulk/1"}}
	own := bare.Clone()
	own.Certificates = []tls.Certificate{cert}
	return []*tls.Config{bare, own}
}
