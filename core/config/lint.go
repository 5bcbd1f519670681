package config

import (
	"fmt"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

// Severity tells whether a finding makes a document unusable.
type Severity string

// Values of Severity.
const (
	// SeverityError means that the document is rejected, or that some requests
	// cannot be served as it says.
	SeverityError Severity = "error"
	// SeverityWarning means that an entry or a value has no effect, or is probably
	// not what was meant.
	SeverityWarning Severity = "warning"
)

// Finding is one result of checking a document.
type Finding struct {
	// Pointer is the JSON pointer to the entry; empty means the whole document.
	Pointer  string   `json:"pointer"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String formats the finding as "severity: pointer: message".
func (finding Finding) String() string {
	fault := strictjson.Fault{Pointer: finding.Pointer, Problem: finding.Message}
	return string(finding.Severity) + ": " + fault.String()
}

// FindingsOf returns the faults of a rejected document as errors.
func FindingsOf(faults strictjson.Faults) []Finding {
	findings := make([]Finding, 0, len(faults))
	for _, fault := range faults {
		findings = append(findings, Finding{Pointer: fault.Pointer, Severity: SeverityError, Message: fault.Problem})
	}
	return findings
}

// Minimum limits without a warning. An order has a request line, a host name, an id,
// a deadline and a key, which fit in the first; the second leaves room for a small
// JSON object.
const (
	minHeaderBytes = 1024
	minBodyBytes   = 1024
)

// Linter checks documents that were decoded for mistakes which Validate accepts, and
// for those of documents in another format, which do not pass Validate. The zero
// value checks for `balsamproxy daemon` and knows no time.
type Linter struct {
	// Mesh checks for `balsamproxy mesh`, which matches the host names of routes and
	// has the limits of callers.
	Mesh bool
	// Now is compared with the expiry of keys, unless it is zero.
	Now time.Time
}

// Lint returns the findings in the order of the document.
func (linter Linter) Lint(document *Document) []Finding {
	run := &lintRun{Linter: linter, document: document}
	run.checkAccounts()
	run.checkRoutes()
	run.checkCallers()
	return run.findings
}

type lintRun struct {
	Linter
	document *Document
	findings []Finding
}

func (run *lintRun) errorf(pointer, format string, args ...any) {
	run.findings = append(run.findings, Finding{Pointer: pointer, Severity: SeverityError, Message: fmt.Sprintf(format, args...)})
}

func (run *lintRun) warnf(pointer, format string, args ...any) {
	run.findings = append(run.findings, Finding{Pointer: pointer, Severity: SeverityWarning, Message: fmt.Sprintf(format, args...)})
}

func (run *lintRun) checkRoutes() {
	names := map[balsamproxy.RouteID]bool{}
	for index, route := range run.document.Routes {
		pointer := strictjson.Child("/routes", index)
		if names[route.ID] {
			run.errorf(pointer+"/id", "the route %q stands twice", route.ID)
		}
		names[route.ID] = true
		run.checkMatch(index, route, pointer)
		run.checkRouteServices(route, pointer)
		run.checkRouteLimits(route, pointer)
	}
}

// checkMatch warns about a route that another one hides, in whole or for a method.
func (run *lintRun) checkMatch(index int, route Route, pointer string) {
	if !run.Mesh && route.Host != "" {
		run.warnf(pointer+"/host", "the host name has no effect: only the method and the path are matched")
	}
	var hidden []Finding
	for position, method := range route.Methods {
		if other, found := run.hidingRoute(index, route, method); found {
			hidden = append(hidden, Finding{
				Pointer: strictjson.Child(pointer+"/methods", position), Severity: SeverityWarning,
				Message: fmt.Sprintf("method %s never matches: the route %q matches the same requests first", method, other),
			})
		}
	}
	if len(hidden) > 0 && len(hidden) == len(route.Methods) {
		hidden = []Finding{{Pointer: pointer, Severity: SeverityWarning, Message: "no method of the route matches: " + hidden[0].Message}}
	}
	run.findings = append(run.findings, hidden...)
}

// hidingRoute returns the id of an earlier route that matches all requests of a
// route with a method. Routes with longer paths are tried first, so only one with
// the same path can hide another.
func (run *lintRun) hidingRoute(index int, route Route, method string) (balsamproxy.RouteID, bool) {
	for _, candidate := range run.document.Routes[:index] {
		hides := candidate.Path == route.Path && run.competes(candidate, route) &&
			(slices.Contains(candidate.Methods, method) || slices.Contains(candidate.Methods, AnyMethod))
		if hides {
			return candidate.ID, true
		}
	}
	return "", false
}

// competes reports whether both routes are tried for the same callers and hosts.
func (run *lintRun) competes(first, second Route) bool {
	if second.Access == AccessInternal {
		return first.Service == second.Service
	}
	return first.Access != AccessInternal && (!run.Mesh || first.Host == second.Host)
}

func (run *lintRun) checkRouteServices(route Route, pointer string) {
	if len(route.Split) == 0 {
		if route.Service == "" {
			run.errorf(pointer+"/service", "the route has no service")
		}
		return
	}
	if route.Service != "" {
		run.warnf(pointer+"/service", "the service has no effect beside a split")
	}
	if route.Access == AccessInternal {
		run.warnf(pointer+"/split", "the route never matches: calls of targets name one service")
	}
	total := 0
	for index, part := range route.Split {
		child := strictjson.Child(pointer+"/split", index)
		switch {
		case part.Service == "":
			run.errorf(child+"/service", "the part has no service")
		case part.Weight < 0:
			run.errorf(child+"/weight", "a weight of %d is below 0", part.Weight)
		case part.Weight == 0:
			run.warnf(child+"/weight", "the part gets no requests")
		}
		total += part.Weight
	}
	if total <= 0 {
		run.errorf(pointer+"/split", "no part has a weight above 0")
	}
}

func (run *lintRun) checkRouteLimits(route Route, pointer string) {
	switch {
	case route.Deadline < 1:
		run.errorf(pointer+"/deadline-ms", "a deadline of %d ms: no request can be answered in time", route.Deadline)
	case route.Objective > route.Deadline:
		run.warnf(pointer+"/objective-ms", "an objective of %d ms has no effect: it is above the deadline of %d ms", route.Objective, route.Deadline)
	}
	if route.Access == AccessInternal && route.RetryLimit != nil {
		run.warnf(pointer+"/retry-limit", "a retry limit has no effect: calls of targets use the limit of the caller's request")
	}
}

func (run *lintRun) checkCallers() {
	limits := run.document.Callers
	if limits == nil {
		return
	}
	const pointer = "/callers"
	if !run.Mesh {
		run.warnf(pointer, "the limits have no effect: those of this daemon are fixed")
		return
	}
	run.checkNegative(limits, pointer)
	if limits.HeaderBytes > 0 && limits.HeaderBytes < minHeaderBytes {
		run.warnf(pointer+"/header-bytes", "%d bytes may be too few for the header of an order (%d)", limits.HeaderBytes, minHeaderBytes)
	}
	if limits.BodyBytes > 0 && limits.BodyBytes < minBodyBytes && run.hasOrders() {
		run.warnf(pointer+"/body-bytes", "%d bytes may be too few for the body of an order (%d)", limits.BodyBytes, minBodyBytes)
	}
	if limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout {
		run.warnf(pointer+"/idle-timeout-ms", "%d ms is below the time for a header, %d ms", limits.IdleTimeout, limits.HeaderTimeout)
	}
}

// checkNegative warns about limits for which the daemon uses its defaults.
func (run *lintRun) checkNegative(limits *CallerLimits, pointer string) {
	for _, limit := range []struct {
		name  string
		value int
	}{
		{"header-bytes", limits.HeaderBytes}, {"body-bytes", limits.BodyBytes},
		{"header-timeout-ms", limits.HeaderTimeout}, {"idle-timeout-ms", limits.IdleTimeout},
	} {
		if limit.value < 0 {
			run.warnf(strictjson.Child(pointer, limit.name), "%d is below 0: the default is used", limit.value)
		}
	}
}

// hasOrders reports whether a route takes requests that may run only once.
func (run *lintRun) hasOrders() bool {
	return slices.ContainsFunc(run.document.Routes, func(route Route) bool { return !route.Idempotent })
}
