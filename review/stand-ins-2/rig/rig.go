// Package rig runs a small deployment for the cases of the second review: the project's own
// programs as separate processes on loopback addresses, with stand-ins of the platform's store,
// routers, backend servers and callers in this process.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/loopback"
	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Ports, the same on all VMs.
const (
	PacketPort    = 8172
	OutboundPort  = 8162
	ReadinessPort = 8167
	ControlPort   = 8166
	AppPort       = 8165
	AdminPort     = 9102
	internalPort  = 7720
	servicePort   = 443
)

// Kinds of loopback addresses.
const (
	balancerNet = iota + 1
	agentNet
	callerNet
	relayNet
)

// HeartbeatInterval is the time between two heartbeats of a backend server (heartbeatMs).
const HeartbeatInterval = 770 * time.Millisecond

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2 // the case could not run
)

// settings is the template of the platform's settings file.
const settings = `node = "%[1]s"
role = "%[2]s"
machineClass = "%[3]s"
ip = "%[4]s"
zone = "zone-a"
region = "region-a"
internalPorts = [%[5]d,%[6]d]
seeds = [%[7]s]
bootstrap = true
discovery = "local"
entry = "announce"
heartbeatMs = 770
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "steady"
forwardingMode = "agent"
%[8]s
[zones]
zone-a = "region-a"
[listenAddresses]
%[9]s
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
stabilityMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
recoveryS = 12
misrouteMs = 2000
maxFlowS = 60
[platform]
address = "%[10]s"
forwardingMode = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`

// Record writes the lines of a case to its record file and to standard output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Printf writes one line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.file.WriteString(line)
	os.Stdout.WriteString(line)
}

// Rig is a running deployment.
type Rig struct {
	Record    *Record
	Store     *platform.Store
	Journal   *platform.Journal
	Router    *platform.Router
	Balancers []*VM
	Agents    []*VM
	// MoreRoutes holds the services of further routes by their hosts.
	MoreRoutes map[string]string

	net     *loopback.Network
	dir     string
	version int
}

// VM is a VM with its process and, if that is an agent, the backend server beside it.
type VM struct {
	Name    string
	Addr    netip.Addr
	Service string
	Server  *platform.Server
	Store   *platform.Endpoint // where the process reaches the store

	rig     *Rig
	program string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// New opens the record and reserves loopback addresses. The record file is the first argument of
// the program.
func New() (*Rig, error) {
	if len(os.Args) != 2 {
		return nil, errors.New("usage: CASE RECORD-FILE, in the repository's root")
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		return nil, err
	}
	r := &Rig{Record: &Record{file: file, start: time.Now()}, Store: platform.NewStore(), Journal: platform.NewJournal()}
	if r.net, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	r.dir, err = os.MkdirTemp("", "review-")
	return r, err
}

// Trouble reports whether the case's disruption is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Start starts the processes and backend servers of a deployment with the given number of
// balancers and one agent for each element of services, and waits until all balancers are in
// rotation. A service without a backend server yet has a leading "-".
func (r *Rig) Start(balancers int, services ...string) error {
	for i := range balancers {
		r.Balancers = append(r.Balancers, &VM{Name: fmt.Sprintf("balancer-%d", i+1), Addr: r.net.Addr(balancerNet, i), rig: r, program: "hemlock-balancer", Store: r.Store.NewEndpoint()})
	}
	for i, s := range services {
		r.Agents = append(r.Agents, &VM{Name: fmt.Sprintf("agent-%d", i+1), Addr: r.net.Addr(agentNet, i), rig: r, program: "hemlock-agent", Service: strings.TrimPrefix(s, "-"), Store: r.Store.NewEndpoint()})
	}
	r.Configure()
	var packets, readiness []netip.AddrPort
	for _, v := range r.Balancers {
		packets = append(packets, netip.AddrPortFrom(v.Addr, PacketPort))
		readiness = append(readiness, netip.AddrPortFrom(v.Addr, ReadinessPort))
	}
	for _, v := range r.all() {
		if err := v.StartProcess(); err != nil {
			return err
		}
	}
	for i, v := range r.Agents {
		if strings.HasPrefix(services[i], "-") {
			continue
		}
		if err := v.StartServer(v.At(ControlPort)); err != nil {
			return err
		}
	}
	r.Router = platform.NewRouter(packets, readiness)
	return Await(20*time.Second, "all balancers in rotation", func() bool { return r.Router.Ready() == balancers })
}

func (r *Rig) all() []*VM {
	return append(r.Balancers[:len(r.Balancers):len(r.Balancers)], r.Agents...)
}

// Await waits until ok returns true, at most for limit.
func Await(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
	}
	return nil
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	for _, v := range r.all() {
		v.Kill()
		if v.Server != nil {
			v.Server.Crash()
		}
	}
	r.Store.Close()
	r.net.Release()
	os.RemoveAll(r.dir)
	r.Record.file.Close()
}

