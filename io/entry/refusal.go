package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"balsamproxy"
	"balsamproxy/io/http1"
)

// refusalBody is the body of a refusal.
type refusalBody struct {
	Outcome   balsamproxy.Outcome   `json:"outcome"`
	Reason    balsamproxy.Reason    `json:"reason"`
	Detail    string                `json:"detail,omitempty"`
	RequestID balsamproxy.RequestID `json:"request-id,omitempty"`
}

// refuse returns the response for a refusal and logs the decision.
func (transaction *transaction) refuse(stage string, refusal *balsamproxy.Refusal) http1.Response {
	transaction.refusal = refusal
	transaction.count("refused", string(refusal.Reason))
	response := transaction.entry.refusal(transaction.caller.RequestID, refusal)
	if transaction.context.Err() != nil && transaction.deadline.After(transaction.entry.Clock.Now()) {
		stage = "departed"
	}
	age, known := transaction.entry.Evidence.Age(transaction.entry.Boot.Boot())
	event := transaction.entry.Events.Decision("request-refused", string(refusal.Reason))
	if event == nil {
		return response
	}
	event.Str("request", string(transaction.caller.RequestID)).Str("stage", stage).
		Str("outcome", string(refusal.Outcome)).Int("status", response.Status).
		Str("route", string(transaction.route.ID)).Str("account", string(transaction.account)).
		Str("service", string(transaction.service)).
		Strs("targets", transaction.attempts.names()).
		Dur("retry-after", refusal.RetryAfter).
		Dur("waited", transaction.entry.Clock.Now().Sub(transaction.request.ReadAt)).
		Int64("config", int64(transaction.revision())).
		Bool("evidence", known).Dur("evidence-age", age).
		Str("detail", refusal.Detail).Send()
	return response
}

func (transaction *transaction) revision() balsamproxy.Revision {
	if transaction.index == nil {
		return 0
	}
	return transaction.index.Revision()
}

func (entry *Entry) refusal(request balsamproxy.RequestID, refusal *balsamproxy.Refusal) http1.Response {
	header := http.Header{"Content-Type": {"application/json"}}
	status := entry.Dialect.WriteRefusal(header, request, refusal)
	body, err := json.Marshal(refusalBody{
		Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail, RequestID: request,
	})
	if err != nil {
		// Clients can rely on the status alone.
		body = nil
	}
	return http1.Response{
		Status:        status,
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
	}
}

// HandleMalformed returns the response to input that was refused before it
// became a request.
func (entry *Entry) HandleMalformed(refusal *balsamproxy.Refusal) http1.Response {
	entry.Metrics.Tagged(map[string]string{
		"outcome": "refused", "reason": string(refusal.Reason), "kind": "malformed",
	}).Counter("requests").Inc(1)
	return entry.refusal("", refusal)
}
