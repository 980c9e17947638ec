package tracing

import (
	"context"
	"io"
	"net/http"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// HeaderParent is the W3C header that carries a trace from hop to hop.
const HeaderParent = "Traceparent"

var w3c propagation.TraceContext

// Extract returns ctx with the span that the headers name as parent.
func Extract(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the span of ctx into the headers.
func Inject(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// Decide tells whether a request is traced, and with which links.
type Decide func(r *http.Request, parent trace.SpanContext) (links []trace.Link, ok bool)

// Wrap returns h with a span around each request that decide picks. The span
// is the child of the one that the request's traceparent names, and the parent
// of what h calls with the request's headers. It returns h itself when p is
// off.
func (p *Provider) Wrap(h http.Handler, decide Decide) http.Handler {
	if !p.On() {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := Extract(r.Context(), r.Header)
		links, ok := decide(r, trace.SpanContextFromContext(ctx))
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		p.serve(ctx, h, w, r, links)
	})
}

func (p *Provider) serve(ctx context.Context, h http.Handler, w http.ResponseWriter, r *http.Request, links []trace.Link) {
	ctx, span := p.tracer.Start(ctx, r.Method,
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithLinks(links...),
		trace.WithAttributes(attribute.String("http.request.method", r.Method), attribute.String("url.path", r.URL.Path)))
	r = r.WithContext(ctx)
	r.Header = r.Header.Clone()
	Inject(ctx, r.Header)
	recorder := &statusRecorder{ResponseWriter: w}
	whole := false
	// h panics to cut an answer short; the span has to tell.
	defer func() {
		if !whole {
			span.SetStatus(codes.Error, "answer cut")
		}
		span.SetAttributes(attribute.Int("http.response.status_code", recorder.status))
		span.End()
	}()
	h.ServeHTTP(recorder, r)
	whole = true
}

// statusRecorder remembers the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (s *statusRecorder) Write(b []byte) (int, error) {
	if s.status == 0 {
		s.status = http.StatusOK
	}
	return s.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// Call sends a request by send inside a span of the caller, which ends with
// the answer's body.
func (p *Provider) Call(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	if !p.On() {
		return send(r)
	}
	ctx, span := p.tracer.Start(r.Context(), r.Method, trace.WithSpanKind(trace.SpanKindClient))
	r = r.WithContext(ctx)
	Inject(ctx, r.Header)
	resp, err := send(r)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		span.End()
		return nil, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", resp.StatusCode))
	resp.Body = &tracedBody{ReadCloser: resp.Body, span: span}
	return resp, nil
}

// tracedBody ends a span when it is closed.
type tracedBody struct {
	io.ReadCloser
	span trace.Span
	once sync.Once
}

// Close implements io.Closer.
func (b *tracedBody) Close() error {
	b.once.Do(func() { b.span.End() })
	return b.ReadCloser.Close()
}
