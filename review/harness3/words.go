package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed words.json
var wordsJSON []byte

// words are the platform's header fields, calls and keys.
var words = func() (loaded struct {
	ConfigKey  string `json:"config-key"`
	RequestID  string `json:"request-id"`
	Deadline   string `json:"deadline"`
	Stamp      string `json:"stamp"`
	Tenant     string `json:"tenant"`
	Expect     string `json:"expect"`
	NotRun     string `json:"not-run"`
	Caller     string `json:"caller"`
	Instance   string `json:"instance"`
	Key        string `json:"key"`
	Heartbeat  string `json:"heartbeat"`
	Deregister string `json:"deregister"`
	Rate       string `json:"rate"`
}) {
	if err := json.Unmarshal(wordsJSON, &loaded); err != nil {
		panic(err)
	}
	return loaded
}()
