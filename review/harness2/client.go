package harness2

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Deadline is how long clients wait for an answer.
const Deadline = 5 * time.Second

// Answer is what a client got: status 0 means a closed connection or no answer.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int
	Body   string
}

// Send sends one request on the client's connections and returns its answer.
func Send(client *http.Client, daemon *Daemon, method, path, id string) Answer {
	return SendKey(client, daemon, method, path, id, "")
}

// SendKey is like Send with the key of a tenant.
func SendKey(client *http.Client, daemon *Daemon, method, path, id, key string) Answer {
	body := ""
	if method != http.MethodGet {
		body = "body of " + id
	}
	return SendBody(client, daemon, method, path, id, key, body)
}

// SendBody is like SendKey with a body.
func SendBody(client *http.Client, daemon *Daemon, method, path, id, key, body string) Answer {
	answer := Answer{ID: id, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.Callers+path, strings.NewReader(body))
	if err != nil {
		return answer
	}
	request.Host = "one.example"
	request.Header.Set(Words["request-id"], id)
	request.Header.Set(Words["deadline"], strconv.FormatInt(Deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(Words["key"], key)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer
	}
	answer.Status, answer.Body = response.StatusCode, string(data)
	return answer
}
