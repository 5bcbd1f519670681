package config

import (
	"encoding/hex"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

// Bounds of the values in a document.
const (
	rateMax       = 1_000_000
	burstMax      = 1_000_000
	deadlineMaxMS = 600_000
	retryLimitMax = 10
	weightMax     = 1_000_000
	documentMax   = 900 * 1024
	digestPrefix  = "sha256:"
	digestBytes   = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var methodsKnown = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, AnyMethod,
}

// Parse returns the document in data, or all of its faults.
func Parse(data []byte) (*Document, strictjson.Faults) {
	if len(data) > documentMax {
		var faults strictjson.Faults
		faults.Add("", "is %d bytes long; at most %d fit in the store", len(data), documentMax)
		return nil, faults
	}
	document := &Document{}
	faults := strictjson.Decode(data, document)
	if len(faults) > 0 {
		return nil, faults
	}
	faults = Validate(document)
	if len(faults) > 0 {
		return nil, faults
	}
	return document, nil
}

// Validate returns all faults of a document.
func Validate(document *Document) strictjson.Faults {
	check := documentCheck{
		accounts: map[balsamproxy.ClientAccountID]bool{},
		digests:  map[string]string{},
		routes:   map[balsamproxy.RouteID]bool{},
		matches:  map[string]string{},
	}
	for index, account := range document.ClientAccounts {
		check.account(account, strictjson.Child("/client-accounts", index))
	}
	for index, route := range document.Routes {
		check.route(route, strictjson.Child("/routes", index))
	}
	return check.faults
}

type documentCheck struct {
	faults   strictjson.Faults
	accounts map[balsamproxy.ClientAccountID]bool
	digests  map[string]string
	routes   map[balsamproxy.RouteID]bool
	matches  map[string]string
}

func (check *documentCheck) name(pointer, name string) {
	if !namePattern.MatchString(name) {
		check.faults.Add(pointer, "%q is no name: 1 to 63 of a-z, 0-9 and inner hyphens", name)
	}
}

func (check *documentCheck) between(pointer string, value, low, high int) {
	if value < low || value > high {
		check.faults.Add(pointer, "%d is not between %d and %d", value, low, high)
	}
}

func (check *documentCheck) account(account ClientAccount, pointer string) {
	check.name(pointer+"/id", string(account.ID))
	if check.accounts[account.ID] {
		check.faults.Add(pointer+"/id", "%q stands twice", account.ID)
	}
	check.accounts[account.ID] = true
	check.between(pointer+"/rate", account.Rate, 0, rateMax)
	check.between(pointer+"/burst", account.Burst, 0, burstMax)
	if account.Unlimited && (account.Rate > 0 || account.Burst > 0) {
		check.faults.Add(pointer+"/unlimited", "must be absent beside a rate or a burst")
	}
	if account.Rate > 0 && account.Burst == 0 {
		check.faults.Add(pointer+"/burst", "must be at least 1 with a rate above 0")
	}
	keys := map[balsamproxy.KeyID]bool{}
	for index, key := range account.Keys {
		child := strictjson.Child(pointer+"/keys", index)
		if keys[key.ID] {
			check.faults.Add(child+"/id", "%q stands twice in this account", key.ID)
		}
		keys[key.ID] = true
		check.key(key, child)
	}
}

func (check *documentCheck) key(key Key, pointer string) {
	check.name(pointer+"/id", string(key.ID))
	if _, ok := parseDigest(key.Digest); !ok {
		check.faults.Add(pointer+"/digest", "must be %q and 64 lower-case hex digits", digestPrefix)
	} else if other, found := check.digests[key.Digest]; found {
		check.faults.Add(pointer+"/digest", "is also at %s", other)
	}
	check.digests[key.Digest] = pointer
	if key.NotAfter == "" {
		return
	}
	if _, err := time.Parse(time.RFC3339, key.NotAfter); err != nil {
		check.faults.Add(pointer+"/not-after", "%q is no instant in RFC 3339", key.NotAfter)
	}
}

func parseDigest(text string) (Digest, bool) {
	var digest Digest
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || digits != strings.ToLower(digits) {
		return digest, false
	}
	decoded, err := hex.DecodeString(digits)
	if err != nil || len(decoded) != digestBytes {
		return digest, false
	}
	copy(digest[:], decoded)
	return digest, true
}

func (check *documentCheck) route(route Route, pointer string) {
	check.name(pointer+"/id", string(route.ID))
	if check.routes[route.ID] {
		check.faults.Add(pointer+"/id", "%q stands twice", route.ID)
	}
	check.routes[route.ID] = true
	check.parts(route, pointer)
	check.path(route.Path, pointer+"/path")
	check.methods(route, pointer)
	if !slices.Contains([]Access{AccessKeyed, AccessOpen, AccessInternal}, route.Access) {
		check.faults.Add(pointer+"/access", "%q must be %q, %q or %q",
			route.Access, AccessKeyed, AccessOpen, AccessInternal)
	}
	check.between(pointer+"/priority", int(route.Priority),
		int(balsamproxy.PriorityLowest), int(balsamproxy.PriorityHighest))
	check.between(pointer+"/deadline-ms", route.Deadline, 1, deadlineMaxMS)
	check.between(pointer+"/retry-limit", route.EffectiveRetryLimit(), 0, retryLimitMax)
	check.between(pointer+"/objective-ms", route.Objective, 0, deadlineMaxMS)
}

// parts refuses a route without a service or with both ways to name one.
func (check *documentCheck) parts(route Route, pointer string) {
	if len(route.Split) == 0 {
		check.name(pointer+"/service", string(route.Service))
		return
	}
	if route.Service != "" {
		check.faults.Add(pointer+"/service", "must be absent beside a split")
	}
	whole := 0
	for index, part := range route.Split {
		child := strictjson.Child(pointer+"/split", index)
		check.name(child+"/service", string(part.Service))
		check.between(child+"/weight", part.Weight, 0, weightMax)
		whole += part.Weight
	}
	if whole == 0 {
		check.faults.Add(pointer+"/split", "must have a weight above 0")
	}
}

func (check *documentCheck) path(path, pointer string) {
	if !strings.HasPrefix(path, "/") {
		check.faults.Add(pointer, "%q must begin with a slash", path)
	}
	if strings.ContainsAny(path, "?#% ") || strings.Contains(path, "//") || strings.Contains(path, "/.") {
		check.faults.Add(pointer, "%q must be a plain path", path)
	}
}

func (check *documentCheck) methods(route Route, pointer string) {
	if len(route.Methods) == 0 {
		check.faults.Add(pointer+"/methods", "must name at least one method")
	}
	for index, method := range route.Methods {
		child := strictjson.Child(pointer+"/methods", index)
		if !slices.Contains(methodsKnown, method) {
			check.faults.Add(child, "%q is no known method", method)
		}
		check.match(route, method, child)
	}
}

// match refuses two routes for the same method and path. Internal routes are
// matched for each service apart.
func (check *documentCheck) match(route Route, method, pointer string) {
	match := method + " " + route.Host + route.Path
	if route.Access == AccessInternal {
		match = string(route.Service) + " " + match
	}
	if other, found := check.matches[match]; found {
		check.faults.Add(pointer, "%s %s is also matched at %s", method, route.Path, other)
	}
	check.matches[match] = pointer
}
