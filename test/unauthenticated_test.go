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
	foreignKey  = "1:ffffffffffffffffffffffffffffffff"
	fleetSecret = "000102030405060708090a0b0c0d0e0f"
)

// unauthenticatedDatagrams returns datagrams that a process without the fleet key may send to an
// internal port. Those in control look like control datagrams.
func unauthenticatedDatagrams(t *testing.T) (data, control [][]byte) {
	t.Helper()
	ring, err := fleetkey.Parse(foreignKey)
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

// Guards against a process without the fleet key that joins the fleet, sends packets in its name
// or stops it. Datagrams that were framed or sealed under another key, truncated, oversize or
// empty ones are sent to the internal port of every process, which must count each of them and go
// on serving.
func TestUnauthenticatedDatagramsAreDropped(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	data, control := unauthenticatedDatagrams(t)
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
			sendTo(t, p.addr, b, packetsPerCase)
		}
		for _, b := range control {
			sendTo(t, p.addr, b, packetsPerCase)
		}
		awaitCount(t, p.admin, strange, s, packetsPerCase*len(data))
		awaitCount(t, p.admin, rejected, r, packetsPerCase*len(control))
	}
	awaitServed(t, f, "listing")
	awaitServed(t, f, "records")
}

// Guards against a balancer that sends its catalogue or member list over a QUIC connection without
// the fleet's certificate.
func TestBulkTransferRequiresFleetCertificate(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	authority, err := pki.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
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
		// A process of the fleet gets the member list, so the checks below are not vacuous.
		var members []byte
		err := member.Fetch(ctx, addr, bulk.KindMemberList, nil, func(r io.Reader) (err error) {
			members, err = io.ReadAll(r)
			return err
		})
		if err != nil || len(members) == 0 {
			t.Fatalf("%s sent a process of the fleet %d bytes: %v", b.Name, len(members), err)
		}
		for _, config := range unauthenticatedTLS(t, authority) {
			conn, err := quic.DialAddr(ctx, addr.String(), config, nil)
			if err != nil {
				continue // rejected in the handshake
			}
			stream, err := conn.OpenStreamSync(ctx)
			if err == nil {
				stream.Write([]byte{byte(bulk.KindMemberList)})
				stream.Close()
				stream.SetReadDeadline(time.Now().Add(fleet.WaitLimit))
				answer := make([]byte, 1)
				if n, _ := stream.Read(answer); n > 0 {
					t.Errorf("%s answered a process without the fleet's certificate", b.Name)
				}
			}
			conn.CloseWithError(0, "")
		}
	}
	awaitServed(t, f, "listing")
}

// Guards against keys in the logs of a running fleet, in the output of -h and in the error for an
// invalid setting.
func TestKeysAreNotPrinted(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	awaitServed(t, f, "listing")
	var processes []*fleet.Process
	for _, b := range f.Balancers {
		processes = append(processes, b.Process)
	}
	for _, a := range f.Agents {
		processes = append(processes, a.Process)
	}
	for _, p := range processes {
		checkNoSecrets(t, p.Name, p.Log())
	}
	for program, env := range map[string]map[string]string{"hemlock-balancer": f.Balancers[0].Env(), "hemlock-agent": f.Agents[0].Env()} {
		help := fleet.RunOnce(t, program, env, "-h")
		if help.Exit != 0 || !strings.Contains(help.Stdout, "-fleet-key") {
			t.Errorf("%s -h: %+v", program, help)
		}
		checkNoSecrets(t, program+" -h", help.Stdout+help.Stderr)
		wrong := fleet.RunOnce(t, program, env, "-admin", "nowhere")
		checkNoSecrets(t, program+" with a wrong setting", wrong.Stdout+wrong.Stderr)
	}
}

func checkNoSecrets(t *testing.T, where, text string) {
	t.Helper()
	if strings.Contains(text, fleetSecret) {
		t.Errorf("%s shows the fleet key", where)
	}
	if strings.Contains(text, "PRIVATE KEY") {
		t.Errorf("%s shows the certificate's key", where)
	}
}

// Guards against daemons that start with an invalid, missing, unknown or misspelt setting. They
// must exit with code 2 and one line that names the setting.
func TestInvalidSettings(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	for program, c := range map[string]struct {
		prefix string
		env    map[string]string
		wrong  map[string]string // invalid value by setting
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

// bulkOffset is the difference between a balancer's bulk transfer port and its internal port.
const bulkOffset = 1

func bulkPort(internal netip.AddrPort) uint16 { return internal.Port() + bulkOffset }

// unauthenticatedTLS returns TLS settings without a certificate and with one that is not the
// fleet's.
func unauthenticatedTLS(t *testing.T, authority *pki.Authority) []*tls.Config {
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
