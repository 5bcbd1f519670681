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

// proof is what a request shows, apart from its body.
type proof struct {
	route   config.Route
	account balsamproxy.ClientAccountID
}

// checkShape refuses requests that no route should see.
func checkShape(request *http.Request) *balsamproxy.Refusal {
	path := request.URL.EscapedPath()
	switch {
	case countLines(request.Header) > headerLinesMax:
		return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "too many header lines")
	case request.ContentLength > bodyBytesMax:
		return balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body is longer than allowed")
	case !plainPath(path, request.URL.Path):
		return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the path must be absolute, without dot segments or encoded slashes")
	case config.ContainsSecret(request.URL.Path):
		return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "a key must not stand in the path")
	}
	return nil
}

func countLines(header http.Header) int {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return lines
}

// plainPath says whether a path means the same to every program that reads it.
func plainPath(escaped, path string) bool {
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

// prove finds the route and the client account of a request in the
// configuration in force.
func (handler *Handler) prove(request *http.Request, secret string) (proof, *balsamproxy.Refusal) {
	index := handler.Config.Index()
	if index == nil {
		return proof{}, balsamproxy.NotRun(balsamproxy.ReasonNoConfiguration, "this daemon has no configuration yet")
	}
	route, found := index.CallerRoute(request.Method, request.URL.Path)
	if !found {
		return proof{}, balsamproxy.NotRun(balsamproxy.ReasonNoRoute, "no route for this method and path")
	}
	account, refusal := handler.account(index, route, secret)
	return proof{route: route, account: account}, refusal
}

// account returns the client account that a request runs for: none on an open
// route without a good key, or while this daemon cannot tell whether it is.
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

// routeTimeout returns the route's deadline, or a shorter one that the caller
// asks for.
func routeTimeout(request *http.Request, route config.Route) time.Duration {
	timeout := time.Duration(route.Deadline) * time.Millisecond
	milliseconds, err := strconv.Atoi(request.Header.Get(httpresponse.HeaderTimeout))
	if err != nil || milliseconds < 1 {
		return timeout
	}
	return min(timeout, time.Duration(milliseconds)*time.Millisecond)
}