// ServiceAddr returns the address of a service's route.
func ServiceAddr(service string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(host(service)), servicePort)
}

// host returns the address of a service's route: a loopback address outside the networks that
// package loopback reserves. Only packets' headers hold it; no socket uses it.
func host(service string) string { return fmt.Sprintf("127.250.0.%d", service[0]) }

// HostAddr returns the address of a route with a host of its own.
func HostAddr(host string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(host), servicePort)
}

// Configure writes the operator's configuration, with a route for each service, under the next
// version.
func (r *Rig) Configure() {
	r.version += 3
	type object map[string]any
	routes, services, seen := []object{}, []object{}, map[string]bool{}
	addRoute := func(host, service string) {
		routes = append(routes, object{
			"name": "r-" + host, "host": host, "prefix": fmt.Sprintf("/%d/", servicePort), "service": service,
			"type": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 2,
		})
	}
	for host, service := range r.MoreRoutes {
		addRoute(host, service)
	}
	for _, v := range r.Agents {
		if seen[v.Service] {
			continue
		}
		seen[v.Service] = true
		addRoute(host(v.Service), v.Service)
		services = append(services, object{"name": v.Service, "healthPath": "/health"})
	}
	data, err := json.Marshal(object{"version": r.version, "routes": routes, "services": services, "limits": object{"idleTimeoutMs": 15000}})
	if err != nil {
		panic(err)
	}
	revision := r.Store.Put("op/config", data)
	r.Record.Printf("operator: configuration %d written at revision %d", r.version, revision)
}

// Caller returns a new caller at the i-th address for callers.
func (r *Rig) Caller(i int) (*platform.Caller, error) {
	return platform.NewCaller(netip.AddrPortFrom(r.net.Addr(callerNet, i), PacketPort), r.Router, r.Journal)
}

// CallerAddr returns the i-th address for callers.
func (r *Rig) CallerAddr(i int) netip.Addr { return r.net.Addr(callerNet, i) }

// FirstCallerPort is the port of a new caller's first flow.
const FirstCallerPort = 20001

// RelayAddr returns the address of the i-th relay in front of a control address.
func (r *Rig) RelayAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(r.net.Addr(relayNet, i), ControlPort)
}

// At returns one of the VM's addresses.
func (v *VM) At(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.Addr, port) }

// StartServer starts a backend server beside the agent as a new instance, which sends its
// heartbeats to control.
func (v *VM) StartServer(control netip.AddrPort) (err error) {
	v.Server, err = platform.StartServer(platform.ServerConfig{
		Service: v.Service, Zone: "zone-a", App: v.At(AppPort), Outbound: v.At(OutboundPort), Control: control,
		HeartbeatInterval: HeartbeatInterval, RequestDuration: 20 * time.Millisecond, Slots: 5, Journal: v.rig.Journal,
	})
	return err
}

