// Package tracing records one OpenTelemetry trace for each call, with a span for
// each hop. A nil *Provider means that tracing is off: its methods may be called
// and record nothing.
package tracing
