package config

import (
	"time"

	"balsamproxy"
	"balsamproxy/core/strictjson"
)

// keyOwner is the key that had a digest first.
type keyOwner struct {
	account balsamproxy.ClientAccountID
	key     balsamproxy.KeyID
}

func (run *lintRun) checkAccounts() {
	accounts := map[balsamproxy.ClientAccountID]bool{}
	digests := map[string]keyOwner{}
	for index, account := range run.document.ClientAccounts {
		pointer := strictjson.Child("/client-accounts", index)
		if accounts[account.ID] {
			run.errorf(pointer+"/id", "the account %q stands twice", account.ID)
		}
		accounts[account.ID] = true
		run.checkRate(account, pointer)
		run.checkKeys(account, pointer, digests)
	}
}

func (run *lintRun) checkRate(account ClientAccount, pointer string) {
	switch {
	case account.Unlimited && (account.Rate != 0 || account.Burst != 0):
		run.warnf(pointer+"/unlimited", "the rate and the burst have no effect beside it")
	case account.Unlimited:
	case account.Rate > 0 && account.Burst < 1:
		run.errorf(pointer+"/burst", "a burst of %d with a rate of %d: no request is ever admitted", account.Burst, account.Rate)
	case account.Rate < 1:
		run.warnf(pointer+"/rate", "the account has no rate and is not unlimited: its allowance never refills")
	}
}

// checkKeys warns about keys that authenticate nobody. A secret that two accounts
// share is an error, because only the last of them is charged for its requests.
func (run *lintRun) checkKeys(account ClientAccount, pointer string, digests map[string]keyOwner) {
	valid := 0
	for index, key := range account.Keys {
		child := strictjson.Child(pointer+"/keys", index)
		first, shared := digests[key.Digest]
		if !shared {
			digests[key.Digest] = keyOwner{account: account.ID, key: key.ID}
		}
		switch {
		case shared && first.account != account.ID:
			run.errorf(child, "the key %q has the same secret as the key %q of account %q", key.ID, first.key, first.account)
			valid++
		case shared:
			run.warnf(child, "the key %q has the same secret as the key %q", key.ID, first.key)
		case key.Digest == FormatDigest(""):
			run.warnf(child, "the key %q has an empty secret, which no request can carry", key.ID)
		case run.expired(key):
			run.warnf(child, "the key %q has no effect: it expired at %s", key.ID, key.NotAfter)
		default:
			valid++
		}
	}
	if valid == 0 {
		run.warnf(pointer, "no request can use the account: it has no valid key of its own")
	}
}

func (run *lintRun) expired(key Key) bool {
	if key.NotAfter == "" || run.Now.IsZero() {
		return false
	}
	notAfter, err := time.Parse(time.RFC3339, key.NotAfter)
	return err == nil && run.Now.After(notAfter)
}
