package httpresponse

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"balsamproxy"
)

// statusClientClosed is the status for a caller that has disconnected. It is
// never received.
const statusClientClosed = 499

var statuses = map[balsamproxy.Reason]int{
	balsamproxy.ReasonBadRequest:             http.StatusBadRequest,
	balsamproxy.ReasonTooLarge:               http.StatusRequestEntityTooLarge,
	balsamproxy.ReasonKeyMissing:             http.StatusUnauthorized,
	balsamproxy.ReasonKeyUnknown:             http.StatusUnauthorized,
	balsamproxy.ReasonNoRoute:                http.StatusNotFound,
	balsamproxy.ReasonRateExceeded:           http.StatusTooManyRequests,
	balsamproxy.ReasonDeadline:               http.StatusGatewayTimeout,
	balsamproxy.ReasonCancelled:              statusClientClosed,
	balsamproxy.ReasonParentEnded:            http.StatusConflict,
	balsamproxy.ReasonTooDeep:                http.StatusLoopDetected,
	balsamproxy.ReasonPeerUnreachable:        http.StatusBadGateway,
	balsamproxy.ReasonPeerLost:               http.StatusBadGateway,
	balsamproxy.ReasonTargetFailed:           http.StatusBadGateway,
	balsamproxy.ReasonTargetCrashed:          http.StatusBadGateway,
	balsamproxy.ReasonAnswerTruncated:        http.StatusBadGateway,
	balsamproxy.ReasonIdempotencyKeyRequired: http.StatusBadRequest,
	balsamproxy.ReasonIdempotencyKeyReused:   http.StatusUnprocessableEntity,
	balsamproxy.ReasonIdempotencyKeyTooOld:   http.StatusGone,
	balsamproxy.ReasonOrderInProgress:        http.StatusConflict,
	balsamproxy.ReasonOrderTaken:             http.StatusConflict,
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome   balsamproxy.Outcome   `json:"outcome"`
	Reason    balsamproxy.Reason    `json:"reason"`
	Detail    string                `json:"detail,omitempty"`
	RequestID balsamproxy.RequestID `json:"request-id"`
}

// Status returns the HTTP status of a refusal.
func Status(refusal *balsamproxy.Refusal) int {
	if status, known := statuses[refusal.Reason]; known {
		return status
	}
	return http.StatusServiceUnavailable
}

// WriteRefusal writes a refusal as the response to a request.
func WriteRefusal(writer http.ResponseWriter, request balsamproxy.RequestID, refusal *balsamproxy.Refusal) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(refusal.Outcome))
	header.Set(HeaderReason, string(refusal.Reason))
	header.Set(HeaderRequestID, string(request))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writer.WriteHeader(Status(refusal))
	_ = json.NewEncoder(writer).Encode(refusalBody{
		Outcome:   refusal.Outcome,
		Reason:    refusal.Reason,
		Detail:    refusal.Detail,
		RequestID: request,
	})
}
