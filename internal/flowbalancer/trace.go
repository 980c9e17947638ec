package flowbalancer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/placement"
)

// tracer implements flow.Tracer: it logs the Director's decisions and records latencies and
// spans.
type tracer struct {
	log       *zap.Logger
	self      netip.AddrPort // this balancer's address
	spans     *node.Spans
	takenTime prometheus.Histogram

	changes map[agentChange]*changedAgents    // state changes of agents that are not logged yet
	leftOut map[flow.ServiceID]*leftOutChange // changes of the agents left out that are not logged yet
}

func newTracer(log *zap.Logger, self netip.AddrPort, spans *node.Spans, reg prometheus.Registerer) *tracer {
	return &tracer{
		log: log, self: self, spans: spans, changes: make(map[agentChange]*changedAgents), leftOut: make(map[flow.ServiceID]*leftOutChange),
		takenTime: node.NewLatency(reg, "hemlock_flow_taken_seconds", "time from a flow's first packet until an agent accepted the flow"),
	}
}

// Taken implements flow.Tracer.
func (t *tracer) Taken(_ time.Time, id flow.ID, route flow.Route, agent netip.AddrPort, offers int, after time.Duration) {
	t.takenTime.Observe(after.Seconds())
	t.log.Info("flow taken", node.FlowField(id.Key), zap.String("route", route.Name), zap.Stringer("agent", agent), zap.Int("offers", offers), zap.Duration("after", after))
	t.spans.RecordOffer(id, t.self, after, "", attribute.String("route", route.Name), attribute.Stringer("agent", agent), attribute.Int("offers", offers))
}

// Refused implements flow.Tracer.
func (t *tracer) Refused(_ time.Time, key flow.Key, route flow.Route, agent netip.AddrPort, reason flow.Reason, occupancy placement.Occupancy) {
	t.log.Info("flow refused by agent", node.FlowField(key), zap.String("route", route.Name), zap.Stringer("agent", agent), zap.Stringer("reason", reason), zap.Uint8("occupancy", uint8(occupancy)))
}

// Abandoned implements flow.Tracer.
func (t *tracer) Abandoned(_ time.Time, id flow.ID, route flow.Route, reason flow.Reason, offers int, after time.Duration, reset bool) {
	t.log.Info("flow not taken", node.FlowField(id.Key), zap.String("route", route.Name), zap.Stringer("reason", reason), zap.Int("offers", offers), zap.Duration("after", after), zap.Bool("reset", reset))
	t.spans.RecordOffer(id, t.self, after, reason.String(), attribute.String("route", route.Name), attribute.Int("offers", offers))
}

// Reset implements flow.Tracer.
func (t *tracer) Reset(_ time.Time, key flow.Key, reason flow.Reason) {
	t.log.Info("flow reset", node.FlowField(key), zap.Stringer("reason", reason))
}

// LookupStarted implements flow.Tracer.
func (t *tracer) LookupStarted(_ time.Time, key flow.Key, agents int, all bool) {
	t.log.Info("flow lookup started", node.FlowField(key), zap.Int("agents", agents), zap.Bool("all_agents", all))
}

// NotHeld implements flow.Tracer.
func (t *tracer) NotHeld(_ time.Time, key flow.Key, agents int, discovery string, confirmedBy netip.AddrPort) {
	t.log.Info("flow not held by any agent", node.FlowField(key), zap.Int("agents", agents), zap.String("discovery", discovery), zap.Stringer("confirmed_by", confirmedBy))
}

// Ended implements flow.Tracer.
func (t *tracer) Ended(_ time.Time, key flow.Key, reason flow.Reason, agent netip.AddrPort, atMost time.Duration) {
	t.log.Info("flow ended, caller waits for capacity", node.FlowField(key), zap.Stringer("reason", reason), zap.Stringer("agent", agent), zap.Duration("wait_at_most", atMost))
}

