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

// Limits of the values in a document, and the format of a digest.
const (
	maxRate          = 1_000_000
	maxBurst         = 1_000_000
	maxDeadlineMS    = 600_000
	maxRetryLimit    = 10
	maxWeight        = 1_000_000
	maxWarmUpRate    = 1_000_000
	maxDocumentBytes = 900 * 1024
	digestPrefix     = "sha256:"
	digestBytes      = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, AnyMethod,
}

// Parse decodes and validates a document. It returns either the document or
// all faults found.
func Parse(data []byte) (*Document, strictjson.Faults) {
	if len(data) > maxDocumentBytes {
		var faults strictjson.Faults
		faults.Add("", "is %d bytes long; at most %d fit in the store", len(data), maxDocumentBytes)
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

// Validate returns all faults in the values of a document.
func Validate(document *Document) strictjson.Faults {
	validator := validator{
		accounts: map[balsamproxy.ClientAccountID]bool{},
		digests:  map[string]string{},
		routes:   map[balsamproxy.RouteID]bool{},
		matches:  map[string]string{},
	}
	for index, account := range document.ClientAccounts {
		validator.checkAccount(account, strictjson.Child("/client-accounts", index))
	}
	for index, route := range document.Routes {
		validator.checkRoute(route, strictjson.Child("/routes", index))
	}
	services := map[balsamproxy.ServiceID]bool{}
	for index, service := range document.Services {
		pointer := strictjson.Child("/services", index)
		validator.checkName(pointer+"/id", string(service.ID))
		if services[service.ID] {
			validator.faults.Add(pointer+"/id", "%q stands twice", service.ID)
		}
		services[service.ID] = true
		if !(service.WarmUpRate >= 0 && service.WarmUpRate <= maxWarmUpRate) {
			validator.faults.Add(pointer+"/warm-up-rate", "%v is not between 0 and %d", service.WarmUpRate, maxWarmUpRate)
		}
	}
	return validator.faults
}

type validator struct {
	faults   strictjson.Faults
	accounts map[balsamproxy.ClientAccountID]bool
	// digests maps each key digest to the pointer of its key.
	digests map[string]string
	routes  map[balsamproxy.RouteID]bool
	// matches maps each matched method, host name and path to the pointer of
	// the method in its route.
	matches map[string]string
}

func (validator *validator) checkName(pointer, name string) {
	if !namePattern.MatchString(name) {
		validator.faults.Add(pointer, "%q is no name: 1 to 63 of a-z, 0-9 and inner hyphens", name)
	}
}

func (validator *validator) checkRange(pointer string, value, low, high int) {
	if value < low || value > high {
		validator.faults.Add(pointer, "%d is not between %d and %d", value, low, high)
	}
}

func (validator *validator) checkAccount(account ClientAccount, pointer string) {
	validator.checkName(pointer+"/id", string(account.ID))
	if validator.accounts[account.ID] {
		validator.faults.Add(pointer+"/id", "%q stands twice", account.ID)
	}
	validator.accounts[account.ID] = true
	validator.checkRange(pointer+"/rate", account.Rate, 0, maxRate)
	validator.checkRange(pointer+"/burst", account.Burst, 0, maxBurst)
	if account.Unlimited && (account.Rate > 0 || account.Burst > 0) {
		validator.faults.Add(pointer+"/unlimited", "must be absent beside a rate or a burst")
	}
	if account.Rate > 0 && account.Burst == 0 {
		validator.faults.Add(pointer+"/burst", "must be at least 1 with a rate above 0")
	}
	keys := map[balsamproxy.KeyID]bool{}
	for index, key := range account.Keys {
		child := strictjson.Child(pointer+"/keys", index)
		if keys[key.ID] {
			validator.faults.Add(child+"/id", "%q stands twice in this account", key.ID)
		}
		keys[key.ID] = true
		validator.checkKey(key, child)
	}
}

func (validator *validator) checkKey(key Key, pointer string) {
	validator.checkName(pointer+"/id", string(key.ID))
	if _, ok := parseDigest(key.Digest); !ok {
		validator.faults.Add(pointer+"/digest", "must be %q and 64 lower-case hex digits", digestPrefix)
	} else if other, found := validator.digests[key.Digest]; found {
		validator.faults.Add(pointer+"/digest", "is also at %s", other)
	}
	validator.digests[key.Digest] = pointer
	if key.NotAfter == "" {
		return
	}
	if _, err := time.Parse(time.RFC3339, key.NotAfter); err != nil {
		validator.faults.Add(pointer+"/not-after", "%q is no instant in RFC 3339", key.NotAfter)
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

func (validator *validator) checkRoute(route Route, pointer string) {
	validator.checkName(pointer+"/id", string(route.ID))
	if validator.routes[route.ID] {
		validator.faults.Add(pointer+"/id", "%q stands twice", route.ID)
	}
	validator.routes[route.ID] = true
	validator.checkServices(route, pointer)
	validator.checkPath(route.Path, pointer+"/path")
	validator.checkMethods(route, pointer)
	if !slices.Contains([]Access{AccessKeyed, AccessOpen, AccessInternal}, route.Access) {
		validator.faults.Add(pointer+"/access", "%q must be %q, %q or %q",
			route.Access, AccessKeyed, AccessOpen, AccessInternal)
	}
	validator.checkRange(pointer+"/priority", int(route.Priority),
		int(balsamproxy.PriorityLowest), int(balsamproxy.PriorityHighest))
	validator.checkRange(pointer+"/deadline-ms", route.Deadline, 1, maxDeadlineMS)
	validator.checkRange(pointer+"/retry-limit", route.EffectiveRetryLimit(), 0, maxRetryLimit)
	validator.checkRange(pointer+"/objective-ms", route.Objective, 0, maxDeadlineMS)
}

// checkServices rejects a route that has no service, or both a service and a
// split.
func (validator *validator) checkServices(route Route, pointer string) {
	if len(route.Split) == 0 {
		validator.checkName(pointer+"/service", string(route.Service))
		return
	}
	if route.Service != "" {
		validator.faults.Add(pointer+"/service", "must be absent beside a split")
	}
	totalWeight := 0
	for index, weighted := range route.Split {
		child := strictjson.Child(pointer+"/split", index)
		validator.checkName(child+"/service", string(weighted.Service))
		validator.checkRange(child+"/weight", weighted.Weight, 0, maxWeight)
		totalWeight += weighted.Weight
	}
	if totalWeight == 0 {
		validator.faults.Add(pointer+"/split", "must have a weight above 0")
	}
}

func (validator *validator) checkPath(path, pointer string) {
	if !strings.HasPrefix(path, "/") {
		validator.faults.Add(pointer, "%q must begin with a slash", path)
	}
	if strings.ContainsAny(path, "?#% ") || strings.Contains(path, "//") || strings.Contains(path, "/.") {
		validator.faults.Add(pointer, "%q must be a plain path", path)
	}
}

func (validator *validator) checkMethods(route Route, pointer string) {
	if len(route.Methods) == 0 {
		validator.faults.Add(pointer+"/methods", "must name at least one method")
	}
	for index, method := range route.Methods {
		child := strictjson.Child(pointer+"/methods", index)
		if !slices.Contains(knownMethods, method) {
			validator.faults.Add(child, "%q is no known method", method)
		}
		validator.checkDuplicateMatch(route, method, child)
	}
}

// checkDuplicateMatch rejects two routes with the same method, host name and
// path. Internal routes are compared only within the same service.
func (validator *validator) checkDuplicateMatch(route Route, method, pointer string) {
	match := method + " " + route.Host + route.Path
	if route.Access == AccessInternal {
		match = string(route.Service) + " " + match
	}
	if other, found := validator.matches[match]; found {
		validator.faults.Add(pointer, "%s %s is also matched at %s", method, route.Path, other)
	}
	validator.matches[match] = pointer
}
