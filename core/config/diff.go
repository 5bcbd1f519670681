package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Diff returns the differences between two documents: one line for each client
// account, key and route that was added (+), removed (-) or changed (~), in
// sorted order. A nil document is treated as empty.
func Diff(before, after *Document) []string {
	return diffEntries(entries(before), entries(after))
}

func entries(document *Document) map[string]string {
	entries := map[string]string{}
	if document == nil {
		return entries
	}
	for _, account := range document.ClientAccounts {
		name := "client-account " + string(account.ID)
		for _, key := range account.Keys {
			entries[name+" key "+string(key.ID)] = render(key)
		}
		account.Keys = nil
		entries[name] = render(account)
	}
	for _, service := range document.Services {
		entries["service "+string(service.ID)] = render(service)
	}
	for _, route := range document.Routes {
		entries["route "+string(route.ID)] = render(route)
	}
	return entries
}

func render(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func diffEntries(before, after map[string]string) []string {
	lines := []string{}
	for name, old := range before {
		changed, kept := after[name]
		switch {
		case !kept:
			lines = append(lines, fmt.Sprintf("%s - %s", name, old))
		case changed != old:
			lines = append(lines, fmt.Sprintf("%s ~ %s -> %s", name, old, changed))
		}
	}
	for name, added := range after {
		if _, known := before[name]; !known {
			lines = append(lines, fmt.Sprintf("%s + %s", name, added))
		}
	}
	sort.Strings(lines)
	return lines
}
