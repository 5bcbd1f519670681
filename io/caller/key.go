package caller

import (
	"net/http"
	"net/url"
	"strings"

	"balsamproxy/core/config"
)

const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerScheme        = "Bearer "
)

// extractKey returns the secret that a request presents and removes all fields
// that contain a secret from its header, so that no target sees a key. The two
// fields that carry credentials are always removed.
func extractKey(header http.Header) string {
	secret := presentedKey(header)
	header.Del(headerAuthorization)
	header.Del(headerAPIKey)
	for name, values := range header {
		if containsSecret(name, values) {
			delete(header, name)
		}
	}
	return secret
}

func presentedKey(header http.Header) string {
	authorization := header.Get(headerAuthorization)
	if len(authorization) > len(bearerScheme) && strings.EqualFold(authorization[:len(bearerScheme)], bearerScheme) {
		return strings.TrimSpace(authorization[len(bearerScheme):])
	}
	return header.Get(headerAPIKey)
}

func containsSecret(name string, values []string) bool {
	if config.ContainsSecret(name) {
		return true
	}
	for _, value := range values {
		if config.ContainsSecret(value) || containsEscapedSecret(value) {
			return true
		}
	}
	return false
}

func containsEscapedSecret(value string) bool {
	unescaped, err := url.QueryUnescape(value)
	return err == nil && config.ContainsSecret(unescaped)
}

// cleanQuery removes the parameters that contain a secret from a raw query. The
// others keep their order and encoding.
func cleanQuery(query string) string {
	if query == "" {
		return query
	}
	kept := []string{}
	for parameter := range strings.SplitSeq(query, "&") {
		if !config.ContainsSecret(parameter) && !containsEscapedSecret(parameter) {
			kept = append(kept, parameter)
		}
	}
	return strings.Join(kept, "&")
}
