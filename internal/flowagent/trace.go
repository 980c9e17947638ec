package flowagent

import (
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/waiting"
)

// tracer implements flow.GateTracer: it logs the Gate's decisions and records latencies and
// spans.
type tracer struct {
	log        *zap.Logger
	spans      *node.Spans
	answerTime prometheus.Histogram
	readiness  *node.Readiness
}

func newTracer(log *zap.Logger, spans *node.Spans, reg prometheus.Registerer) *tracer {
	return &tracer{
		log: log, spans: spans, readiness: node.NewReadiness(reg),
		answerTime: node.NewLatency(reg, "hemlock_first_answer_seconds", "time from the arrival of a flow's first packet at the agent until the server's answer"),
	}
}

// Refused implements flow.GateTracer.
func (t *tracer) Refused(_ time.Time, key flow.Key, reason flow.Reason, state flow.ServerState, requests int) {
	t.log.Info("flow refused", node.FlowField(key), zap.Stringer("reason", reason), zap.Stringer("state", state), zap.Int("requests", requests))
}

// Answered implements flow.GateTracer. It logs nothing, since Opened logs the flow.
func (t *tracer) Answered(_ time.Time, _ flow.ID, after time.Duration, _ int) {
	t.answerTime.Observe(after.Seconds())
}

// Opened implements flow.GateTracer.
func (t *tracer) Opened(_ time.Time, id flow.ID, via netip.AddrPort, after time.Duration) {
	t.log.Info("flow opened", node.FlowField(id.Key), zap.Stringer("via", via), zap.Duration("after", after))
	t.spans.RecordOpen(id, via, after)
}

// NotHeld implements flow.GateTracer.
func (t *tracer) NotHeld(_ time.Time, key flow.Key, reason flow.Reason, basis flow.Basis) {
	t.log.Info("flow not held", node.FlowField(key), zap.Stringer("reason", reason), zap.Stringer("basis", basis))
}

// State implements flow.GateTracer.
func (t *tracer) State(_ time.Time, before, after flow.ServerState, reason string) {
	t.log.Info("server", zap.Stringer("before", before), zap.Stringer("state", after), zap.String("reason", reason))
	if after != flow.ServerReady {
		return
	}
	if after, first := t.readiness.Reached(); first {
		t.log.Info("ready", zap.Duration("after", after))
	}
}

// Instance implements flow.GateTracer.
func (t *tracer) Instance(_ time.Time, instance string, sequence uint64, complete bool) {
	t.log.Info("new server instance", zap.String("instance", instance), zap.Uint64("sequence", sequence), zap.Bool("complete", complete))
}

// OldHeartbeat implements flow.GateTracer.
func (t *tracer) OldHeartbeat(_ time.Time, instance string, sequence uint64) {
	t.log.Info("outdated heartbeat ignored", zap.String("instance", instance), zap.Uint64("sequence", sequence))
}

// Health implements flow.GateTracer.
func (t *tracer) Health(_ time.Time, c health.Change) {
	t.log.Info("server health", node.HealthFields(&c)...)
}

// registerMetrics registers the Gate's gauges and counters with reg.
func registerMetrics(reg prometheus.Registerer, a *Agent) {
	reg.MustRegister(&collector{a: a})
}

type collector struct{ a *Agent }

