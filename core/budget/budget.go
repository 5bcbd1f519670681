// Package budget implements a retry budget: it bounds the retries that the
// fleet sends to each service. Daemons need no coordination, because each one
// limits its retries to a fraction of its own first attempts, so the bound
// holds for the sum.
package budget

import (
	"sync"

	"balsamproxy"
)

// Budget is the retry budget of one daemon, a token bucket per service. The
// zero value allows no retries.
type Budget struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64

	mutex     sync.Mutex
	maxTokens float64
	tokens    map[balsamproxy.ServiceID]float64
}

// SetMax sets how many unused retries may accumulate per service.
func (budget *Budget) SetMax(limit float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.maxTokens = limit
}

// RecordAttempt counts a first attempt.
func (budget *Budget) RecordAttempt(service balsamproxy.ServiceID) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.setTokens(service, budget.tokens[service]+budget.Ratio)
}

func (budget *Budget) setTokens(service balsamproxy.ServiceID, tokens float64) {
	if budget.tokens == nil {
		budget.tokens = map[balsamproxy.ServiceID]float64{}
	}
	budget.tokens[service] = min(tokens, budget.maxTokens)
}

// Take uses one retry and reports whether one was available.
func (budget *Budget) Take(service balsamproxy.ServiceID) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.tokens[service] < 1 {
		return false
	}
	budget.tokens[service]--
	return true
}
