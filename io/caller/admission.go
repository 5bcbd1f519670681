package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/io/httpresponse"
)

// match is the route of a request and the client account that it runs for. The
// account is empty for unauthenticated requests.
type match struct {
	route   config.Route
	account balsamproxy.ClientAccountID
}

// validate rejects requests that are malformed or too large for any route.
func validate(request *http.Request) *balsamproxy.Refusal {
	path := request.URL.EscapedPath()
	switch {
	case countFields(request.Header) > maxHeaderFields:
		return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "too many header lines")
	case request.ContentLength > maxBodyBytes:
		return balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body is longer than allowed")
	case !isCanonicalPath(path, request.URL.Path):
		return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the path must be absolute, without dot segments or encoded slashes")
	case config.ContainsSecret(request.URL.Path):
		return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "a key must not stand in the path")
	}
	return nil
}

func countFields(header http.Header) int {
	fields := 0
	for _, values := range header {
		fields += len(values)
	}
	return fields
}

// isCanonicalPath reports whether a path has no dot segments or encoded slashes,
// which routes and targets may interpret differently.
func isCanonicalPath(escaped, path string) bool {
	lower := strings.ToLower(escaped)
	if !strings.HasPrefix(escaped, "/") || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// authenticate looks up the route and the client account of a request in the
// configuration in force.
func (handler *Handler) authenticate(request *http.Request, secret string) (match, *balsamproxy.Refusal) {
	index := handler.Config.Index()
	if index == nil {
		return match{}, balsamproxy.NotRun(balsamproxy.ReasonNoConfiguration, "this daemon has no configuration yet")
	}
	route, found := index.CallerRoute(request.Method, request.URL.Path)
	if !found {
		return match{}, balsamproxy.NotRun(balsamproxy.ReasonNoRoute, "no route for this method and path")
	}
	account, refusal := handler.account(index, route, secret)
	return match{route: route, account: account}, refusal
}

// account returns the client account of a request. It is empty on an open route
// if the key is missing or unknown, or if this daemon has no standing and thus
// cannot tell whether the key is still valid.
func (handler *Handler) account(index *config.Index, route config.Route, secret string) (balsamproxy.ClientAccountID, *balsamproxy.Refusal) {
	now := handler.Clock.Now()
	account, known := index.AccountBySecret(secret, now)
	switch {
	case known && handler.Standing.Has(now):
		return account, nil
	case route.Access == config.AccessOpen:
		return "", nil
	case known:
		return "", balsamproxy.NotRun(balsamproxy.ReasonNoStanding, "this daemon cannot tell whether the key is still valid")
	case secret == "":
		return "", balsamproxy.NotRun(balsamproxy.ReasonKeyMissing, "this route needs the key of a client account")
	default:
		return "", balsamproxy.NotRun(balsamproxy.ReasonKeyUnknown, "this key is not valid")
	}
}

func forwardedPath(request *http.Request) string {
	path := request.URL.EscapedPath()
	if query := cleanQuery(request.URL.RawQuery); query != "" {
		return path + "?" + query
	}
	return path
}

// routeTimeout returns the time-out of the route, or the one that the caller
// requests if that is shorter.
func routeTimeout(request *http.Request, route config.Route) time.Duration {
	timeout := time.Duration(route.Deadline) * time.Millisecond
	milliseconds, err := strconv.Atoi(request.Header.Get(httpresponse.HeaderTimeout))
	if err != nil || milliseconds < 1 {
		return timeout
	}
	return min(timeout, time.Duration(milliseconds)*time.Millisecond)
}