// Found implements flow.Tracer.
func (t *tracer) Found(_ time.Time, key flow.Key, agent netip.AddrPort, after time.Duration) {
	t.log.Info("flow found", node.FlowField(key), zap.Stringer("agent", agent), zap.Duration("after", after))
}

// agentChange identifies state changes of agents that are logged in one line.
type agentChange struct {
	service flow.ServiceID
	state   flow.ServerState
	why     string
}

// changedAgents lists the agents with the same state change since the last flush. since is the
// time of the first change.
type changedAgents struct {
	since  time.Time
	agents []string
}

// Agent implements flow.Tracer. Changes are collected until the next flush, which writes
// one line for all changes of a kind. With a line for each agent, the starts and failures of
// agents, which every balancer logs, are half of all log lines in a fleet of hundreds.
func (t *tracer) Agent(now time.Time, agent netip.AddrPort, service flow.ServiceID, state flow.ServerState, why string) {
	kind := agentChange{service, state, why}
	changed := t.changes[kind]
	if changed == nil {
		changed = &changedAgents{since: now}
		t.changes[kind] = changed
	}
	changed.agents = append(changed.agents, agent.String())
}

// leftOutChange is what has changed about the agents of a service that are left out of
// placement since the last flush. since is the time of the first change.
type leftOutChange struct {
	since   time.Time
	reports []string // that caused the changes, with their agents
	counts  health.Counts
}

// LeftOut implements flow.Tracer. Changes are collected until the next flush, which writes
// one line for each service.
func (t *tracer) LeftOut(now time.Time, service flow.ServiceID, agent netip.AddrPort, report health.Report, counts health.Counts) {
	change := t.leftOut[service]
	if change == nil {
		change = &leftOutChange{since: now}
		t.leftOut[service] = change
	}
	change.counts = counts
	if agent.IsValid() {
		change.reports = append(change.reports, fmt.Sprintf("%v %v %.2f", agent, report.Status(), report.FailureShare()))
	}
}

// flushLeftOut logs the collected changes of the agents left out.
func (t *tracer) flushLeftOut(now time.Time) {
	for service, change := range t.leftOut {
		c := change.counts
		t.log.Info("agents left out changed", zap.Uint64("service", uint64(service)), zap.Int("left_out", c.LeftOut), zap.Int("failing", c.Failing), zap.Int("on_trial", c.OnTrial),
			zap.Int("able", c.Able), zap.Strings("reports", change.reports), zap.Duration("ago_at_most", now.Sub(change.since)))
	}
	clear(t.leftOut)
}

// flush logs the collected changes of agents.
func (t *tracer) flush(now time.Time) {
	for kind, changed := range t.changes {
		fields := []zap.Field{zap.Uint64("service", uint64(kind.service)), zap.Stringer("state", kind.state), zap.String("reason", kind.why)}
		if len(changed.agents) == 1 {
			t.log.Info("agent", append(fields, zap.String("agent", changed.agents[0]), zap.Duration("ago", now.Sub(changed.since)))...)
		} else {
			t.log.Info("agents", append(fields, zap.Int("count", len(changed.agents)), zap.Strings("agents", changed.agents), zap.Duration("ago_at_most", now.Sub(changed.since)))...)
		}
	}
	clear(t.changes)
	t.flushLeftOut(now)
}

// registerMetrics registers the Director's gauges and counters with reg.
func registerMetrics(reg prometheus.Registerer, b *Balancer) {
	reg.MustRegister(&collector{b: b})
}

type collector struct{ b *Balancer }

