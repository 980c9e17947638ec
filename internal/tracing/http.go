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

// HeaderParent is the W3C Trace Context header that names the parent span.
const HeaderParent = "Traceparent"

var w3c propagation.TraceContext

// Extract returns ctx with the parent span that the headers name.
func Extract(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the span of ctx into the headers.
func Inject(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// SampleFunc reports whether a request is traced, and returns the links of its span.
type SampleFunc func(r *http.Request, parent trace.SpanContext) (links []trace.Link, ok bool)

// Wrap returns a handler that records a span around each request for which
// decide returns true. The span is a child of the span in the request's traceparent header;
// h receives the request with the new span in that header, so that calls which
// pass it on become children. Wrap returns h itself when tracing is off.
func (p *Provider) Wrap(h http.Handler, decide SampleFunc) http.Handler {
	if !p.Enabled() {
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
	complete := false
	// h panics to abort a response; the span then has the status error.
	defer func() {
		if !complete {
			span.SetStatus(codes.Error, "answer cut")
		}
		span.SetAttributes(attribute.Int("http.response.status_code", recorder.status))
		span.End()
	}()
	h.ServeHTTP(recorder, r)
	complete = true
}

// statusRecorder records the status code of a response.
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

// Unwrap gives http.ResponseController access to the wrapped writer.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// Call sends a request with send inside a client span, which ends when the
// response body is closed or send fails.
func (p *Provider) Call(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	if !p.Enabled() {
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