// WriteSettings writes the VM's settings file.
func (v *VM) WriteSettings() (file string, err error) {
	file = filepath.Join(v.rig.dir, v.Name+".toml")
	return file, os.WriteFile(file, []byte(v.settings()), 0o600)
}

// StartProcess starts the VM's process with the command of the deploy file; only the address of
// the admin pages differs, because all VMs share one machine.
func (v *VM) StartProcess() error {
	file, err := v.WriteSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.rig.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.cmd = exec.Command("target/"+v.program, "-platform", "-admin", v.At(AdminPort).String())
	v.cmd.Env = []string{"HEMLOCKSCALE_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + v.rig.dir}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		close(exited)
	}(v.cmd, v.exited)
	v.rig.Record.Printf("%s: process started at %v", v.Name, v.Addr)
	return nil
}

func (v *VM) settings() string {
	listen := fmt.Sprintf("datagramAddress = %q\nreadiness = %q\ncontrol = %q\n", v.At(PacketPort).String(), v.At(ReadinessPort).String(), v.At(ControlPort).String())
	role, class, server := "balancer", "edge", ""
	if v.program == "hemlock-agent" {
		role, class = "agent", "side"
		server = fmt.Sprintf("app = %q\nservice = %q", v.At(AppPort).String(), v.Service)
		listen += fmt.Sprintf("outbound = %q\n", v.At(OutboundPort).String())
	}
	var seeds []string
	for _, b := range v.rig.Balancers[:min(3, len(v.rig.Balancers))] {
		seeds = append(seeds, fmt.Sprintf("%q", b.At(ControlPort).String()))
	}
	return fmt.Sprintf(settings, v.Name, role, class, v.Addr, internalPort, internalPort+15, strings.Join(seeds, ","), server, listen, v.Store.Addr())
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(s syscall.Signal) {
	v.rig.Record.Printf("%s: %v sent", v.Name, s)
	v.cmd.Process.Signal(s)
}

// Kill kills the VM's process, if it runs, and waits for its end.
func (v *VM) Kill() {
	if v.cmd == nil {
		return
	}
	v.cmd.Process.Kill()
	<-v.exited
}

// WaitExit waits until the VM's process has ended by itself.
func (v *VM) WaitExit(limit time.Duration) error {
	select {
	case <-v.exited:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended within %v", v.Name, limit)
	}
}

// Ready reports whether the VM's process reports that it is ready.
func (v *VM) Ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%v/api/readiness", v.At(ReadinessPort)))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// RecordLog adds the lines of the VM's log that contain one of the words to the record.
func (v *VM) RecordLog(words ...string) {
	data, err := os.ReadFile(filepath.Join(v.rig.dir, v.Name+".log"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		for _, w := range words {
			if strings.Contains(line, w) {
				v.rig.Record.Printf("log of %s: %s", v.Name, strings.TrimSpace(line))
				break
			}
		}
	}
}

// strictDrainCheck begins the violations by which the project's stand-in of a server reports flows
// from one second after draining was acknowledged on. The rule's bound is drainMs, so they do not
// count; a case about draining counts such flows itself.
const strictDrainCheck = "new flow "

// Main runs a case and exits: with ExitBroken if it recorded a broken rule, ExitFailed if it
// returned an error, otherwise ExitHeld.
func Main(run func(r *Rig) error) {
	r, err := New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitFailed)
	}
	r.Record.Printf("disruption: %v", Trouble())
	err = run(r)
	broken := 0
	for _, b := range r.Journal.Violations() {
		if strings.HasPrefix(b, strictDrainCheck) {
			continue
		}
		broken++
		r.Record.Printf("rule broken: %s", b)
	}
	code := ExitHeld
	switch {
	case err != nil:
		r.Record.Printf("the case could not run: %v", err)
		code = ExitFailed
	case broken > 0:
		code = ExitBroken
	}
	r.Record.Printf("exit code %d", code)
	r.Close()
	os.Exit(code)
}
