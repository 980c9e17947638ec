package fleet

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// Metric returns the value of a metric on an admin page. name is the metric with its labels, as on
// the page.
func Metric(admin, name string) (value float64, ok bool) {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		rest, found := strings.CutPrefix(lines.Text(), name+" ")
		if found {
			v, err := strconv.ParseFloat(rest, 64)
			return v, err == nil
		}
	}
	return 0, false
}
