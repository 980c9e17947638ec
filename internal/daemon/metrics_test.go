package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against monitoring without the system's own metrics: monitoring keeps the first
// kilobytes of a page, and go_ sorts before hemlock_, so the runtime's metrics (58 lines) would
// fill it.
func TestOwnMetricsComeFirst(t *testing.T) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_trials_total", Help: "test counter"}))
	w := httptest.NewRecorder()
	metricsPage(reg).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := w.Body.String()
	own, runtime := strings.Index(page, "hemlock_trials_total 0"), strings.Index(page, "go_goroutines")
	if w.Code != http.StatusOK || own < 0 || runtime < own {
		t.Errorf("status %d, own metrics at offset %d, runtime metrics at offset %d", w.Code, own, runtime)
	}
}
