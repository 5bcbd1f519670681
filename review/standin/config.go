package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

// route is a route of the operator's configuration.
type route struct {
	name        string
	prefix      string
	idempotent  bool
	timeout     time.Duration
	objective   time.Duration
	service     string
	maxAttempts int
	public      bool
}

// account is a client account with one key.
type account struct {
	name  string
	key   string
	rate  int
	burst int
}

// callerHost is the host name of all routes.
const callerHost = "one.example"

// configuration is what the operator writes to the store.
type configuration struct {
	version  int
	routes   []route
	accounts []account
	services []string
}

type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// encode returns the document in the base64 form in which the store keeps it.
func (configuration configuration) encode(words words) (string, error) {
	routes := table{Columns: words.RouteColumns, Rows: [][]any{}}
	for _, route := range configuration.routes {
		kind := "non_idempotent"
		if route.idempotent {
			kind = "idempotent"
		}
		routes.Rows = append(routes.Rows, []any{
			route.name, callerHost, route.prefix, kind, inMilliseconds(route.timeout), inMilliseconds(route.objective),
			0, route.service, route.maxAttempts, route.public,
		})
	}
	accounts := table{Columns: words.AccountColumns, Rows: [][]any{}}
	for _, account := range configuration.accounts {
		accounts.Rows = append(accounts.Rows, []any{account.name, []string{account.key}, nil, account.rate, account.burst})
	}
	services := table{Columns: words.ServiceColumns, Rows: [][]any{}}
	for _, service := range configuration.services {
		services.Rows = append(services.Rows, []any{service, "/healthz", 748, "h1", false})
	}
	document, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", configuration.version), "routes": routes, "services": services, "tenants": accounts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	return base64.StdEncoding.EncodeToString(document), err
}

func inMilliseconds(duration time.Duration) string {
	return fmt.Sprintf("%dms", duration.Milliseconds())
}
