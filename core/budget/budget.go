// Package budget bounds the repeated attempts that a fleet sends to each
// service, without any talk between daemons: each daemon spends only a part
// of what it sends itself, so the sum keeps the bound.
package budget

import (
	"sync"

	"balsamproxy"
)

// Budget holds one daemon's part. Its zero value allows no repeat.
type Budget struct {
	// Ratio is the part of the first attempts that may be repeated.
	Ratio float64

	mutex  sync.Mutex
	most   float64
	tokens map[balsamproxy.ServiceID]float64
}

// SetMax sets how many repeats may be saved up for one service.
func (budget *Budget) SetMax(most float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.most = most
}

// RecordAttempt counts a first attempt.
func (budget *Budget) RecordAttempt(service balsamproxy.ServiceID) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.put(service, budget.tokens[service]+budget.Ratio)
}

func (budget *Budget) put(service balsamproxy.ServiceID, tokens float64) {
	if budget.tokens == nil {
		budget.tokens = map[balsamproxy.ServiceID]float64{}
	}
	budget.tokens[service] = min(tokens, budget.most)
}

// Take spends one repeat, if there is one.
func (budget *Budget) Take(service balsamproxy.ServiceID) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.tokens[service] < 1 {
		return false
	}
	budget.tokens[service]--
	return true
}
