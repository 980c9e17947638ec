// Package rig runs a small deployment of the project's own programs on loopback addresses for
// the cases of the review. The platform's store is the project's stand-in; routers, consumers
// and backends are small stand-ins of this package.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/loopback"
	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Ports, the same on all machines.
const (
	packetPort    = 8172
	outboundPort  = 8162
	readinessPort = 8167
	controlPort   = 8166
	appPort       = 8165
	adminPort     = 9102
	internalPort  = 7720
	servicePort   = 443
)

// Kinds of loopback addresses.
const (
	balancerNet = iota + 1
	agentNet
	consumerNet
)

const (
	zone       = "zone-a"
	slots      = 5
	workTime   = 20 * time.Millisecond
	startLimit = 20 * time.Second
	// backendDelay is the time by which the backends start later than the agents beside them.
	backendDelay = 500 * time.Millisecond
	// HealthPath is the status path of all services.
	HealthPath = "/health"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Options describe a deployment.
type Options struct {
	Balancers         int
	Agents            []string // service of each agent
	IdleTimeout       time.Duration
	HeartbeatInterval time.Duration
	// Grown has the bounds of the deployment psc-shopgate-grown, and servers that send the
	// time of their start as "born", instead of those of kanatpar-exchange.
	Grown bool
}

// Rig is a running deployment.
type Rig struct {
	Record    *Record
	Balancers []*VM
	Agents    []*VM

	options   Options
	dir       string // of settings files
	net       *loopback.Network
	store     *platform.Store
	router    *Router
	version   int
	servers   []*Server
	consumers []*Consumer

	mu        sync.Mutex
	elsewhere func(id, service string, s *Server)
}

// VM is one machine with its process.
type VM struct {
	rig     *Rig
	program string
	addr    netip.Addr
	service string
	file    string // settings
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (v *VM) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.addr, port) }

// App returns the address at which the machine's backend receives packets.
func (v *VM) App() netip.AddrPort { return v.at(appPort) }

// Name returns the machine's name.
func (v *VM) Name() string { return strings.TrimPrefix(v.program, "hemlock-") + " " + v.addr.String() }

// Main runs a case in the repository's root and exits with its result. The case is run without
// its disruption if the variable TROUBLE is 0.
func Main(folder string, o Options, run func(r *Rig, trouble bool) error) {
	runtime.LockOSThread() // the processes end with the thread that started them
	code, err := runCase(folder, o, run)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: not run: %v\n", folder, err)
		code = exitNotRun
	}
	os.Exit(code)
}

func runCase(folder string, o Options, run func(r *Rig, trouble bool) error) (code int, err error) {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, record.Close()) }()
	record.Add("case %s, disruption %v", folder, trouble)
	r, err := start(o, record)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return 0, err
	}
	if err := run(r, trouble); err != nil {
		return 0, err
	}
	n := record.Broken()
	record.Add("the rule was broken %d times", n)
	fmt.Printf("%s: disruption %v, the rule was broken %d times\n", folder, trouble, n)
	if n > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// start starts balancers, agents and a backend beside each agent, and waits until all
// balancers are in rotation.
func start(o Options, record *Record) (r *Rig, err error) {
	r = &Rig{Record: record, options: o, elsewhere: func(string, string, *Server) {}}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		return r, err
	}
	if r.net, err = loopback.Reserve(); err != nil {
		return r, err
	}
	r.store = platform.NewStore()
	if err := r.configure(); err != nil {
		return r, err
	}
	var packets, readiness []netip.AddrPort
	for i := range o.Balancers {
		v := &VM{rig: r, program: "hemlock-balancer", addr: r.net.Addr(balancerNet, i)}
		r.Balancers = append(r.Balancers, v)
		packets, readiness = append(packets, v.at(packetPort)), append(readiness, v.at(readinessPort))
	}
	for i, s := range o.Agents {
		r.Agents = append(r.Agents, &VM{rig: r, program: "hemlock-agent", addr: r.net.Addr(agentNet, i), service: s})
	}
	for _, v := range append(r.Balancers[:len(r.Balancers):len(r.Balancers)], r.Agents...) {
		if err := v.writeSettings(); err != nil {
			return r, err
		}
		if err := v.Start(); err != nil {
			return r, err
		}
	}
	for _, v := range r.Agents {
		if err := v.awaitControl(); err != nil {
			return r, err
		}
	}
	time.Sleep(backendDelay)
	for _, v := range r.Agents {
		if _, err := v.StartServer(v.service); err != nil {
			return r, err
		}
	}
	r.router = newRouter(packets, readiness)
	for limit := time.Now().Add(startLimit); r.router.inRotation() < o.Balancers; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			return r, errors.New("the balancers did not become ready")
		}
	}
	time.Sleep(3 * time.Second) // all agents are known to all balancers
	record.Add("%d balancers and %d agents are ready", len(r.Balancers), len(r.Agents))
	return r, nil
}

// awaitControl waits until the agent accepts connections of its backend.
func (v *VM) awaitControl() error {
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp4", v.at(controlPort).String(), time.Second)
		if err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("%s did not start", v.Name())
}

