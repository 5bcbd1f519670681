// Package allowance shares out the rate and burst of each client account over
// the fleet, so that all hosts together never admit more.
//
// A few hosts, the homes of an account, each own a fixed share of its rate and
// burst. A home lends tokens to the hosts that need them and counts each one
// against its share until it has been spent or can no longer be: so the tokens
// that may be spent at any instant never exceed the burst.
package allowance

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
)

const (
	// Groups is the number of groups of accounts; the accounts of a group
	// have the same homes.
	Groups = 16
	// tokensPerHome is the least burst for which a further home is used.
	tokensPerHome = 8
	// BorrowerLoanTTL is how long a borrower may spend tokens, counted from before it
	// asked for them.
	BorrowerLoanTTL = time.Second
	// LenderLoanTTL is how long a home counts tokens that it lent, unless it
	// learns that they were spent. It is longer than Hold, so that clocks
	// may run a little apart.
	LenderLoanTTL = 1250 * time.Millisecond

	nanosPerToken  = 1_000_000_000
	nanosPerSecond = 1_000_000_000
)

// Group is a group of client accounts.
type Group int

// GroupOf returns the group of an account.
func GroupOf(account balsamproxy.ClientAccountID) Group {
	return Group(xxhash.Sum64String(string(account)) % Groups)
}

// Homes is the shared document that names the homes of each group.
type Homes struct {
	Groups [][]balsamproxy.HostID `json:"groups"`
}

// Of returns the homes of an account, in the order of their shares.
func (homes Homes) Of(account balsamproxy.ClientAccountID) []balsamproxy.HostID {
	group := int(GroupOf(account))
	if group >= len(homes.Groups) {
		return nil
	}
	return homes.Groups[group]
}

// Share is one home's part of an account's limits.
type Share struct {
	// rate is in billionths of a token a second.
	rate uint64
	// burst is in billionths of a token.
	burst uint64
}

// HomesInUse returns how many of some homes have a share of a burst.
func HomesInUse(homes, burst int) int {
	return min(homes, max(1, burst/tokensPerHome))
}

// ShareOf returns the share of one of several homes. The shares of all homes
// add up to the whole exactly.
func ShareOf(rate, burst, position, homes int) Share {
	used := HomesInUse(homes, burst)
	if position >= used {
		return Share{}
	}
	return Share{
		rate:  part(uint64(rate)*nanosPerToken, position, used),
		burst: part(uint64(burst), position, used) * nanosPerToken,
	}
}

// lesser returns a share with the lesser rate and burst of two.
func lesser(left, right Share) Share {
	return Share{rate: min(left.rate, right.rate), burst: min(left.burst, right.burst)}
}

// part splits a whole into parts that differ by one at most.
func part(whole uint64, position, parts int) uint64 {
	size := whole / uint64(parts)
	if uint64(position) < whole%uint64(parts) {
		size++
	}
	return size
}

// refill returns what a rate gives in a time, rounded down.
func refill(rate uint64, elapsed time.Duration) uint64 {
	if elapsed <= 0 {
		return 0
	}
	high, low := bits.Mul64(rate, uint64(elapsed))
	if high >= nanosPerSecond {
		return 1 << 62
	}
	quotient, _ := bits.Div64(high, low, nanosPerSecond)
	return quotient
}
