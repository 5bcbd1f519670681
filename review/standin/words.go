package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed words.json
var wordsFile []byte

// words are the names that the platform, callers and targets use on the wire.
type words struct {
	RequestID        string   `json:"request-id"`
	Deadline         string   `json:"deadline"`
	Stamp            string   `json:"stamp"`
	ExpectedTarget   string   `json:"expected-target"`
	NotRun           string   `json:"not-run"`
	Key              string   `json:"key"`
	Account          string   `json:"account"`
	ConfigKey        string   `json:"config-key"`
	AnnounceCall     string   `json:"announce-call"`
	WithdrawCall     string   `json:"withdraw-call"`
	ListCall         string   `json:"list-call"`
	RenewCall        string   `json:"renew-call"`
	ReadyPath        string   `json:"ready-path"`
	SettingsVariable string   `json:"settings-variable"`
	RouteColumns     []string `json:"route-columns"`
	AccountColumns   []string `json:"account-columns"`
	ServiceColumns   []string `json:"service-columns"`
}

func loadWords() (words, error) {
	var loaded words
	err := json.Unmarshal(wordsFile, &loaded)
	return loaded, err
}
