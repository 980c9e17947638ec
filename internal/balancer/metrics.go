package balancer

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the balancer's counters and gauges. The counters of the vector are resolved
// once, so that the packet path does not look up labels.
type metrics struct {
	packets          [verdictCount]prometheus.Counter
	returned         prometheus.Counter
	unknownDatagrams prometheus.Counter // hemlock_balancer_strange_datagrams_total
	sendErrors       prometheus.Counter
	controlOverflow  prometheus.Counter
	controlRejected  prometheus.Counter
	revision         prometheus.Gauge
	agentsReady      prometheus.Gauge
	controlSent      prometheus.Counter
	controlReceived  prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		returned:         prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_returned_packets_total", Help: "Packets forwarded from agents to callers."}),
		unknownDatagrams: prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_strange_datagrams_total", Help: "Datagrams on the internal socket that no process of the fleet can have sent."}),
		sendErrors:       prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_send_errors_total", Help: "Datagrams that the kernel failed to send."}),
		controlOverflow:  prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_control_overflow_total", Help: "Control datagrams dropped because the control queue was full."}),
		controlRejected:  prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_control_rejected_total", Help: "Control datagrams that could not be authenticated or decoded."}),
		revision:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "hemlock_balancer_catalogue_revision", Help: "Catalogue revision in force."}),
		agentsReady:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "hemlock_balancer_agents_ready", Help: "Agents in the member list that accept new flows."}),
		controlSent:      prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_control_sent_bytes_total", Help: "Bytes of control datagrams sent."}),
		controlReceived:  prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_control_received_bytes_total", Help: "Bytes of control datagrams received."}),
	}
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hemlock_balancer_caller_packets_total", Help: "Packets from callers by forwarding verdict."}, []string{"verdict"})
	r.MustRegister(packets, m.returned, m.unknownDatagrams, m.sendErrors, m.controlOverflow, m.controlRejected, m.revision, m.agentsReady, m.controlSent, m.controlReceived)
	for v := range verdictCount {
		m.packets[v] = packets.WithLabelValues(v.String())
	}
	return m
}