var (
	descFlows           = prometheus.NewDesc("hemlock_flows", "flows in the agent's flow table", nil, nil)
	descRequests        = prometheus.NewDesc("hemlock_requests", "requests in progress on the server", nil, nil)
	descState           = prometheus.NewDesc("hemlock_server_state", "1 for the current state of the server as known to the agent", []string{"state"}, nil)
	descHeartbeatAge    = prometheus.NewDesc("hemlock_heartbeat_age_seconds", "time since the server's last heartbeat; -1 if there was none", nil, nil)
	descBalancers       = prometheus.NewDesc("hemlock_balancers", "balancers that receive the agent's reports", nil, nil)
	descOffered         = prometheus.NewDesc("hemlock_flows_offered_total", "new flows offered by balancers", nil, nil)
	descTaken           = prometheus.NewDesc("hemlock_flows_taken_total", "new flows whose first packet the server answered", nil, nil)
	descRefused         = prometheus.NewDesc("hemlock_flows_refused_total", "new flows refused, by reason", []string{"reason"}, nil)
	descWaiting         = prometheus.NewDesc("hemlock_waiting", "what waits at the agent for capacity of the server, by kind: new flows, callers of ended flows, requests on open flows", []string{"kind"}, nil)
	descKeptBytes       = prometheus.NewDesc("hemlock_requests_kept_bytes", "size of the requests that wait on open flows", nil, nil)
	descExpectedTime    = prometheus.NewDesc("hemlock_expected_answer_seconds", "time within which four of five requests are expected to be answered", nil, nil)
	descWaitRefused     = prometheus.NewDesc("hemlock_waiting_refused_total", "new flows and callers refused, and kept requests given up, while waiting or instead of it, by reason", []string{"reason"}, nil)
	descOpenedLate      = prometheus.NewDesc("hemlock_flows_opened_late_total", "flows opened at the server shortly before their callers gave up the attempt", nil, nil)
	descRequestsKept    = prometheus.NewDesc("hemlock_requests_kept_total", "requests on open flows that waited for capacity", nil, nil)
	descNotHeld         = prometheus.NewDesc("hemlock_packets_not_held_total", "packets of flows that the server does not hold", nil, nil)
	descLost            = prometheus.NewDesc("hemlock_packets_lost_flow_total", "packets of flows that the server has lost", nil, nil)
	descLostNotices     = prometheus.NewDesc("hemlock_lost_flow_notices_total", "idle flows lost by the server that balancers were told of", nil, nil)
	descResetRequests   = prometheus.NewDesc("hemlock_requests_reset_total", "requests that the server reset instead of answering, which count as failures", nil, nil)
	descImplausiblyFast = prometheus.NewDesc("hemlock_answers_hasty_total", "implausibly fast answers of the server, which count as failures", nil, nil)
	descFailures        = prometheus.NewDesc("hemlock_server_failures_total", "failures of the server that count in its health, by outcome of the request", []string{"outcome"}, nil)
	descHealth          = prometheus.NewDesc("hemlock_server_health", "0: serving, 1: failing, 2: on trial", nil, nil)
	descUnjudged        = prometheus.NewDesc("hemlock_requests_unjudged_total", "requests not checked for a missing answer because too many waited for one", nil, nil)
	descToServer        = prometheus.NewDesc("hemlock_packets_to_server_total", "packets forwarded to the server", nil, nil)
	descToCaller        = prometheus.NewDesc("hemlock_packets_to_caller_total", "packets forwarded to callers", nil, nil)
	descHeartbeats      = prometheus.NewDesc("hemlock_heartbeats_total", "heartbeats received from the server, including those that were ignored", nil, nil)
	descOldHeartbeats   = prometheus.NewDesc("hemlock_heartbeats_old_total", "heartbeats ignored as outdated or from another server", nil, nil)
	descRemoved         = prometheus.NewDesc("hemlock_flows_removed_total", "flows removed from the agent's flow table, by reason", []string{"reason"}, nil)
	descDropped         = prometheus.NewDesc("hemlock_packets_dropped_total", "packets dropped because a bounded table was full or the server was not known yet", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, ch)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.a.mu.Lock()
	s, now := c.a.gate.Stats(), node.Now()
	state, age := c.a.gate.State(now), c.a.gate.HeartbeatAge(now)
	c.a.mu.Unlock()
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	count := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(descFlows, s.Flows)
	gauge(descRequests, s.Requests)
	gauge(descBalancers, s.Balancers)
	gauge(descHealth, int(s.Health))
	ch <- prometheus.MustNewConstMetric(descState, prometheus.GaugeValue, 1, state.String())
	ch <- prometheus.MustNewConstMetric(descHeartbeatAge, prometheus.GaugeValue, age.Seconds())
	count(descOffered, s.Offered)
	count(descTaken, s.Taken)
	count(descNotHeld, s.NotHeld)
	count(descLost, s.Lost)
	count(descLostNotices, s.LostNotices)
	count(descImplausiblyFast, s.ImplausiblyFast)
	count(descResetRequests, s.ResetRequests)
	count(descUnjudged, s.UnjudgedRequests)
	for o := range health.Outcomes {
		if outcome := health.Outcome(o); outcome.Failed() {
			count(descFailures, s.Outcomes[o], outcome.String())
		}
	}
	count(descToServer, s.ToServer)
	count(descToCaller, s.ToCaller)
	count(descHeartbeats, s.Heartbeats)
	count(descOldHeartbeats, s.OldHeartbeats)
	count(descDropped, s.Dropped)
	for r := range flow.Removals {
		count(descRemoved, s.Removed[r], flow.Removal(r).String())
	}
	gauge(descWaiting, s.Waiting.Flows, "flow")
	gauge(descWaiting, s.Waiting.Callers, "caller")
	gauge(descWaiting, s.Waiting.Requests, "request")
	gauge(descKeptBytes, s.Waiting.KeptBytes)
	ch <- prometheus.MustNewConstMetric(descExpectedTime, prometheus.GaugeValue, s.Waiting.ExpectedTime.Seconds())
	count(descOpenedLate, s.OpenedLate)
	count(descRequestsKept, s.RequestsKept)
	for r := waiting.Expired; r < waiting.Refusals; r++ {
		count(descWaitRefused, s.Waiting.Refused[r], r.String())
	}
	for r := range flow.Reasons {
		count(descRefused, s.Refusals[r], flow.Reason(r).String())
	}
}
