package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/pricing"
	"balsamproxy/io/http1"
)

// TestRequestsAreShedByCost guards against requests that are admitted although a service
// behind their target is short of capacity, and against calls of targets that are shed
// after work has been spent on them.
func TestRequestsAreShedByCost(t *testing.T) {
	report := func(pressure float64) []balsamproxy.ServiceCost {
		return []balsamproxy.ServiceCost{{Service: "deep", Work: time.Second, Pressure: pressure}}
	}
	cases := map[string]struct {
		costs  []balsamproxy.ServiceCost
		prices *pricing.Prices
		path   string
		shed   bool
	}{
		"service short of capacity":      {costs: report(1.8), prices: &pricing.Prices{}, path: "/order/a", shed: true},
		"service with room":              {costs: report(0.5), prices: &pricing.Prices{}, path: "/order/a"},
		"nothing reported":               {prices: &pricing.Prices{}, path: "/order/a"},
		"prices not used":                {costs: report(1.8), path: "/order/a"},
		"call of a target is never shed": {costs: report(1.8), prices: &pricing.Prices{}, path: "/open/a"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			handler := newEntry(&script{steps: []step{{status: http.StatusOK, costs: test.costs}}}, 0)
			document := handler.Config.Index().Document()
			document.Routes = append(document.Routes, config.Route{
				ID: "open", Service: "s1", Path: "/open/", Methods: []string{config.AnyMethod}, Access: config.AccessOpen, Deadline: 5000,
			})
			handler.Config.Update(config.NewIndex(document, 2))
			clock := &manualClock{now: time.Now()}
			handler.Clock, handler.Prices = clock, test.prices
			handler.Random = rand.New(rand.NewPCG(1, 2)).Float64 //nolint:gosec // the schedule must be reproducible
			shed := 0
			for range 300 {
				clock.now = clock.now.Add(20 * time.Millisecond)
				head := httptest.NewRequest(http.MethodGet, test.path, nil)
				if test.path == "/order/a" {
					head.Header.Set("Secret", "secret")
				}
				response := handler.Handle(context.Background(), &http1.Request{Head: head, ReadAt: clock.now})
				assert.Assert(t, response.Status == http.StatusOK || response.Status == http.StatusServiceUnavailable)
				if response.Header.Get("Reason") == string(balsamproxy.ReasonDeepServiceOverloaded) {
					assert.Equal(t, response.Status, http.StatusServiceUnavailable)
					shed++
				}
			}
			assert.Equal(t, shed > 0, test.shed, "%d shed", shed)
		})
	}
}
