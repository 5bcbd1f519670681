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
	// orderBytesMax bounds the body of an order, which is held whole.
	orderBytesMax = 1 << 20
	// recordBytesMax bounds an answer that is recorded for resends.
	recordBytesMax = 64 << 10
)

// requestContext returns the context that a request runs in. An order goes on
// when its caller goes away, so that its outcome is known to a resend.
func requestContext(request *http.Request, route config.Route) context.Context {
	if route.Idempotent {
		return request.Context()
	}
	return context.WithoutCancel(request.Context())
}

func heldBytes(route config.Route) int64 {
	if route.Idempotent {
		return fleet.HeldBytes
	}
	return orderBytesMax + 1
}

// order runs a request that must have its effect at most once.
func (run *run) order(ctx context.Context, proof proof) (*balsamproxy.Response, *balsamproxy.Refusal) {
	order, refusal := run.newOrder(proof)
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
	if ctx.Err() != nil || !permit.Start() {
		permit.GiveUp()
		return nil, balsamproxy.NotRun(balsamproxy.ReasonDeadline, "the deadline passed before the order could run")
	}
	answer, refusal := run.dispatch(ctx, proof)
	if refusal != nil {
		end(permit, refusal)
		return nil, refusal
	}
	return keep(permit, answer)
}

func (run *run) newOrder(proof proof) (claim.Order, *balsamproxy.Refusal) {
	content, whole := run.body.Whole()
	if !whole || len(content) > orderBytesMax {
		return claim.Order{}, balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body of an order is longer than allowed")
	}
	key := run.request.Header.Get(headerIdempotencyKey)
	described := append([]byte(run.request.Method+" "+forwardedPath(run.request)+"\n"), content...)
	order, err := claim.NewOrder(proof.account, proof.route.ID, key, described, run.handler.Clock.Now())
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

// end records a refusal, or frees the order for a resend if it has not run.
func end(permit *orders.Permit, refusal *balsamproxy.Refusal) {
	if refusal.Outcome == balsamproxy.OutcomeNotRun {
		permit.GiveUp()
		return
	}
	permit.Finish(claim.Record{Refusal: refusal})
}

// keep records an answer and returns it.
func keep(permit *orders.Permit, answer *balsamproxy.Response) (*balsamproxy.Response, *balsamproxy.Refusal) {
	start, err := io.ReadAll(io.LimitReader(answer.Body, recordBytesMax+1))
	if err != nil {
		_ = answer.Body.Close()
		refusal := balsamproxy.MayHaveRun(balsamproxy.ReasonAnswerTruncated, err.Error())
		end(permit, refusal)
		return nil, refusal
	}
	if len(start) > recordBytesMax {
		end(permit, balsamproxy.MayHaveRun(balsamproxy.ReasonOrderTaken, "the order has run; its answer was too long to be kept"))
		answer.Body = &resumedBody{Reader: io.MultiReader(bytes.NewReader(start), answer.Body), Closer: answer.Body}
		return answer, nil
	}
	permit.Finish(claim.Record{Answer: &answer.Head, Body: start})
	answer.Body = &resumedBody{Reader: bytes.NewReader(start), Closer: answer.Body}
	return answer, nil
}

// resumedBody is a body whose beginning has been read already.
type resumedBody struct {
	io.Reader
	io.Closer
}

// replay answers a resend with the recorded end of its order.
func (run *run) replay(record claim.Record) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if record.Answer == nil {
		return nil, record.Refusal
	}
	run.writer.Header().Set(httpresponse.HeaderReplayed, "true")
	return &balsamproxy.Response{Head: *record.Answer, Body: io.NopCloser(bytes.NewReader(record.Body))}, nil
}
