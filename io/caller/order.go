package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"balsamproxy"
	"balsamproxy/core/claim"
	"balsamproxy/core/config"
	"balsamproxy/io/fleet"
	"balsamproxy/io/httpresponse"
	"balsamproxy/io/orders"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxOrderBytes bounds the body of an order, which is buffered completely.
	maxOrderBytes = 1 << 20
	// maxRecordedBytes bounds the body of an answer that is recorded for replays.
	maxRecordedBytes = 64 << 10
)

// requestContext returns the context in which a request runs. An order continues
// when its caller disconnects, so that its outcome is known when the caller sends
// it again.
func requestContext(request *http.Request, route config.Route) context.Context {
	if route.Idempotent {
		return request.Context()
	}
	return context.WithoutCancel(request.Context())
}

func bodyBufferSize(route config.Route) int64 {
	if route.Idempotent {
		return fleet.BodyBufferBytes
	}
	return maxOrderBytes + 1
}

// order runs a request that must take effect at most once.
func (run *run) order(ctx context.Context, match match) (*balsamproxy.Response, *balsamproxy.Refusal) {
	order, refusal := run.newOrder(match)
	if refusal != nil {
		return nil, refusal
	}
	permit, record, refusal := run.handler.Orders.Claim(ctx, order)
	if refusal != nil {
		return nil, refusal
	}
	if record != nil {
		return run.replay(*record)
	}
	if run.handler.Clock.Now().After(order.ClaimBy) {
		// The process was suspended, and an earlier claim may have expired.
		permit.Release()
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonIdempotencyKeyTooOld, claim.ErrKeyTooOld.Error())
	}
	if ctx.Err() != nil || !permit.Start() {
		permit.Release()
		return nil, balsamproxy.NotRun(balsamproxy.ReasonDeadline, "the deadline passed before the order could run")
	}
	answer, refusal := run.dispatch(ctx, match)
	if refusal != nil {
		recordRefusal(permit, refusal)
		return nil, refusal
	}
	return recordAnswer(permit, answer)
}

func (run *run) newOrder(match match) (claim.Order, *balsamproxy.Refusal) {
	content, complete := run.body.Buffered()
	if !complete || len(content) > maxOrderBytes {
		return claim.Order{}, balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body of an order is longer than allowed")
	}
	key := run.request.Header.Get(headerIdempotencyKey)
	input := append([]byte(run.request.Method+" "+forwardedPath(run.request)+"\n"), content...)
	order, err := claim.NewOrder(match.account, match.route.ID, key, input, run.handler.Clock.Now())
	switch {
	case err == nil:
		return order, nil
	case errors.Is(err, claim.ErrKeyMissing):
		return order, balsamproxy.NotRun(balsamproxy.ReasonIdempotencyKeyRequired, err.Error())
	case errors.Is(err, claim.ErrKeyTooOld):
		return order, balsamproxy.MayHaveRun(balsamproxy.ReasonIdempotencyKeyTooOld, err.Error())
	default:
		return order, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
	}
}

// recordRefusal records a refusal, or releases the claim if the order has not
// run, so that it can be sent again.
func recordRefusal(permit *orders.Permit, refusal *balsamproxy.Refusal) {
	if refusal.Outcome == balsamproxy.OutcomeNotRun {
		permit.Release()
		return
	}
	permit.Finish(claim.Record{Refusal: refusal})
}

// recordAnswer records an answer for replays and returns it. If the answer is too
// long, a refusal is recorded instead.
func recordAnswer(permit *orders.Permit, answer *balsamproxy.Response) (*balsamproxy.Response, *balsamproxy.Refusal) {
	prefix, err := io.ReadAll(io.LimitReader(answer.Body, maxRecordedBytes+1))
	if err != nil {
		_ = answer.Body.Close()
		refusal := balsamproxy.MayHaveRun(balsamproxy.ReasonAnswerTruncated, err.Error())
		recordRefusal(permit, refusal)
		return nil, refusal
	}
	if len(prefix) > maxRecordedBytes {
		recordRefusal(permit, balsamproxy.MayHaveRun(balsamproxy.ReasonOrderTaken, "the order has run; its answer was too long to be kept"))
		answer.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), answer.Body), Closer: answer.Body}
		return answer, nil
	}
	permit.Finish(claim.Record{Answer: &answer.Head, Body: prefix})
	answer.Body = &prefixedBody{Reader: bytes.NewReader(prefix), Closer: answer.Body}
	return answer, nil
}

// prefixedBody is a body with the prefix that has already been read put back.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// replay returns the recorded result of an order that was sent again.
func (run *run) replay(record claim.Record) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if record.Answer == nil {
		return nil, record.Refusal
	}
	run.writer.Header().Set(httpresponse.HeaderReplayed, "true")
	return &balsamproxy.Response{Head: *record.Answer, Body: io.NopCloser(bytes.NewReader(record.Body))}, nil
}
