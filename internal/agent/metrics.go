package agent

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	unknownDatagrams prometheus.Counter // hemlock_agent_strange_datagrams_total
	foreignPackets   prometheus.Counter
	forwarded        prometheus.Counter
	noReturnPath     prometheus.Counter
	sendErrors       prometheus.Counter
	dataOverflow     prometheus.Counter
	controlOverflow  prometheus.Counter
	controlRejected  prometheus.Counter
	connections      prometheus.Gauge
	busySlots        prometheus.Gauge
	sharesDropped    prometheus.Counter
	keysReady        prometheus.Gauge
	retries          prometheus.Counter
	requests         *prometheus.CounterVec
	refusals         *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "hemlock", Subsystem: "agent", Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "hemlock", Subsystem: "agent", Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "hemlock", Subsystem: "agent", Name: name, Help: help}, []string{label})
		r.MustRegister(v)
		return v
	}
	return &metrics{
		unknownDatagrams: counter("strange_datagrams_total", "Datagrams that no process of the fleet can have sent."),
		foreignPackets:   counter("foreign_packets_total", "Packets dropped because they are for another service."),
		forwarded:        counter("handed_on_total", "First packets of flows forwarded to another agent."),
		noReturnPath:     counter("no_way_back_total", "Packets dropped because no return path to the caller is known."),
		sendErrors:       counter("send_errors_total", "Datagrams that the kernel failed to send."),
		dataOverflow:     counter("data_overflow_total", "Caller packets dropped because the data queue was full."),
		controlOverflow:  counter("control_overflow_total", "Control datagrams dropped because the control queue was full."),
		controlRejected:  counter("control_rejected_total", "Control datagrams that could not be authenticated or decoded."),
		connections:      gauge("connections", "Open caller connections."),
		busySlots:        gauge("busy_slots", "Requests in progress on the backend server."),
		sharesDropped:    counter("shares_dropped_total", "Owners whose use of slots was forgotten because of too many owners."),
		keysReady:        gauge("keys_ready", "1 if requests with idempotency keys can run at this agent, otherwise 0."),
		retries:          counter("retries_total", "Requests sent to the backend server a second time."),
		requests:         vec("requests_total", "Requests by outcome.", "outcome"),
		refusals:         vec("refusals_total", "Connections that were closed and requests that the agent answered instead of the backend server, by reason.", "reason"),
	}
}