var (
	descFlows         = prometheus.NewDesc("hemlock_flows", "flows in the balancer's flow table", nil, nil)
	descOpening       = prometheus.NewDesc("hemlock_flows_opening", "new flows that no agent has accepted yet", nil, nil)
	descPendingResets = prometheus.NewDesc("hemlock_callers_waiting", "callers that are notified of the end of their flow when an agent has capacity for them", nil, nil)
	descAgents        = prometheus.NewDesc("hemlock_agents", "known agents", nil, nil)
	descReady         = prometheus.NewDesc("hemlock_agents_ready", "agents that accept new flows", nil, nil)
	descExcluded      = prometheus.NewDesc("hemlock_agents_excluded", "agents among those ready that get no new flows because their servers are failing or on trial", nil, nil)
	descRevision      = prometheus.NewDesc("hemlock_config_revision", "revision of the configuration in force", nil, nil)
	descOrders        = prometheus.NewDesc("hemlock_orders_number", "revision of the store at which the operator's orders in force were read", nil, nil)
	descEra           = prometheus.NewDesc("hemlock_store_era", "number of restores of the store from an older copy, as of the operator's orders in force", nil, nil)
	descZones         = prometheus.NewDesc("hemlock_zones_evacuated", "evacuated availability zones, which get no new flows", nil, nil)
	descReadAge       = prometheus.NewDesc("hemlock_config_read_age_seconds", "time since any process last read the configuration from the store, as known to this balancer; -1 if no read is known", nil, nil)
	descOffered       = prometheus.NewDesc("hemlock_flows_offered_total", "new flows offered to agents", nil, nil)
	descTaken         = prometheus.NewDesc("hemlock_flows_taken_total", "new flows accepted by an agent", nil, nil)
	descSpilled       = prometheus.NewDesc("hemlock_flows_spilled_total", "new flows accepted by an agent of another service of their split, because the service that it chose was full", nil, nil)
	descRefused       = prometheus.NewDesc("hemlock_offers_refused_total", "offers that an agent refused or did not answer, by reason", []string{"reason"}, nil)
	descResets        = prometheus.NewDesc("hemlock_flows_reset_total", "resets sent to callers, by reason", []string{"reason"}, nil)
	descDropped       = prometheus.NewDesc("hemlock_packets_dropped_total", "packets from callers dropped, by reason", []string{"reason"}, nil)
	descLookups       = prometheus.NewDesc("hemlock_flows_sought_total", "lookups of unknown flows at agents", nil, nil)
	descFound         = prometheus.NewDesc("hemlock_flows_found_total", "lookups that found the agent of the flow", nil, nil)
	descEvicted       = prometheus.NewDesc("hemlock_flows_evicted_total", "flows removed from the flow table because they were idle or too old", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, ch)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.b.mu.Lock()
	s := c.b.director.Stats()
	orders := c.b.director.Orders()
	revision, age := uint64(0), -1.0
	if at := c.b.propagator.ReadAt(); !at.IsZero() {
		age = node.Now().Sub(at).Seconds()
	}
	if r := orders.Routes; r != nil {
		revision = r.Revision
	}
	c.b.mu.Unlock()
	gauge := func(d *prometheus.Desc, v int) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v))
	}
	count := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(descFlows, s.Flows)
	gauge(descOpening, s.Opening)
	gauge(descPendingResets, s.PendingResets)
	gauge(descAgents, s.Agents)
	gauge(descReady, s.Ready)
	gauge(descExcluded, s.LeftOut)
	gauge(descRevision, int(revision))
	gauge(descOrders, int(store.RevisionOf(orders.Number)))
	gauge(descEra, int(store.EraOf(orders.Number)))
	gauge(descZones, len(orders.Evacuated))
	ch <- prometheus.MustNewConstMetric(descReadAge, prometheus.GaugeValue, age)
	count(descOffered, s.Offered)
	count(descTaken, s.Taken)
	count(descSpilled, s.Spilled)
	count(descLookups, s.Lookups)
	count(descFound, s.Found)
	count(descEvicted, s.Evicted)
	for r := range flow.Reasons {
		name := flow.Reason(r).String()
		count(descRefused, s.Refusals[r], name)
		count(descResets, s.Resets[r], name)
		count(descDropped, s.Dropped[r], name)
	}
}
