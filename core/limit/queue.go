package limit

import (
	"slices"

	"balsamproxy"
)

// queue holds waiting calls in order of arrival.
type queue struct {
	waiting []Request
}

func (queue *queue) push(request Request) {
	queue.waiting = append(queue.waiting, request)
}

func (queue *queue) remove(ticket Ticket) bool {
	before := len(queue.waiting)
	queue.waiting = slices.DeleteFunc(queue.waiting, func(request Request) bool {
		return request.Ticket == ticket
	})
	return len(queue.waiting) < before
}

// pop removes the call of the highest rank. Ties go to the account with the
// fewest calls in flight, then to the earliest arrival.
func (queue *queue) pop(usage map[balsamproxy.ClientAccountID]int, rank func(Request) int) Request {
	best := 0
	for index, request := range queue.waiting {
		if precedes(request, queue.waiting[best], usage, rank) {
			best = index
		}
	}
	request := queue.waiting[best]
	queue.waiting = slices.Delete(queue.waiting, best, best+1)
	return request
}

func precedes(left, right Request, usage map[balsamproxy.ClientAccountID]int, rank func(Request) int) bool {
	if rank(left) != rank(right) {
		return rank(left) > rank(right)
	}
	return usage[left.Account] < usage[right.Account]
}

// evict removes the queued call that makes room for the request, if there is
// one: the call of the lowest rank below that of the request or, at equal
// rank, the latest call of the account with the most queued calls, provided
// that this is more than the account of the request would have.
func (queue *queue) evict(request Request, rank func(Request) int) (Request, bool) {
	lowest := rank(request)
	for _, waiting := range queue.waiting {
		lowest = min(lowest, rank(waiting))
	}
	counts := queue.count(lowest, rank)
	victim := -1
	for index, waiting := range queue.waiting {
		if rank(waiting) != lowest {
			continue
		}
		if victim < 0 || counts[waiting.Account] >= counts[queue.waiting[victim].Account] {
			victim = index
		}
	}
	if victim < 0 {
		return Request{}, false
	}
	victimCount := counts[queue.waiting[victim].Account]
	if lowest == rank(request) && victimCount <= counts[request.Account]+1 {
		return Request{}, false
	}
	evicted := queue.waiting[victim]
	queue.waiting = slices.Delete(queue.waiting, victim, victim+1)
	return evicted, true
}

// count returns the number of queued calls of a rank per account.
func (queue *queue) count(wanted int, rank func(Request) int) map[balsamproxy.ClientAccountID]int {
	counts := map[balsamproxy.ClientAccountID]int{}
	for _, waiting := range queue.waiting {
		if rank(waiting) == wanted {
			counts[waiting.Account]++
		}
	}
	return counts
}
