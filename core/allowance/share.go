// Package allowance implements a distributed token bucket that divides the
// rate and burst of each client account among the hosts, so that all hosts
// together never admit more.
//
// A few hosts, the homes of an account, each own a fixed share of its rate and
// burst. A home grants tokens to the hosts that need them, for pending requests
// as permits with a short time to live, in advance as loans. It counts each
// token against its share until it must have been used or has expired. The
// tokens that can be used at any instant therefore never exceed the burst.
package allowance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
)

const (
	// Groups is the number of groups of accounts. All accounts of a group
	// have the same homes.
	Groups = 16
	// burstPerHome is the burst that is needed for each further home.
	burstPerHome = 8
	// BorrowerLoanTTL is how long a borrower may spend prefetched tokens,
	// counted from before it sent the request for them.
	BorrowerLoanTTL = time.Second
	// LenderLoanTTL is how long a home counts prefetched tokens as lent, unless
	// the borrower reports that they were spent. It is longer than
	// BorrowerLoanTTL to allow for clocks that run at slightly different
	// rates.
	LenderLoanTTL = 1250 * time.Millisecond

	nanosPerToken  = 1_000_000_000
	nanosPerSecond = 1_000_000_000
)

// Group is the number of a group of client accounts.
type Group int

// GroupOf returns the group of an account.
func GroupOf(account balsamproxy.ClientAccountID) Group {
	return Group(xxhash.Sum64String(string(account)) % Groups)
}

// Homes is the shared document that lists the homes of each group.
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
	// rate is in billionths of a token per second.
	rate uint64
	// burst is in billionths of a token.
	burst uint64
}

// HomesInUse returns how many of the given number of homes get a share of a
// burst.
func HomesInUse(homes, burst int) int {
	return min(homes, max(1, burst/burstPerHome))
}

// ShareOf returns the share of the home at a position. The shares of all homes
// add up to exactly the rate and burst.
func ShareOf(rate, burst, position, homes int) Share {
	used := HomesInUse(homes, burst)
	if position >= used {
		return Share{}
	}
	return Share{
		rate:  portion(uint64(rate)*nanosPerToken, position, used),
		burst: portion(uint64(burst), position, used) * nanosPerToken,
	}
}

// minShare returns the lower rate and the lower burst of two shares.
func minShare(left, right Share) Share {
	return Share{rate: min(left.rate, right.rate), burst: min(left.burst, right.burst)}
}

// portion returns the portion at a position when total is divided into
// portions that differ by at most one.
func portion(total uint64, position, portions int) uint64 {
	size := total / uint64(portions)
	if uint64(position) < total%uint64(portions) {
		size++
	}
	return size
}
