// Package tracing gives each call one OpenTelemetry trace with a span for each
// hop. A nil *Provider is tracing that is off: all methods work on it and do
// nothing.
package tracing
