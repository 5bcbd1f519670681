package entry

import (
	"context"
	"errors"
	"sync"

	"balsamproxy"
	"balsamproxy/core/shutdown"
)

// errStopping is the cause of the cancellation of a request's wait in a planned stop.
var errStopping = errors.New("entry: planned stop")

type transactionSet map[*transaction]struct{}

// inProgress holds the transactions in progress. The zero value is ready to use.
type inProgress struct {
	mutex        sync.Mutex
	transactions transactionSet
	// stop is the plan of the planned stop that recalls requests, nil if there is
	// none.
	stop *shutdown.Plan
}

// add adds a transaction and recalls it if it began too late in a planned stop.
func (inProgress *inProgress) add(transaction *transaction) {
	inProgress.mutex.Lock()
	defer inProgress.mutex.Unlock()
	if inProgress.stop != nil && !inProgress.stop.MayBeSent(transaction.deadline) {
		transaction.recall()
	}
	if inProgress.transactions == nil {
		inProgress.transactions = transactionSet{}
	}
	inProgress.transactions[transaction] = struct{}{}
}

func (inProgress *inProgress) remove(transaction *transaction) {
	inProgress.mutex.Lock()
	defer inProgress.mutex.Unlock()
	delete(inProgress.transactions, transaction)
}

// RecallRequests refuses the requests that wait for their allowance, for a target or
// for admission by one, and those that begin from now on, unless the plan lets them be
// sent. Requests that a target has go on. It returns how many were in progress and
// recalled.
func (entry *Entry) RecallRequests(plan shutdown.Plan) int {
	entry.inProgress.mutex.Lock()
	defer entry.inProgress.mutex.Unlock()
	entry.inProgress.stop = &plan
	recalled := 0
	for transaction := range entry.inProgress.transactions {
		if !plan.MayBeSent(transaction.deadline) {
			transaction.recall()
			recalled++
		}
	}
	return recalled
}

// withRecall returns a context that is cancelled when the request is recalled. It
// must be used for all waiting before the request is sent to a target.
func (transaction *transaction) withRecall(ctx context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancelCause(ctx)
	recalled := make(chan struct{})
	transaction.recalled = recalled
	transaction.recall = sync.OnceFunc(func() {
		close(recalled)
		cancel(errStopping)
	})
	return waiting, func() { cancel(nil) }
}

// isRecalled reports whether a planned stop has cancelled the wait of a request.
func isRecalled(waiting context.Context) bool {
	return errors.Is(context.Cause(waiting), errStopping)
}

// checkStop refuses a request that begins too late in a planned stop.
func (*transaction) checkStop(waiting context.Context) *balsamproxy.Refusal {
	if isRecalled(waiting) {
		return recalledRefusal()
	}
	return nil
}

// recalledRefusal returns the refusal of a recalled request. Another daemon can
// serve the caller at once.
func recalledRefusal() *balsamproxy.Refusal {
	refusal := balsamproxy.RecalledRefusal()
	refusal.RetryAfter = overloadedRetryAfter
	return refusal
}
