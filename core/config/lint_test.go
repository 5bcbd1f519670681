package config_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/config"
)

// TestLint guards against mistakes that are not reported, or at the wrong place.
// Each case changes a document without findings.
func TestLint(t *testing.T) {
	const account, route = "/client-accounts/0", "/routes/0"
	second := func(change func(*config.Route)) func(*config.Document) {
		return func(document *config.Document) {
			added := document.Routes[0]
			added.ID = "second"
			change(&added)
			document.Routes = append(document.Routes, added)
		}
	}
	routes := func(change func(*config.Route)) func(*config.Document) {
		return func(document *config.Document) { change(&document.Routes[0]) }
	}
	accounts := func(change func(*config.ClientAccount)) func(*config.Document) {
		return func(document *config.Document) { change(&document.ClientAccounts[0]) }
	}
	callers := func(limits config.CallerLimits) func(*config.Document) {
		return func(document *config.Document) { document.Callers = &limits }
	}
	withKeys := func(keys ...config.Key) func(*config.Document) {
		return accounts(func(account *config.ClientAccount) { account.Keys = append(keys, account.Keys...) })
	}
	retries := 2
	cases := map[string]struct {
		change func(*config.Document)
		mesh   bool
		// want are the findings as severity and pointer.
		want []string
	}{
		"nothing":                  {change: func(*config.Document) {}},
		"hidden route":             {second(func(*config.Route) {}), true, []string{"warning /routes/1"}},
		"hidden by any method":     {routes(func(route *config.Route) { route.Methods = []string{"*"} }), true, nil},
		"hidden method":            {second(func(route *config.Route) { route.Methods = []string{"PUT", "GET"} }), false, []string{"warning /routes/1/methods/1"}},
		"any method is not hidden": {second(func(route *config.Route) { route.Methods = []string{"*"} }), false, nil},
		"other host, mesh":         {second(func(route *config.Route) { route.Host = "h" }), true, nil},
		"other host, older daemon": {second(func(route *config.Route) { route.Host = "h" }), false, []string{"warning /routes/1/host", "warning /routes/1"}},
		"shorter path":             {second(func(route *config.Route) { route.Path = "/" }), false, nil},
		"internal beside keyed":    {second(func(route *config.Route) { route.Access, route.Service = config.AccessInternal, "lofts" }), false, nil},
		"internal split": {second(func(route *config.Route) {
			route.Access, route.Service, route.Split = config.AccessInternal, "", []config.WeightedService{{"a", 1}}
		}), false, []string{"warning /routes/1/split"}},
		"internal retry limit": {second(func(route *config.Route) {
			route.Access, route.Service, route.RetryLimit = config.AccessInternal, "lofts", &retries
		}), false, []string{"warning /routes/1/retry-limit"}},
		"same route id":        {second(func(route *config.Route) { route.ID, route.Path = "browse", "/" }), true, []string{"error /routes/1/id"}},
		"no service":           {routes(func(route *config.Route) { route.Service = "" }), true, []string{"error " + route + "/service"}},
		"service beside split": {routes(func(route *config.Route) { route.Split = []config.WeightedService{{"a", 1}} }), true, []string{"warning " + route + "/service"}},
		"split part without weight": {routes(func(route *config.Route) {
			route.Service, route.Split = "", []config.WeightedService{{"a", 1}, {"b", 0}}
		}), true, []string{"warning " + route + "/split/1/weight"}},
		"split without weight": {routes(func(route *config.Route) {
			route.Service, route.Split = "", []config.WeightedService{{"a", 1}, {"b", -1}}
		}), true, []string{"error " + route + "/split/1/weight", "error " + route + "/split"}},
		"split part without service": {routes(func(route *config.Route) { route.Service, route.Split = "", []config.WeightedService{{"", 1}} }), true, []string{"error " + route + "/split/0/service"}},
		"objective above deadline":   {routes(func(route *config.Route) { route.Objective = 501 }), true, []string{"warning " + route + "/objective-ms"}},
		"objective is the deadline":  {routes(func(route *config.Route) { route.Objective = 500 }), true, nil},
		"no deadline":                {routes(func(route *config.Route) { route.Deadline = 0 }), true, []string{"error " + route + "/deadline-ms"}},
		"no burst":                   {accounts(func(account *config.ClientAccount) { account.Burst = 0 }), true, []string{"error " + account + "/burst"}},
		"no rate":                    {accounts(func(account *config.ClientAccount) { account.Rate = 0 }), true, []string{"warning " + account + "/rate"}},
		"unlimited":                  {accounts(func(account *config.ClientAccount) { account.Rate, account.Burst, account.Unlimited = 0, 0, true }), true, nil},
		"rate beside unlimited":      {accounts(func(account *config.ClientAccount) { account.Unlimited = true }), true, []string{"warning " + account + "/unlimited"}},
		"no key":                     {accounts(func(account *config.ClientAccount) { account.Keys = nil }), true, []string{"warning " + account}},
		"expired key":                {withKeys(config.Key{ID: "k0", Digest: config.FormatDigest("x"), NotAfter: "2026-12-05T23:59:59Z"}), true, []string{"warning " + account + "/keys/0"}},
		"key that expires later":     {withKeys(config.Key{ID: "k0", Digest: config.FormatDigest("x"), NotAfter: "2026-12-06T00:00:01Z"}), true, nil},
		"empty secret":               {withKeys(config.Key{ID: "k0", Digest: config.FormatDigest("")}), true, []string{"warning " + account + "/keys/0"}},
		"key twice in an account":    {withKeys(config.Key{ID: "k0", Digest: digest}), true, []string{"warning " + account + "/keys/1"}},
		"key of two accounts": {func(document *config.Document) {
			added := document.ClientAccounts[0]
			added.ID = "other"
			document.ClientAccounts = append(document.ClientAccounts, added)
		}, true, []string{"error /client-accounts/1/keys/0"}},
		"same account id": {func(document *config.Document) {
			added := document.ClientAccounts[0]
			added.Keys = []config.Key{{ID: "k1", Digest: config.FormatDigest("x")}}
			document.ClientAccounts = append(document.ClientAccounts, added)
		}, true, []string{"error /client-accounts/1/id"}},
		"limits of the older daemon":  {callers(config.CallerLimits{HeaderBytes: 16384}), false, []string{"warning /callers"}},
		"limits":                      {callers(config.CallerLimits{HeaderBytes: 16384, HeaderTimeout: 3000, IdleTimeout: 15000}), true, nil},
		"default limits":              {callers(config.CallerLimits{}), true, nil},
		"negative limits":             {callers(config.CallerLimits{HeaderBytes: -1, BodyBytes: -1}), true, []string{"warning /callers/header-bytes", "warning /callers/body-bytes"}},
		"short headers":               {callers(config.CallerLimits{HeaderBytes: 100}), true, []string{"warning /callers/header-bytes"}},
		"short bodies without orders": {callers(config.CallerLimits{BodyBytes: 100}), true, nil},
		"short bodies with orders": {func(document *config.Document) {
			document.Routes[0].Idempotent = false
			document.Callers = &config.CallerLimits{BodyBytes: 100}
		}, true, []string{"warning /callers/body-bytes"}},
		"idle time below header time": {callers(config.CallerLimits{HeaderTimeout: 3000, IdleTimeout: 2999}), true, []string{"warning /callers/idle-timeout-ms"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			document := parsed(t)
			test.change(document)
			got := []string{}
			linter := config.Linter{Mesh: test.mesh, Now: time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)}
			for _, finding := range linter.Lint(document) {
				got = append(got, string(finding.Severity)+" "+finding.Pointer)
			}
			assert.DeepEqual(t, got, append([]string{}, test.want...))
		})
	}
}

func ExampleLinter() {
	document := &config.Document{Routes: []config.Route{{
		ID: "browse", Service: "venues", Methods: []string{"GET"}, Path: "/venues/", Deadline: 500, Objective: 800,
	}}}
	for _, finding := range (config.Linter{}).Lint(document) {
		fmt.Println(finding)
	}
	// Output:
	// warning: /routes/0/objective-ms: an objective of 800 ms has no effect: it is above the deadline of 500 ms
}