// close ends all processes and stand-ins.
func (r *Rig) close() {
	if r.router != nil {
		r.router.close()
	}
	for _, c := range r.consumers {
		c.close()
	}
	for _, v := range append(r.Agents[:len(r.Agents):len(r.Agents)], r.Balancers...) {
		v.Kill()
	}
	for _, s := range r.servers {
		s.Crash()
	}
	if r.store != nil {
		r.store.Close()
	}
	if r.net != nil {
		r.net.Release()
	}
	os.RemoveAll(r.dir)
}

// Server returns the latest server that was started on the agent's machine.
func (v *VM) Server() *Server {
	for i := len(v.rig.servers) - 1; i >= 0; i-- {
		if s := v.rig.servers[i]; s.vm == v {
			return s
		}
	}
	return nil
}

// Holder returns the server that holds a flow, nil if none does.
func (r *Rig) Holder(f *Flow) *Server {
	for _, s := range r.servers {
		if s.Holds(f.key.consumer, f.key.service) {
			return s
		}
	}
	return nil
}

// OnElsewhere sets what is called when a server runs a request that was sent to another
// service.
func (r *Rig) OnElsewhere(f func(id, service string, s *Server)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elsewhere = f
}

func (r *Rig) ranElsewhere(id, service string, s *Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elsewhere(id, service, s)
}

// services returns the services of the deployment, in the order of the first agent of each.
func (r *Rig) services() (list []string) {
	seen := map[string]bool{}
	for _, s := range r.options.Agents {
		if !seen[s] {
			seen[s] = true
			list = append(list, s)
		}
	}
	return list
}

// serviceAddr returns the address of a service's route. It stands in packets only; no socket uses it.
func serviceAddr(service string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 198, 0, service[0]}), servicePort)
}

// configure writes the operator's config.
func (r *Rig) configure() error {
	r.version += 3
	var routes, services []map[string]any
	for _, s := range r.services() {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "host": serviceAddr(s).Addr().String(), "prefix": fmt.Sprintf("/%d/", servicePort), "type": "non_idempotent",
			"timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1, "service": s, "maxAttempts": 2,
		})
		services = append(services, map[string]any{"name": s, "healthPath": HealthPath, "maxConnections": 2000, "protocol": "h1", "tls": false})
	}
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": r.options.IdleTimeout.Milliseconds()}
	data, err := json.Marshal(map[string]any{"version": r.version, "routes": routes, "services": services, "limits": limits})
	if err != nil {
		return err
	}
	r.store.Put("op/config", data)
	r.Record.Add("the operator writes config %s", data)
	return nil
}

// settings is the template of a settings file.
const settings = `node = "%[1]s"
role = "%[2]s"
machineClass = "%[3]s"
serves = [%[4]s]
ip = "%[5]s"
zone = "` + zone + `"
region = "region-a"
internalPorts = [7720,7735]
seeds = []
bootstrap = true
lossCounts = false
discovery = "local"
entry = "announce"
heartbeatMs = %[6]d
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "steady"
forwardingMode = "agent"
%[7]s
[zones]
` + zone + ` = "region-a"
[listenAddresses]
datagramAddress = "%[5]s:8172"
outbound = "%[5]s:8162"
readiness = "%[5]s:8167"
control = "%[5]s:8166"
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
%[9]s[platform]
address = "%[8]s"
forwardingMode = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`

const boundsSmall = `[bounds]
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
`

const boundsGrown = `[bounds]
seedLagS = 3
reuseDelayS = 2
stabilityMs = 5000
ackMs = 8000
catchUpS = 6
drainMs = 5000
graceS = 6
lossSlackMs = 200
configApplyMs = 5000
rollbackSlackMs = 250
maxSkewMs = 15000
recoveryS = 15
misrouteMs = 2000
maxFlowS = 60
`

func (v *VM) writeSettings() error {
	bounds := boundsSmall
	if v.rig.options.Grown {
		bounds = boundsGrown
	}
	class, serves, backend := "edge", `"edge","control_plane"`, ""
	if v.service != "" {
		class, serves = "side", `"side"`
		backend = fmt.Sprintf("app = %q\nservice = %q", v.at(appPort).String(), v.service)
	}
	text := fmt.Sprintf(settings, class+"-"+v.addr.String(), strings.TrimPrefix(v.program, "hemlock-"), class, serves, v.addr, v.rig.options.HeartbeatInterval.Milliseconds(), backend, v.rig.store.Addr(), bounds)
	v.file = filepath.Join(v.rig.dir, class+"-"+v.addr.String()+".toml")
	return os.WriteFile(v.file, []byte(text), 0o600)
}

// Start starts the machine's process with the command of the deploy file; only the admin
// address is one of the machine's own.
func (v *VM) Start() error {
	log, err := os.OpenFile(v.file+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.cmd = exec.Command("target/"+v.program, "-platform", "-admin", v.at(adminPort).String())
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "HEMLOCKSCALE_NODE_FILE=" + v.file}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.exited = exited
	go func(cmd *exec.Cmd) {
		cmd.Wait()
		close(exited)
	}(v.cmd)
	return nil
}

// Freeze stops the process until Resume.
func (v *VM) Freeze() {
	v.rig.Record.Add("%s freezes", v.Name())
	v.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a frozen process.
func (v *VM) Resume() {
	v.cmd.Process.Signal(syscall.SIGCONT)
	v.rig.Record.Add("%s wakes", v.Name())
}

// Kill ends the process and waits for its end.
func (v *VM) Kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	v.cmd.Process.Signal(syscall.SIGCONT)
	v.cmd.Process.Kill()
	<-v.exited
}
