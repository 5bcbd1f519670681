package peer

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamproxy"
)

// handler handles the encoded question of a host and returns the encoded answer.
type handler func(ctx context.Context, from balsamproxy.HostID, body []byte) ([]byte, error)

// Handle registers the handler for one kind of question. It must be called before
// the server accepts its first link.
func Handle[Q, A any](
	server *Server,
	kind Kind,
	answer func(ctx context.Context, from balsamproxy.HostID, question Q) (A, error),
) {
	if server.handlers == nil {
		server.handlers = map[Kind]handler{}
	}
	server.handlers[kind] = func(ctx context.Context, from balsamproxy.HostID, body []byte) ([]byte, error) {
		var question Q
		if err := cbor.Unmarshal(body, &question); err != nil {
			return nil, err
		}
		answered, err := answer(ctx, from, question)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(answered)
	}
}

// Ask sends a question to a host and returns the answer. The error is
// ErrUnreachable if the question was not sent, ErrLinkLost or the context's error
// if no answer arrived, and ErrQuestionRefused if the peer returned an error or
// the question or answer could not be encoded or decoded.
func Ask[Q, A any](ctx context.Context, pool *Pool, host balsamproxy.HostID, kind Kind, asked Q) (A, error) {
	var answered A
	body, err := cbor.Marshal(asked)
	if err != nil {
		return answered, eris.Wrap(ErrQuestionRefused, err.Error())
	}
	data, err := pool.ask(ctx, host, &question{Kind: kind, Body: body})
	if err != nil {
		return answered, err
	}
	if err := cbor.Unmarshal(data, &answered); err != nil {
		return answered, eris.Wrap(ErrQuestionRefused, err.Error())
	}
	return answered, nil
}

func (pool *Pool) ask(ctx context.Context, host balsamproxy.HostID, question *question) ([]byte, error) {
	link, err := pool.link(ctx, host)
	if err != nil {
		return nil, err
	}
	stream, err := link.newStream()
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	defer link.removeStream(stream.id)
	if err := link.send(&frame{Stream: stream.id, Question: question}); err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	select {
	case head := <-stream.heads:
		return replyBody(head)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func replyBody(head *frame) ([]byte, error) {
	if head.Reply == nil {
		return nil, ErrLinkLost
	}
	if head.Reply.Problem != "" {
		return nil, eris.Wrap(ErrQuestionRefused, head.Reply.Problem)
	}
	return head.Reply.Body, nil
}

var errUnknownKind = errors.New("unknown kind of question")

func (link *serverLink) receiveQuestion(ctx context.Context, asked *frame) {
	id := asked.Stream
	question := asked.Question
	run := func(ctx context.Context) error {
		answered := &reply{}
		body, err := link.answer(ctx, question)
		answered.Body = body
		if err != nil {
			answered.Problem = err.Error()
		}
		return link.send(&frame{Stream: id, Reply: answered})
	}
	link.questions.Start(ctx, run, nil)
}

func (link *serverLink) answer(ctx context.Context, question *question) ([]byte, error) {
	handler, known := link.server.handlers[question.Kind]
	if !known {
		return nil, errUnknownKind
	}
	return handler(ctx, link.host, question.Body)
}
